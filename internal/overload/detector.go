// Package overload decides when a host is itself the bottleneck, and which work it then
// refuses. It does no I/O and reads no clock. The load that it answers is more messages than
// the host's processors or link carry: every one of them then waits, and work is started for
// callers that no longer want the answer.
package overload

import "time"

const (
	// interval is the time over which the shortest wait is taken. A queue that is empty once
	// in it is no sign of overload, however long it was at other times.
	interval = 100 * time.Millisecond
	// overloadedWait is the shortest wait of an interval above which the host may be
	// overloaded, and idleWait the one below which it is not. Waits are under 5 ms otherwise.
	overloadedWait = 20 * time.Millisecond
	idleWait       = 10 * time.Millisecond
	// beginAfter and endAfter are how long the waits must have been above or below that.
	beginAfter = 200 * time.Millisecond
	endAfter   = 300 * time.Millisecond
)

// Detector tells whether a host is overloaded, by how long its inputs wait.
type Detector struct {
	begun      time.Time     // when the present interval began
	shortest   time.Duration // wait in the present interval
	observed   bool          // whether there was any input in it
	above      time.Duration // for how long the waits have been above overloadedWait
	below      time.Duration // for how long they have been below idleWait
	overloaded bool
	since      time.Time     // when the overload began
	lastWait   time.Duration // shortest wait of the last interval
}

// Observe records how long an input waited.
func (d *Detector) Observe(wait time.Duration) {
	if !d.observed || wait < d.shortest {
		d.shortest, d.observed = wait, true
	}
}

// Reset forgets what was observed, after a suspension: the inputs waited for the host to
// resume.
func (d *Detector) Reset() { *d = Detector{} }

// Advance ends the present interval if its time is up, and reports whether it did.
func (d *Detector) Advance(now time.Time) bool {
	switch {
	case d.begun.IsZero():
		d.begun = now
		return false
	case now.Sub(d.begun) < interval:
		return false
	}
	wait := d.shortest // 0 without any input
	if wait > overloadedWait {
		d.above += interval
	} else {
		d.above = 0
	}
	if wait < idleWait {
		d.below += interval
	} else {
		d.below = 0
	}
	switch {
	case !d.overloaded && d.above >= beginAfter:
		d.overloaded, d.since = true, now
	case d.overloaded && d.below >= endAfter:
		d.overloaded = false
	}
	d.lastWait, d.begun, d.shortest, d.observed = wait, now, 0, false
	return true
}

// Overloaded reports whether the host is overloaded.
func (d *Detector) Overloaded() bool { return d.overloaded }

// OverloadedFor returns for how long the host has been overloaded without a break; 0 if it
// is not.
func (d *Detector) OverloadedFor(now time.Time) time.Duration {
	if !d.overloaded {
		return 0
	}
	return now.Sub(d.since)
}
