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

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestRegistry(minions int) *Registry {
	r := NewRegistry(time.Hour)
	for i := range minions {
		r.Announce(testTime, Announcement{Name: fmt.Sprintf("m%d", i), Rack: fmt.Sprint(i / 2), Services: []string{"s"}, Slots: 2, Generation: 1}, time.Hour, true)
	}
	return r
}

var successOutcome = job.Outcome{Code: result.OK, Run: 100 * time.Millisecond}

var failedOutcome = job.Outcome{Code: result.TaskFailed}

func TestFailingMinionIsEjectedThenRestoredByProbes(t *testing.T) {
	r := newTestRegistry(5)
	for range 20 {
		for i := range 4 {
			must.Eq(t, Unchanged, r.RecordOutcome(testTime, fmt.Sprintf("m%d", i), "s", successOutcome))
		}
	}
	change := Unchanged
	failures := 0
	for ; change == Unchanged; failures++ {
		change = r.RecordOutcome(testTime, "m4", "s", failedOutcome)
	}
	must.Eq(t, Ejected, change)
	must.Eq(t, minFailures, failures)

	m := r.Get("m4")
	must.False(t, m.health.allows(testTime, 0))
	probe := testTime.Add(firstProbePause)
	must.True(t, m.health.allows(probe, 0))
	must.False(t, m.health.allows(probe, 1)) // only one probe at a time
	must.Eq(t, Unchanged, r.RecordOutcome(probe, "m4", "s", failedOutcome))
	must.False(t, m.health.allows(probe.Add(2*firstProbePause-1), 0)) // the pause has doubled
	probe = probe.Add(2 * firstProbePause)
	must.Eq(t, Unchanged, r.RecordOutcome(probe, "m4", "s", successOutcome))
	must.Eq(t, Unchanged, r.RecordOutcome(probe, "m4", "s", successOutcome))
	must.Eq(t, Restored, r.RecordOutcome(probe, "m4", "s", successOutcome))
	must.SliceEmpty(t, r.EjectedMinions())
}

// If the tasks fail on every minion, the cause is in the tasks.
func TestTasksFailingOnAllMinionsEjectNone(t *testing.T) {
	r := newTestRegistry(5)
	for range 50 {
		for i := range 5 {
			must.Eq(t, Unchanged, r.RecordOutcome(testTime, fmt.Sprintf("m%d", i), "s", failedOutcome))
		}
	}
}

func TestAtMostOneFifthOfMinionsIsEjected(t *testing.T) {
	r := newTestRegistry(10)
	for range 50 {
		for i := range 10 {
			o := successOutcome
			if i < 4 {
				o = failedOutcome
			}
			r.RecordOutcome(testTime, fmt.Sprintf("m%d", i), "s", o)
		}
	}
	must.Len(t, 2, r.EjectedMinions())
}

// With log-normally distributed run times, only the minion that is slow by a
// constant factor is ejected.
func TestSlowMinionIsEjected(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	r := newTestRegistry(10)
	for range 100 {
		for i := range 10 {
			run := time.Duration(float64(200*time.Millisecond) * logNormalFactor(rng))
			if i == 3 {
				run *= 5
			}
			r.RecordOutcome(testTime, fmt.Sprintf("m%d", i), "s", job.Outcome{Run: run})
		}
	}
	must.Eq(t, []string{"m3"}, r.EjectedMinions())
}

// If the tasks become slow on every minion, the cause is in the tasks.
func TestServiceSlowOnAllMinionsEjectsNone(t *testing.T) {
	r := newTestRegistry(10)
	for round := range 200 {
		run := 200 * time.Millisecond
		if round >= 100 {
			run *= 20
		}
		for i := range 10 {
			must.Eq(t, Unchanged, r.RecordOutcome(testTime, fmt.Sprintf("m%d", i), "s", job.Outcome{Run: run}))
		}
	}
}

// logNormalFactor returns an approximately log-normally distributed factor.
func logNormalFactor(rng *rand.Rand) float64 {
	x := 1.0
	for range 12 {
		x *= 0.69 + 0.7*rng.Float64()
	}
	return x
}

// A dead minion appears to have the most free slots. Trials of it must back off,
// or most starts would be wasted on it.
func TestTrialsOfRefusingMinionBackOff(t *testing.T) {
	r := newTestRegistry(1)
	trialCount := 0
	for now := testTime; now.Before(testTime.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		m := r.Pick(now, "s", job.Size{}, false)
		if m == nil {
			continue
		}
		r.Acquire(now, m, job.Size{})
		r.ReleaseRefused(now, m.Name, job.Size{}, 5*time.Millisecond)
		trialCount++
	}
	must.Between(t, 10, trialCount, 20)
	must.Nil(t, r.Pick(testTime, "s", job.Size{}, true))
}

// After a refusal the minion gets no more tasks than it has in progress, since
// other hosts use its remaining slots. When one of these tasks ends, its slot can be
// used again without a trial.
func TestConcurrencyLimitFollowsRefusals(t *testing.T) {
	r := newTestRegistry(1)
	m := r.Pick(testTime, "s", job.Size{}, false)
	r.Acquire(testTime, m, job.Size{})
	r.Acquire(testTime, m, job.Size{})
	r.ReleaseRefused(testTime, m.Name, job.Size{}, 5*time.Millisecond)
	must.Nil(t, r.Pick(testTime, "s", job.Size{}, false))
	r.Release(m.Name, job.Size{})
	must.NotNil(t, r.Pick(testTime, "s", job.Size{}, true))
}

// The lending host's share of a minion never overlaps the shares of the borrowing
// hosts.
func TestLoansAndLenderShareAddUpToSlots(t *testing.T) {
	for lent := range 15 {
		lender, a, b := newTestRegistry(5), newTestRegistry(5), newTestRegistry(5)
		loans := []Loan{{Slots: lent, Borrower: "a"}, {Slots: lent / 2, Borrower: "b"}}
		lender.SetShare(Share{All: true, Loans: loans})
		a.SetShare(Share{Loans: loans[:1]})
		b.SetShare(Share{Loans: loans[1:]})
		for i, m := range lender.ordered {
			sum := m.share + a.ordered[i].share + b.ordered[i].share
			must.True(t, sum == m.Slots || m.share == 0, must.Sprintf("%d slots lent: shares add up to %d of %d slots on minion %s", lent, sum, m.Slots, m.Name))
		}
	}
}

func TestWeightedSharesAddUpToSlots(t *testing.T) {
	for _, weights := range [][]int{{1}, {1, 1}, {1, 1, 1}, {7, 1, 30}, {1, 200, 3, 50}} {
		sum := make([]int, 5)
		for index := range weights {
			r := newTestRegistry(5)
			r.SetShare(Share{Weights: weights, Index: index})
			for i, m := range r.ordered {
				must.GreaterEq(t, 0, m.share)
				sum[i] += m.share
			}
		}
		must.Eq(t, []int{2, 2, 2, 2, 2}, sum)
	}
}

func TestDeclaredSizesLimitPlacement(t *testing.T) {
	r := NewRegistry(time.Hour)
	r.Announce(testTime, Announcement{Name: "m", Rack: "r", Services: []string{"s"}, Slots: 8, MemoryMB: 100, Accelerators: 1}, time.Hour, true)
	size := job.Size{MemoryMB: 40, Accelerators: 1}
	m := r.Pick(testTime, "s", size, false)
	r.Acquire(testTime, m, size)
	must.Nil(t, r.Pick(testTime, "s", size, false))
	must.NotNil(t, r.Pick(testTime, "s", job.Size{MemoryMB: 60}, false))
	must.Nil(t, r.Pick(testTime, "s", job.Size{MemoryMB: 61}, false))
	r.Release("m", size)
	must.NotNil(t, r.Pick(testTime, "s", size, false))
}

// Run times of about a millisecond differ by process scheduling, not by the
// minion.
func TestShortRunsEjectNone(t *testing.T) {
	r := newTestRegistry(10)
	for range 200 {
		for i := range 10 {
			run := 200 * time.Microsecond
			if i == 0 {
				run *= 10
			}
			must.Eq(t, Unchanged, r.RecordOutcome(testTime, fmt.Sprintf("m%d", i), "s", job.Outcome{Run: run}))
		}
	}
}
