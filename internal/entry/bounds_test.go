package entry

import (
	"math"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// A job that no minion can be large enough for is failed at once and is offered to no
// dispatcher, where its size would count as load.
func TestImpossibleJobFailsAtOnce(t *testing.T) {
	for _, step := range []peer.TaskStep{{Count: 1, CPU: math.MaxInt32}, {Count: 1, MemoryMB: 1 << 50}, {Count: 1, Accelerators: math.MaxInt32}} {
		x := newTable()
		x.SetDispatchers(begin, []Dispatcher{dispatcherOf("d", "a", 100_000, 0)})
		x.Submit(begin, peer.JobOffer{Job: "j", Steps: []peer.TaskStep{step}}, begin.Add(3000*ms), 1)
		r := x.Ready()
		must.SliceEmpty(t, r.Messages)
		must.Eq(t, peer.JobFailed, r.Answers[0].Outcome.Outcome)
		must.Zero(t, x.OpenJobs())
	}
}

// Numbers at their bounds don't make an estimated delay negative, which would attract all
// further jobs to the dispatcher.
func TestDelayOfHugeJobsSaturates(t *testing.T) {
	x := newTable()
	d := dispatcherOf("d", "a", 100_000, 0)
	x.SetDispatchers(begin, []Dispatcher{d})
	for _, id := range []string{"j1", "j2", "j3"} {
		x.Submit(begin, peer.JobOffer{
			Job: id, StretchPct: peer.MaxStretchPct, AddMS: peer.MaxTimeMS,
			Steps: []peer.TaskStep{{Count: peer.MaxTasks, CPU: 1 << 30, EstimateMS: peer.MaxTimeMS}},
		}, begin.Add(peer.MaxTimeMS*ms), 1)
		j := x.jobs[id]
		must.Positive(t, x.estimateDelay(&d, j))
		must.False(t, j.latestStart().Before(begin))
	}
}
