package engine

import "time"

const (
	// stallLimit is the longest usual time between two inputs; ticks come far
	// more often.
	stallLimit = 100 * time.Millisecond
	// backlogTime is how long after a stall inputs may still have waited for it.
	backlogTime = 200 * time.Millisecond
)

// stall notices that the process was suspended, or starved of processor time,
// by a gap between its inputs. What arrives right after may have waited.
type stall struct {
	last   time.Time // latest input, or the start of the process
	length time.Duration
	until  time.Time // end of the backlog
}

// observe records an input.
func (s *stall) observe(now time.Time) {
	if gap := now.Sub(s.last); gap > stallLimit {
		s.length = gap
		s.until = now.Add(backlogTime)
	}
	s.last = now
}

// waited returns how long an input that arrives now may have waited.
func (s *stall) waited(now time.Time) time.Duration {
	if now.Before(s.until) {
		return s.length
	}
	return 0
}

// grant returns the length of a lease that begins with an announcement now: a
// minion may have left while its request waited.
func (e *Engine) grant(now time.Time) time.Duration {
	return e.minions.Lease() - e.stall.waited(now)
}

// age returns how long a peer's message was under way, over the usual time.
func (e *Engine) age(now time.Time, from string, sentAt time.Duration) time.Duration {
	return max(e.members.Age(from, sentAt, now.Sub(e.cfg.StartedAt)), e.stall.waited(now))
}
