package engine

import "time"

const (
	// stallThreshold is the longest gap between two inputs that does not count as
	// a stall; ticks are far more frequent.
	stallThreshold = 100 * time.Millisecond
	// backlogDuration is the time after a stall within which an arriving input may
	// have waited during the stall.
	backlogDuration = 200 * time.Millisecond
)

// stallDetector detects that the process was suspended or starved of CPU time, by
// a gap between its inputs. Inputs that arrive right after the gap may have waited
// during it.
type stallDetector struct {
	lastInput    time.Time // time of the last input; before the first, the start of the process
	gap          time.Duration
	backlogUntil time.Time // until then inputs may have waited during the gap
}

// observeInput records the arrival of an input.
func (s *stallDetector) observeInput(now time.Time) {
	if gap := now.Sub(s.lastInput); gap > stallThreshold {
		s.gap = gap
		s.backlogUntil = now.Add(backlogDuration)
	}
	s.lastInput = now
}

// maxWait returns how long an input that arrives now may have waited.
func (s *stallDetector) maxWait(now time.Time) time.Duration {
	if now.Before(s.backlogUntil) {
		return s.gap
	}
	return 0
}

// leaseDuration returns the duration of the lease that a minion gets when its
// announcement or heartbeat arrives now. The time that the request may have waited
// is subtracted, since the minion may have left meanwhile.
func (e *Engine) leaseDuration(now time.Time) time.Duration {
	return e.minions.LeaseDuration() - e.stall.maxWait(now)
}

// messageDelay returns the excess delay of a message from a peer, or the time that the
// message may have waited during a stall of this process, whichever is longer.
func (e *Engine) messageDelay(now time.Time, from string, sentAt time.Duration) time.Duration {
	return max(e.members.ExcessDelay(from, sentAt, now.Sub(e.cfg.StartedAt)), e.stall.maxWait(now))
}
