package fleet

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/shoenig/test/must"
)

// Numbers of minions that the hosts of the two sizes carry (see claim.HostSize).
const (
	simStrongCarries = 109
	simWeakCarries   = 32
)

// newUnevenSimulation returns a simulation whose first strong entry hosts are large.
func newUnevenSimulation(cfg simConfig, strong int, seed uint64) *simulation {
	sim := newSimulation(cfg, seed)
	entries := 0
	for _, h := range sim.hosts {
		if !h.rec.Entry {
			continue
		}
		if h.carries = simWeakCarries; entries < strong {
			h.carries = simStrongCarries
		}
		entries++
	}
	return sim
}

// shardsByHost returns the number of shards that each live host has claimed, and of how
// many.
func (sim *simulation) shardsByHost() (held map[string]int, shardCounts []int) {
	held = make(map[string]int)
	for _, h := range sim.hosts {
		if !h.up || !h.rec.Entry {
			continue
		}
		for _, x := range h.core.shards {
			held[h.rec.Name]++
			if !slices.Contains(shardCounts, x.shardCount) {
				shardCounts = append(shardCounts, x.shardCount)
			}
		}
	}
	return held, shardCounts
}

// isStrong reports whether the named host is a large one.
func (sim *simulation) isStrong(name string) bool {
	return sim.hostByName[name].carries == simStrongCarries
}

// requireHolders checks that the cell has a number of shards, all of them on hosts of one
// size.
func (sim *simulation) requireHolders(t *testing.T, shards int, strong bool) {
	t.Helper()
	held, counts := sim.shardsByHost()
	must.Eq(t, []int{shards}, counts, must.Sprint(sim.now))
	total := 0
	for name, n := range held {
		must.Eq(t, strong, sim.isStrong(name), must.Sprint(sim.now, " ", name))
		total += n
	}
	must.Eq(t, shards, total, must.Sprint(sim.now))
}

// jobWatch records the jobs that are in progress at each event of a kind.
type jobWatch struct {
	jobs    [][]*simCaller     // at each event, those of the failure domain of its host
	adopted int                // runs that were adopted
	moved   map[string]int     // by job: runs that were stopped because their minion is slow or failed them
	before  map[*simCaller]int // starts of tasks that had been started before, until the first event
}

func (sim *simulation) watchJobs(at event.ID) *jobWatch {
	w := &jobWatch{moved: make(map[string]int), before: make(map[*simCaller]int)}
	sim.onEvent = func(h *simHost, id event.ID, attrs []slog.Attr) {
		switch id {
		case event.PoolRunUnsuccessful:
			if job, ok := repeatedForItsMinion(attrs); ok {
				w.moved[job]++
			}
		case event.PoolRunAdopted:
			w.adopted++
		case at:
			var jobs []*simCaller
			for _, c := range sim.openCallers() {
				if slices.ContainsFunc(sim.minions, func(m *simMinion) bool { return m.domain == h.rec.FailureDomain && m.runsJob(c.offer.Job) }) {
					jobs = append(jobs, c)
					if _, known := w.before[c]; !known {
						w.before[c] = c.again - w.moved[c.offer.Job]
					}
				}
			}
			w.jobs = append(w.jobs, jobs)
		}
	}
	return w
}

// runsJob reports whether a task of the job runs on the minion.
func (m *simMinion) runsJob(job string) bool {
	for task := range m.running {
		if task.Job == job {
			return true
		}
	}
	return false
}

// repeatedForItsMinion returns the job of an unsuccessful run that is repeated because of its
// minion, with any layout: the run failed, or was too slow.
func repeatedForItsMinion(attrs []slog.Attr) (job string, ok bool) {
	for _, a := range attrs {
		switch a.Key {
		case "job":
			job = a.Value.String()
		case "how":
			ok = ok || a.Value.String() == pool.EndFailed.String()
		case "moving":
			ok = ok || a.Value.Bool()
		}
	}
	return job, ok
}

// requireJobsKept checks that no job in progress was answered as one of unknown outcome,
// and that few of them had to run a task again.
func (w *jobWatch) requireJobsKept(t *testing.T) {
	t.Helper()
	for _, jobs := range w.jobs {
		again := 0
		for _, c := range jobs {
			must.Zero(t, c.unknowns, must.Sprint(c.offer.Job, " began at ", c.began, " ", c.outcome))
			if c.again-w.before[c] > w.moved[c.offer.Job] {
				again++
			}
		}
		t.Logf("%d jobs in progress, %d ran a task again", len(jobs), again)
		must.LessEq(t, len(jobs)/10, again)
	}
}

// The shards of a cell with hosts of two sizes are on the strong hosts, also after one of
// them has died. When all of them are lost, the weak hosts get smaller shards, and the
// strong ones get them back when they return. A strong host that is away for a moment
// changes no layout. Under load no task runs twice at a time, and no new layout costs a job
// in progress.
func TestStrongHostsDispatchUnderLoad(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newUnevenSimulation(simConfig{failureDomains: 1, entryHosts: 13, minions: 80, load: 0.5, recoveryPeriod: 36 * time.Second}, 3, seed)
			layouts := sim.watchJobs(event.ShardLayoutPlanned)
			stop := func(all bool) {
				held, _ := sim.shardsByHost()
				for _, h := range sim.hosts {
					if h.carries == simStrongCarries && (all || held[h.rec.Name] > 0) {
						h.endProcess(false)
						if !all {
							return
						}
					}
				}
			}
			restart := func() {
				for _, h := range sim.hosts {
					h.launch()
				}
			}
			sim.after(9*time.Second, func() { sim.requireHolders(t, 2, true); stop(false) })
			sim.after(11*time.Second, func() { sim.requireHolders(t, 2, true); restart() })
			sim.after(15*time.Second, func() { sim.requireHolders(t, 2, true); stop(true) })
			sim.after(26*time.Second, func() { sim.requireHolders(t, 4, false); restart() })
			sim.after(36*time.Second, func() { sim.requireHolders(t, 2, true) })
			sim.run()
			must.Eq(t, 3, len(layouts.jobs)) // at the start, without the strong hosts, and with them
			layouts.requireJobsKept(t)
			must.Eq(t, nil, sim.checker.finish())
		})
	}
}

// A weak host that has taken the only shard over while the strong host was away for a
// moment hands it over when that host is back, without a new layout. The failure it
// guards against is a weak host that keeps more minions than it carries.
func TestWeakHostHandsOver(t *testing.T) {
	const killed, away = 9 * time.Second, 2 * time.Second
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newUnevenSimulation(simConfig{failureDomains: 1, entryHosts: 7, minions: 50, load: 0.5, recoveryPeriod: 16 * time.Second}, 1, seed)
			strong := sim.hostByName["e0-0"]
			sim.after(killed, func() { sim.requireHolders(t, 1, true); strong.endProcess(false) })
			sim.after(killed+away, func() { sim.requireHolders(t, 1, false); strong.launch() })
			watch := sim.watchJobs(event.ShardHandOver)
			sim.after(killed+away+6*time.Second, func() { sim.requireHolders(t, 1, true) })
			sim.run()
			must.Eq(t, 1, len(watch.jobs))
			watch.requireJobsKept(t)
			must.Positive(t, watch.adopted)
			must.Eq(t, nil, sim.checker.finish())
		})
	}
}

// openCallers returns the callers that wait for an answer.
func (sim *simulation) openCallers() []*simCaller {
	return slices.DeleteFunc(slices.Clone(sim.callers), func(c *simCaller) bool { return c.finished || c.out == nil })
}

// A new shard layout under load loses no job in progress: the holders finish, and what
// still runs then is adopted. The failure it guards against is that all jobs of the
// earlier layout wait for the end of their leases and run again.
func TestNewLayoutKeepsJobsInProgress(t *testing.T) {
	const added = 10 * time.Second
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(simConfig{failureDomains: 2, entryHosts: 6, minions: 20, load: 0.7, recoveryPeriod: 16 * time.Second}, seed)
			layouts := sim.watchJobs(event.ShardLayoutPlanned)
			sim.after(added, func() {
				for d := range 2 {
					for i := range 70 {
						sim.addMinion(fmt.Sprintf("new%d-%d", d, i), fmt.Sprintf("z%d", d)).launch()
					}
				}
			})
			sim.after(added+claim.RelayoutDelay+3*time.Second, func() {
				_, counts := sim.shardsByHost()
				must.Eq(t, []int{4}, counts)
			})
			sim.run()
			must.Eq(t, 2, len(layouts.jobs))
			layouts.requireJobsKept(t)
			must.Positive(t, layouts.adopted)
			must.Eq(t, nil, sim.checker.finish())
		})
	}
}

// unevenFaultsConfig has so many minions that the strong hosts get one shard and the weak
// ones several.
var unevenFaultsConfig = simConfig{failureDomains: 2, entryHosts: 4, minions: 50, load: 0.4, faultPeriod: 24 * time.Second, recoveryPeriod: 14 * time.Second}

// runUnevenFaults runs random faults while the strong hosts of both failure domains are away
// for longer than shards of their size last, so that shards are handed over and layouts
// change meanwhile. It returns the number of new layouts and the violations.
func runUnevenFaults(seed uint64) (layouts int, violations []string) {
	sim := newUnevenSimulation(unevenFaultsConfig, 0, seed)
	for _, name := range []string{"e0-0", "e1-0"} {
		h := sim.hostByName[name]
		h.carries = simStrongCarries
		sim.after(8*time.Second, func() { h.endProcess(sim.chance(0.5)); sim.faultLasts(9 * time.Second) })
		sim.after(17*time.Second, h.powerOn)
	}
	sim.onEvent = func(_ *simHost, id event.ID, _ []slog.Attr) {
		if id == event.ShardLayoutMade {
			layouts++
		}
	}
	sim.run()
	return layouts, sim.checker.finish()
}

// The guarantees to callers and minions hold while hosts of two sizes fail and shards change.
// In each of the seeds there are new layouts.
func TestRandomFaultsOfUnevenHosts(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			layouts, violations := runUnevenFaults(seed)
			must.Positive(t, layouts)
			must.SliceEmpty(t, violations, must.Sprint(violations))
		})
	}
}
