package minion

import "time"

// maxTrialPause bounds the time between trials of one task more.
const maxTrialPause = time.Second

// limit is the number of tasks that a minion is known to take from this host
// at a time. The zero value is no limit.
type limit struct {
	active    bool
	tasks     int
	pause     time.Duration // until the next trial after a refusal
	refusedAt time.Time
	trialAt   time.Time // when one task more may be tried
}

// allows reports whether one task beside inUse may be sent. With sure, a trial
// is not allowed.
func (l *limit) allows(now time.Time, inUse int, sure bool) bool {
	return !l.active || inUse < l.tasks || !sure && !l.trialAt.After(now)
}

// started records a start beside inUse tasks. One beyond the limit is a trial:
// it raises the limit until it is refused.
func (l *limit) started(now time.Time, inUse int) {
	if !l.active || inUse < l.tasks {
		return
	}
	l.tasks = inUse + 1
	l.trialAt = now.Add(l.pause)
}

// refused records a refusal that left inUse tasks. Refusals that follow each
// other within two pauses double the pause.
func (l *limit) refused(now time.Time, inUse int, first time.Duration) {
	if l.active && now.Sub(l.refusedAt) <= 2*l.pause {
		l.pause = min(2*l.pause, maxTrialPause)
	} else {
		l.pause = first
	}
	l.active = true
	l.tasks = inUse
	l.refusedAt = now
	l.trialAt = now.Add(l.pause)
}

// room returns the tasks of a share that may be sent beside inUse, where one
// is allowed: up to the limit, or one as a trial.
func (l *limit) room(share, inUse int) int {
	if !l.active {
		return share - inUse
	}
	return max(min(share, l.tasks)-inUse, 1)
}
