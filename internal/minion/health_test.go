package minion

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func registry(minions int) *Registry {
	r := NewRegistry(time.Hour)
	for i := range minions {
		r.Announce(begin, Announcement{Name: fmt.Sprintf("m%d", i), Rack: fmt.Sprint(i / 2), Services: []string{"s"}, Slots: 2, Generation: 1}, time.Hour, true)
	}
	return r
}

var ran = job.Outcome{Code: result.OK, Run: 100 * time.Millisecond}

var failed = job.Outcome{Code: result.TaskFailed}

func TestFailingMinionIsEjectedProbedAndRestored(t *testing.T) {
	r := registry(5)
	for range 20 {
		for i := range 4 {
			must.Eq(t, Unchanged, r.Observe(begin, fmt.Sprintf("m%d", i), "s", ran))
		}
	}
	change := Unchanged
	failures := 0
	for ; change == Unchanged; failures++ {
		change = r.Observe(begin, "m4", "s", failed)
	}
	must.Eq(t, Ejected, change)
	must.Eq(t, minFailures, failures)

	m := r.Get("m4")
	must.False(t, m.health.allows(begin, 0))
	probe := begin.Add(firstProbePause)
	must.True(t, m.health.allows(probe, 0))
	must.False(t, m.health.allows(probe, 1)) // one probe at a time
	must.Eq(t, Unchanged, r.Observe(probe, "m4", "s", failed))
	must.False(t, m.health.allows(probe.Add(2*firstProbePause-1), 0)) // the pause has doubled
	probe = probe.Add(2 * firstProbePause)
	must.Eq(t, Unchanged, r.Observe(probe, "m4", "s", ran))
	must.Eq(t, Unchanged, r.Observe(probe, "m4", "s", ran))
	must.Eq(t, Restored, r.Observe(probe, "m4", "s", ran))
	must.SliceEmpty(t, r.Ejected())
}

// Where every minion fails, the tasks are at fault.
func TestTasksThatFailEverywhereEjectNobody(t *testing.T) {
	r := registry(5)
	for range 50 {
		for i := range 5 {
			must.Eq(t, Unchanged, r.Observe(begin, fmt.Sprintf("m%d", i), "s", failed))
		}
	}
}

func TestNoMoreThanAFifthIsEjected(t *testing.T) {
	r := registry(10)
	for range 50 {
		for i := range 10 {
			o := ran
			if i < 4 {
				o = failed
			}
			r.Observe(begin, fmt.Sprintf("m%d", i), "s", o)
		}
	}
	must.Len(t, 2, r.Ejected())
}

// Log-normal run times eject no healthy minion, and the slow one.
func TestSlowMinionIsEjected(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	r := registry(10)
	for range 100 {
		for i := range 10 {
			run := time.Duration(float64(200*time.Millisecond) * expNormal(rng))
			if i == 3 {
				run *= 5
			}
			r.Observe(begin, fmt.Sprintf("m%d", i), "s", job.Outcome{Run: run})
		}
	}
	must.Eq(t, []string{"m3"}, r.Ejected())
}

// Where every minion becomes slow, the tasks are at fault.
func TestSlowServiceEjectsNobody(t *testing.T) {
	r := registry(10)
	for round := range 200 {
		run := 200 * time.Millisecond
		if round >= 100 {
			run *= 20
		}
		for i := range 10 {
			must.Eq(t, Unchanged, r.Observe(begin, fmt.Sprintf("m%d", i), "s", job.Outcome{Run: run}))
		}
	}
}

func expNormal(rng *rand.Rand) float64 {
	x := 1.0
	for range 12 {
		x *= 0.69 + 0.7*rng.Float64()
	}
	return x
}

// A dead minion has the most free slots; trials of it back off.
func TestRefusingMinionIsTriedLessAndLess(t *testing.T) {
	r := registry(1)
	trials := 0
	for now := begin; now.Before(begin.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		m := r.Pick(now, "s", job.Size{}, false)
		if m == nil {
			continue
		}
		r.Acquire(now, m, job.Size{})
		r.Refuse(now, m.Name, job.Size{}, 5*time.Millisecond)
		trials++
	}
	must.Between(t, 10, trials, 20)
	must.Nil(t, r.Pick(begin, "s", job.Size{}, true))
}

// Slots that other hosts use are learned; those that finish here are not lost.
func TestLimitFollowsWhatTheMinionTakes(t *testing.T) {
	r := registry(1)
	m := r.Pick(begin, "s", job.Size{}, false)
	r.Acquire(begin, m, job.Size{})
	r.Acquire(begin, m, job.Size{})
	r.Refuse(begin, m.Name, job.Size{}, 5*time.Millisecond)
	must.Nil(t, r.Pick(begin, "s", job.Size{}, false))
	r.Release(m.Name, job.Size{})
	must.NotNil(t, r.Pick(begin, "s", job.Size{}, true))
}

// The loans of a domain's hosts and the rest of the lender never overlap.
func TestSharesOfTheHostsAddUp(t *testing.T) {
	for lent := range 15 {
		lender, a, b := registry(5), registry(5), registry(5)
		loans := []Loan{{Slots: lent, Borrower: "a"}, {Slots: lent / 2, Borrower: "b"}}
		lender.SetShare(Share{All: true, Loans: loans})
		a.SetShare(Share{Loans: loans[:1]})
		b.SetShare(Share{Loans: loans[1:]})
		for i, m := range lender.ordered {
			sum := m.share + a.ordered[i].share + b.ordered[i].share
			must.True(t, sum == m.Slots || m.share == 0, must.Sprintf("%d lent: %d of %d on %s", lent, sum, m.Slots, m.Name))
		}
	}
}

func TestSplitSharesAddUp(t *testing.T) {
	for _, weights := range [][]int{{1}, {1, 1}, {1, 1, 1}, {7, 1, 30}, {1, 200, 3, 50}} {
		sum := make([]int, 5)
		for index := range weights {
			r := registry(5)
			r.SetShare(Share{Weights: weights, Index: index})
			for i, m := range r.ordered {
				must.GreaterEq(t, 0, m.share)
				sum[i] += m.share
			}
		}
		must.Eq(t, []int{2, 2, 2, 2, 2}, sum)
	}
}

func TestDeclaredSizesInProgressBoundPlacement(t *testing.T) {
	r := NewRegistry(time.Hour)
	r.Announce(begin, Announcement{Name: "m", Rack: "r", Services: []string{"s"}, Slots: 8, MemoryMB: 100, Accelerators: 1}, time.Hour, true)
	size := job.Size{MemoryMB: 40, Accelerators: 1}
	m := r.Pick(begin, "s", size, false)
	r.Acquire(begin, m, size)
	must.Nil(t, r.Pick(begin, "s", size, false))
	must.NotNil(t, r.Pick(begin, "s", job.Size{MemoryMB: 60}, false))
	must.Nil(t, r.Pick(begin, "s", job.Size{MemoryMB: 61}, false))
	r.Release("m", size)
	must.NotNil(t, r.Pick(begin, "s", size, false))
}

// Runs of a millisecond differ by scheduling, not by the minion.
func TestShortRunsEjectNobody(t *testing.T) {
	r := registry(10)
	for range 200 {
		for i := range 10 {
			run := 200 * time.Microsecond
			if i == 0 {
				run *= 10
			}
			must.Eq(t, Unchanged, r.Observe(begin, fmt.Sprintf("m%d", i), "s", job.Outcome{Run: run}))
		}
	}
}
