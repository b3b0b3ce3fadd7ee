package fleet

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// untriedAnswers counts the tries that were answered as unknown at their deadline although
// no start of the job had arrived at a minion since the try began. Such callers waited for
// nothing: a refusal would have been truthful earlier.
type untriedAnswers struct {
	tries, unknown, untried int
	ways                    map[string]int // untried answers, by what had happened to the job
}

// jobHistory is what the events of a job's try say about it.
type jobHistory struct {
	startsBefore int             // starts that had arrived at minions before the try
	marks        map[string]bool // names of what happened
}

// countUntried makes the simulation count untried answers.
func (sim *simulation) countUntried() *untriedAnswers {
	u := &untriedAnswers{ways: make(map[string]int)}
	jobs := make(map[string]*jobHistory)
	historyOf := func(id string) *jobHistory {
		if jobs[id] == nil {
			jobs[id] = &jobHistory{startsBefore: sim.checker.starts[id], marks: make(map[string]bool)}
		}
		return jobs[id]
	}
	sim.onEvent = func(_ *simHost, id event.ID, attrs []slog.Attr) {
		a := make(map[string]slog.Value)
		for _, x := range attrs {
			a[x.Key] = x.Value
		}
		if a["job"].Kind() != slog.KindString {
			return
		}
		h := historyOf(a["job"].String())
		switch id {
		case event.EntryJobOffered:
			h.marks[fmt.Sprintf("offered, may_have_run %v", a["may_have_run"])] = true
		case event.EntryJobReoffered:
			h.marks[a["reason"].String()] = true
		case event.PoolJobQueued:
			h.marks[fmt.Sprintf("queued, may_have_run %v", a["may_have_run"])] = true
		case event.PoolTaskStarted:
			h.marks["start sent"] = true
		case event.OfferStale:
			h.marks["stale offer"] = true
		case event.PoolJobEnded:
			h.marks[fmt.Sprintf("pool outcome %v %s", a["outcome"], a["reason"])] = true
		}
	}
	sim.onAnswer = func(job string, outcome peer.JobOutcome, reason string) {
		h := historyOf(job)
		delete(jobs, job)
		u.tries++
		if outcome != peer.JobUnknown {
			return
		}
		u.unknown++
		if sim.checker.starts[job] > h.startsBefore || reason != "deadline passed" && !strings.HasPrefix(reason, "the backlog") && !strings.HasPrefix(reason, "the queue") {
			return
		}
		u.untried++
		u.ways[reason+": "+strings.Join(slices.Sorted(maps.Keys(h.marks)), ", ")]++
	}
	return u
}

// Jobs of which nothing was started are refused, or run elsewhere, unless their dispatcher was
// killed or cut off: nobody can know then. The test prints what had happened to the others.
func TestUntriedAnswersAreRare(t *testing.T) {
	total := untriedAnswers{ways: make(map[string]int)}
	for seed := range uint64(simSeeds / 2) {
		sim := newSimulation(defaultConfig, seed)
		u := sim.countUntried()
		sim.run()
		total.tries += u.tries
		total.unknown += u.unknown
		total.untried += u.untried
		for way, n := range u.ways {
			total.ways[way] += n
		}
	}
	t.Logf("%d tries, %d unknown, %d untried", total.tries, total.unknown, total.untried)
	must.LessEq(t, total.tries/100, total.untried)
	ways := slices.SortedFunc(maps.Keys(total.ways), func(a, b string) int { return total.ways[b] - total.ways[a] })
	for _, way := range ways {
		t.Logf("%4d %s", total.ways[way], way)
	}
}
