package minion

import "time"

// maxTrialPause is the longest time between two trials of a minion.
const maxTrialPause = time.Second

// concurrencyLimit is the number of concurrent tasks that a minion is known to
// accept from this host, learned from its refusals. The zero value is no limit.
type concurrencyLimit struct {
	active     bool
	maxTasks   int
	trialPause time.Duration // from a refusal until the next trial
	refusedAt  time.Time
	trialAt    time.Time // earliest time of the next trial
}

// allows reports whether a task may be sent while inUse tasks are in progress.
// With knownFree, it does not allow a trial.
func (l *concurrencyLimit) allows(now time.Time, inUse int, knownFree bool) bool {
	return !l.active || inUse < l.maxTasks || !knownFree && !l.trialAt.After(now)
}

// recordStart records a start while inUse tasks are in progress. A start beyond
// the limit is a trial: it raises the limit by one, until a refusal lowers it.
func (l *concurrencyLimit) recordStart(now time.Time, inUse int) {
	if !l.active || inUse < l.maxTasks {
		return
	}
	l.maxTasks = inUse + 1
	l.trialAt = now.Add(l.trialPause)
}

// recordRefusal records that the minion refused a start while it runs inUse
// other tasks of this host. The pause before the next trial is firstPause, or
// twice the previous pause, up to maxTrialPause, if the last refusal was at most
// two pauses ago.
func (l *concurrencyLimit) recordRefusal(now time.Time, inUse int, firstPause time.Duration) {
	if l.active && now.Sub(l.refusedAt) <= 2*l.trialPause {
		l.trialPause = min(2*l.trialPause, maxTrialPause)
	} else {
		l.trialPause = firstPause
	}
	l.active = true
	l.maxTasks = inUse
	l.refusedAt = now
	l.trialAt = now.Add(l.trialPause)
}

// freeSlots returns how many tasks may be sent while inUse tasks are in
// progress, given that allows permits one: up to share and the limit, or one as
// a trial.
func (l *concurrencyLimit) freeSlots(share, inUse int) int {
	if !l.active {
		return share - inUse
	}
	return max(min(share, l.maxTasks)-inUse, 1)
}
