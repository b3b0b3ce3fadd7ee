package minion

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// A minion that fails or stalls most of what it starts is ejected: it gets
// single probes only, first after a pause that doubles with each failed probe.

const (
	recentOutcomes  = 16 // outcomes by which failures are judged
	minFailures     = 5  // among them, before a minion is ejected
	failureShare    = 0.5
	minRunSamples   = 16
	slowFactor      = 2.5 // of the service's typical run time
	runWeight       = 1.0 / 16
	serviceWeight   = 1.0 / 256
	probesToRestore = 3
	firstProbePause = time.Second
	maxProbePause   = time.Minute
	maxEjectedShare = 5 // at most one in so many
	minToEject      = 3 // minions, below which none is ejected
	// shortRun is the run time below which a minion is not called slow: such
	// runs differ by scheduling.
	shortRun = 10 * time.Millisecond
)

// Change is a transition of a minion's health.
type Change uint8

// Transitions.
const (
	Unchanged Change = iota
	Ejected
	Restored
)

// health is what this host has seen of a minion's outcomes.
type health struct {
	failures  uint16 // the latest outcomes, one bit each; set: failed
	outcomes  int
	slowness  float64 // smoothed logarithm of run time over the service's
	runs      int
	ejected   bool
	barred    bool // ejected by the host that dispatches
	probeAt   time.Time
	pause     time.Duration
	good      int // successful probes in a row
	restoreAt time.Time
}

// serviceRun is the typical run time of a service's tasks.
type serviceRun struct {
	mean    float64 // seconds
	logMean float64
	samples int
}

func (s *serviceRun) add(run time.Duration) {
	x := run.Seconds()
	s.samples++
	w := max(serviceWeight, 1/float64(s.samples))
	s.mean += (x - s.mean) * w
	s.logMean += (logRun(run) - s.logMean) * w
}

// logRun is the logarithm of a run time by which minions are compared.
func logRun(run time.Duration) float64 { return math.Log(max(run, shortRun).Seconds()) }

// MeanRun returns the learned mean run time of a service's tasks, or false
// before enough have run.
func (r *Registry) MeanRun(service string) (time.Duration, bool) {
	s := r.runs[service]
	if s == nil || s.samples < minRunSamples {
		return 0, false
	}
	return time.Duration(s.mean * float64(time.Second)), true
}

// Observe records the outcome of a start that reached the minion.
func (r *Registry) Observe(now time.Time, name, service string, o job.Outcome) Change {
	m := r.minions[name]
	if m == nil {
		return Unchanged
	}
	failed := o.Code != result.OK
	m.health.record(failed)
	slow := false
	if !failed {
		slow = r.observeRun(m, service, runOf(o))
	}
	if m.health.ejected {
		return m.health.probed(now, !failed && !slow)
	}
	if r.shouldEject(m) {
		m.health.eject(now)
		return Ejected
	}
	return Unchanged
}

// runOf returns the minion's own run time, or the whole trip if it gave none.
func runOf(o job.Outcome) time.Duration {
	if o.Run > 0 {
		return o.Run
	}
	return o.Trip
}

func (h *health) record(failed bool) {
	h.failures <<= 1
	if failed {
		h.failures |= 1
	}
	h.outcomes++
}

// observeRun learns from a run time and reports whether it was slow.
func (r *Registry) observeRun(m *Minion, service string, run time.Duration) bool {
	if run <= 0 {
		return false
	}
	s := r.runs[service]
	if s == nil {
		s = &serviceRun{}
		r.runs[service] = s
	}
	typical := s.logMean
	enough := s.samples >= minRunSamples
	if !m.health.ejected {
		s.add(run)
	}
	if !enough {
		return false
	}
	ratio := logRun(run) - typical
	m.health.runs++
	m.health.slowness += (ratio - m.health.slowness) * max(runWeight, 1/float64(m.health.runs))
	return ratio-r.othersSlowness(m) > math.Log(slowFactor)
}

// othersSlowness is the mean slowness of the other minions. Where all became
// slow, the tasks are at fault.
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

func (h *health) share() float64 {
	n := min(h.outcomes, recentOutcomes)
	if n == 0 {
		return 0
	}
	return float64(bits.OnesCount16(h.failures)) / float64(n)
}

// shouldEject compares a minion with the others: where all fail alike, the
// tasks are at fault.
func (r *Registry) shouldEject(m *Minion) bool {
	h := &m.health
	failing := bits.OnesCount16(h.failures) >= minFailures && h.share() >= failureShare
	slow := h.runs >= minRunSamples && h.slowness > math.Log(slowFactor) &&
		h.slowness-r.othersSlowness(m) > math.Log(slowFactor)
	if !failing && !slow || !r.mayEject() {
		return false
	}
	return slow || h.share() >= 2*r.othersFailing(m)
}

// mayEject bounds the share of the minions that are ejected at a time.
func (r *Registry) mayEject() bool {
	if len(r.ordered) < minToEject {
		return false
	}
	ejected := 0
	for _, m := range r.ordered {
		if m.health.ejected {
			ejected++
		}
	}
	return ejected < max(1, len(r.ordered)/maxEjectedShare)
}

func (r *Registry) othersFailing(except *Minion) float64 {
	sum := 0.0
	for _, m := range r.ordered {
		if m != except {
			sum += m.health.share()
		}
	}
	return sum / float64(len(r.ordered)-1)
}

func (h *health) eject(now time.Time) {
	if h.pause == 0 || now.Sub(h.restoreAt) > 10*h.pause {
		h.pause = firstProbePause
	} else {
		h.pause = min(2*h.pause, maxProbePause)
	}
	h.ejected = true
	h.good = 0
	h.probeAt = now.Add(h.pause)
}

// probed records an outcome of an ejected minion: of a probe, or of a start
// from before it was ejected.
func (h *health) probed(now time.Time, good bool) Change {
	if !good {
		if !h.probeAt.After(now) {
			h.pause = min(2*h.pause, maxProbePause)
		}
		h.good = 0
		h.probeAt = now.Add(h.pause)
		return Unchanged
	}
	if h.probeAt.After(now) {
		return Unchanged // started before the ejection
	}
	h.good++
	if h.good < probesToRestore {
		return Unchanged
	}
	*h = health{pause: h.pause, restoreAt: now, barred: h.barred}
	return Restored
}

// allows reports whether a task may be sent: to an ejected minion, one at a
// time when a probe is due.
func (h *health) allows(now time.Time, inUse int) bool {
	if h.barred {
		return false
	}
	return !h.ejected || inUse == 0 && !h.probeAt.After(now)
}

// Ejected returns the names of the minions that get probes only.
func (r *Registry) Ejected() []string {
	var names []string
	for _, m := range r.ordered {
		if m.health.ejected {
			names = append(names, m.Name)
		}
	}
	return names
}

// Bar replaces the set of minions that another host has ejected. Only that
// host probes them.
func (r *Registry) Bar(names []string) {
	for _, m := range r.ordered {
		m.health.barred = slices.Contains(names, m.Name)
	}
}

// Capacity returns the slots of the ready minions that offer the service and
// are not ejected.
func (r *Registry) Capacity(now time.Time, service string) int {
	n := 0
	for _, m := range r.offers[service] {
		if m.Ready(now) && !m.health.ejected {
			n += m.Slots
		}
	}
	return n
}
