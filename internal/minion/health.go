package minion

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// A minion whose tasks mostly fail or run slowly is ejected: this host sends it
// only one task at a time, as a probe. The pause before a probe doubles with each
// failed probe. Several successful probes in a row restore the minion.

const (
	outcomeWindow     = 16 // most recent outcomes that count; one bit each in health.failureBits
	minFailures       = 5  // in the window, before a minion is ejected
	minFailureRate    = 0.5
	minRunSamples     = 16        // run times needed, of a service or a minion, before they are used
	slowFactor        = 2.5       // a slow minion's run time, relative to the service's typical one
	runSmoothing      = 1.0 / 16  // weight of a new sample in a minion's slowness
	serviceSmoothing  = 1.0 / 256 // weight of a new sample in a service's means
	probesToRestore   = 3
	firstProbePause   = time.Second
	maxProbePause     = time.Minute
	ejectedDivisor    = 5 // at most 1/ejectedDivisor of the minions, or one, are ejected at a time
	minMinionsToEject = 3 // with fewer minions none is ejected
	// shortRun is the shortest run time that is compared; shorter ones count
	// as this long, because they differ mainly by process scheduling.
	shortRun = 10 * time.Millisecond
)

// HealthChange is the effect of an outcome on a minion's health.
type HealthChange uint8

// Effects of an outcome.
const (
	Unchanged HealthChange = iota
	Ejected
	Restored
)

// health summarizes the outcomes of this host's tasks on a minion.
type health struct {
	failureBits uint16  // most recent outcomes, one bit each, set for a failure; the newest is bit 0
	outcomes    int     // recorded in total
	slowness    float64 // smoothed log of the ratio of run time to the service's typical one
	runs        int     // run times included in slowness
	ejected     bool
	peerEjected bool          // ejected by the dispatching host
	probeAt     time.Time     // earliest time of the next probe
	probePause  time.Duration // before the next probe
	goodProbes  int           // successful probes in a row
	restoredAt  time.Time     // end of the last ejection
}

// serviceRunTime holds the learned run time of a service's tasks.
type serviceRunTime struct {
	mean    float64 // seconds
	logMean float64 // mean of the natural logarithms of the run times in seconds
	samples int
}

func (s *serviceRunTime) add(run time.Duration) {
	x := run.Seconds()
	s.samples++
	w := max(serviceSmoothing, 1/float64(s.samples))
	s.mean += (x - s.mean) * w
	s.logMean += (logRun(run) - s.logMean) * w
}

// logRun returns the natural logarithm of a run time in seconds, with shortRun
// as the lower bound. Minions are compared by it.
func logRun(run time.Duration) float64 { return math.Log(max(run, shortRun).Seconds()) }

// MeanRunTime returns the learned mean run time of a service's tasks. It reports
// false while fewer than minRunSamples were recorded.
func (r *Registry) MeanRunTime(service string) (time.Duration, bool) {
	s := r.runTimes[service]
	if s == nil || s.samples < minRunSamples {
		return 0, false
	}
	return time.Duration(s.mean * float64(time.Second)), true
}

// RecordOutcome records the outcome of a task that reached the minion and reports
// whether it ejected or restored the minion.
func (r *Registry) RecordOutcome(now time.Time, name, service string, o job.Outcome) HealthChange {
	m := r.minions[name]
	if m == nil {
		return Unchanged
	}
	failed := o.Code != result.OK
	m.health.record(failed)
	slow := false
	if !failed {
		slow = r.recordRunTime(m, service, runTimeOf(o))
	}
	if m.health.ejected {
		return m.health.recordProbe(now, !failed && !slow)
	}
	if r.shouldEject(m) {
		m.health.eject(now)
		return Ejected
	}
	return Unchanged
}

// runTimeOf returns the run time that the minion reported, or the round trip if it
// reported none.
func runTimeOf(o job.Outcome) time.Duration {
	if o.Run > 0 {
		return o.Run
	}
	return o.Trip
}

func (h *health) record(failed bool) {
	h.failureBits <<= 1
	if failed {
		h.failureBits |= 1
	}
	h.outcomes++
}

// recordRunTime updates the run times of the service and the slowness of the
// minion, and reports whether this run was slow. Run times on ejected minions are
// left out of the service's means.
func (r *Registry) recordRunTime(m *Minion, service string, run time.Duration) bool {
	if run <= 0 {
		return false
	}
	s := r.runTimes[service]
	if s == nil {
		s = &serviceRunTime{}
		r.runTimes[service] = s
	}
	typical := s.logMean
	enough := s.samples >= minRunSamples
	if !m.health.ejected {
		s.add(run)
	}
	if !enough {
		return false
	}
	logRatio := logRun(run) - typical
	m.health.runs++
	m.health.slowness += (logRatio - m.health.slowness) * max(runSmoothing, 1/float64(m.health.runs))
	return logRatio-r.othersSlowness(m) > math.Log(slowFactor)
}

// othersSlowness returns the mean slowness of the other minions that are not
// ejected. It is subtracted from a minion's own slowness: if all minions became
// slow, the cause is in the tasks.
func (r *Registry) othersSlowness(except *Minion) float64 {
	sum, n := 0.0, 0
	for _, m := range r.ordered {
		if m != except && m.health.runs > 0 && !m.health.ejected {
			sum += m.health.slowness
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// failureRate returns the fraction of the recent outcomes that are failures.
func (h *health) failureRate() float64 {
	n := min(h.outcomes, outcomeWindow)
	if n == 0 {
		return 0
	}
	return float64(bits.OnesCount16(h.failureBits)) / float64(n)
}

// shouldEject reports whether the minion is to be ejected: it is slower than usual
// for its services, and than the other minions, by more than slowFactor, or it
// fails often and at least twice as often as the others on average. If all minions
// fail alike, the cause is in the tasks.
func (r *Registry) shouldEject(m *Minion) bool {
	h := &m.health
	failing := bits.OnesCount16(h.failureBits) >= minFailures && h.failureRate() >= minFailureRate
	slow := h.runs >= minRunSamples && h.slowness > math.Log(slowFactor) &&
		h.slowness-r.othersSlowness(m) > math.Log(slowFactor)
	if !failing && !slow || !r.mayEject() {
		return false
	}
	return slow || h.failureRate() >= 2*r.othersFailureRate(m)
}

// mayEject reports whether one more minion may be ejected.
func (r *Registry) mayEject() bool {
	if len(r.ordered) < minMinionsToEject {
		return false
	}
	ejected := 0
	for _, m := range r.ordered {
		if m.health.ejected {
			ejected++
		}
	}
	return ejected < max(1, len(r.ordered)/ejectedDivisor)
}

func (r *Registry) othersFailureRate(except *Minion) float64 {
	sum := 0.0
	for _, m := range r.ordered {
		if m != except {
			sum += m.health.failureRate()
		}
	}
	return sum / float64(len(r.ordered)-1)
}

// eject starts an ejection. The pause before the first probe is twice the last pause,
// up to maxProbePause. It is firstProbePause in the first ejection, and if the minion
// was restored longer ago than ten times the last pause.
func (h *health) eject(now time.Time) {
	if h.probePause == 0 || now.Sub(h.restoredAt) > 10*h.probePause {
		h.probePause = firstProbePause
	} else {
		h.probePause = min(2*h.probePause, maxProbePause)
	}
	h.ejected = true
	h.goodProbes = 0
	h.probeAt = now.Add(h.probePause)
}

// recordProbe records an outcome of an ejected minion, either of a probe or of a
// task that was started before the ejection.
func (h *health) recordProbe(now time.Time, good bool) HealthChange {
	if !good {
		if !h.probeAt.After(now) {
			h.probePause = min(2*h.probePause, maxProbePause)
		}
		h.goodProbes = 0
		h.probeAt = now.Add(h.probePause)
		return Unchanged
	}
	if h.probeAt.After(now) {
		return Unchanged // outcome of a task started before the ejection
	}
	h.goodProbes++
	if h.goodProbes < probesToRestore {
		return Unchanged
	}
	*h = health{probePause: h.probePause, restoredAt: now, peerEjected: h.peerEjected}
	return Restored
}

// allows reports whether a task may be sent while inUse tasks are in progress. An
// ejected minion gets one task at a time, once a probe is due.
func (h *health) allows(now time.Time, inUse int) bool {
	if h.peerEjected {
		return false
	}
	return !h.ejected || inUse == 0 && !h.probeAt.After(now)
}

// EjectedMinions returns the names of the minions that this host has ejected.
func (r *Registry) EjectedMinions() []string {
	var names []string
	for _, m := range r.ordered {
		if m.health.ejected {
			names = append(names, m.Name)
		}
	}
	return names
}

// SetPeerEjected replaces the set of minions that the dispatching host has ejected. Only
// that host sends them probes.
func (r *Registry) SetPeerEjected(names []string) {
	for _, m := range r.ordered {
		m.health.peerEjected = slices.Contains(names, m.Name)
	}
}

// ServiceSlots returns the number of slots of the minions that run the service, are
// ready and are not ejected by this host.
func (r *Registry) ServiceSlots(now time.Time, service string) int {
	n := 0
	for _, m := range r.byService[service] {
		if m.Ready(now) && !m.health.ejected {
			n += m.Slots
		}
	}
	return n
}
