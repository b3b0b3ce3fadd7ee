package fleet

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

const (
	simEvacuationLimit = 5 * time.Second       // requirement: nothing is started in an evacuated failure domain this long after the acknowledgement
	simFetchTime       = 20 * time.Millisecond // from a heartbeat with a newer version until that version is applied
)

// simVersion is the version of the document that a simulated host has applied. The zero
// value is that of a process that has applied none yet.
type simVersion struct {
	version     uint64
	evacuations *[]string
}

// fetchVersion applies the newer version of another host that has reported it.
func (sim *simulation) fetchVersion(h, from *simHost, reported uint64) {
	if reported <= h.applied.version || h.rec.FailureDomain == sim.noFetchIn {
		return
	}
	incarnation := h.incarnation
	sim.after(simFetchTime, func() {
		if h.incarnation == incarnation && from.applied.version > h.applied.version {
			h.applied = from.applied
		}
	})
}

// orderEvacuations stores a new version on the first control hosts, which must be a
// majority, and acknowledges it.
func (sim *simulation) orderEvacuations(version uint64, majority int, domains ...string) {
	for _, h := range sim.hosts {
		if h.rec.Control && majority > 0 {
			h.applied = simVersion{version, &domains}
			majority--
		}
	}
	sim.evacuatedAt = make(map[string]time.Duration)
	for _, d := range domains {
		sim.evacuatedAt[d] = sim.now
	}
}

func evacuationConfig() simConfig {
	return simConfig{failureDomains: 3, entryHosts: 3, minions: 8, load: 0.4, recoveryPeriod: 26 * time.Second}
}

// servedShare returns the share of the jobs from callers of a failure domain, submitted
// between two times, that were completed at their first try.
func (sim *simulation) servedShare(domain string, from, to time.Duration) float64 {
	var all, served float64
	for _, c := range sim.callers {
		if c.domain == domain && c.began >= from && c.began < to {
			all++
			if c.outcome == peer.JobComplete && c.tries == 1 {
				served++
			}
		}
	}
	return served / all
}

// An evacuated failure domain starts nothing after the limit, whichever of its hosts are
// restarted, cut off from the control hosts before the order, or take over; its callers are
// served by the other failure domains meanwhile, and by its own minions again when the
// evacuation is withdrawn.
func TestEvacuationUnderLoad(t *testing.T) {
	const ordered, withdrawn, settled = 9 * time.Second, 19 * time.Second, 2 * time.Second
	for name, disturb := range map[string]func(sim *simulation){
		"undisturbed": func(*simulation) {},
		"dispatchers are killed": func(sim *simulation) {
			for _, after := range []time.Duration{100 * time.Millisecond, 4 * time.Second, 7 * time.Second} {
				sim.after(ordered+after, func() {
					sim.faultLasts(time.Second)
					for _, h := range sim.hosts {
						if h.rec.FailureDomain == "z1" && h.up && len(h.core.shards) > 0 {
							h.endProcess(false)
							sim.after(time.Second, h.launch)
						}
					}
				})
			}
		},
		"all hosts restart": func(sim *simulation) {
			for _, h := range sim.hosts {
				sim.after(ordered+4*time.Second, func() {
					sim.faultLasts(time.Second)
					h.endProcess(true)
				})
				sim.after(ordered+5*time.Second, h.powerOn)
			}
		},
		"its hosts miss the order for 2 s": func(sim *simulation) {
			sim.after(ordered-50*time.Millisecond, func() {
				inside := sim.machines(func(domain string, host bool) bool { return domain == "z1" && host })
				sim.cutBetween(inside, sim.machines(func(domain string, host bool) bool { return domain != "z1" && host }), false, 2*time.Second)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(evacuationConfig(), 5)
			sim.keepCallers = true
			sim.after(ordered, func() { sim.orderEvacuations(2, 2, "z1") })
			sim.after(withdrawn, func() { sim.orderEvacuations(3, 2) })
			disturb(sim)
			starts := make(map[time.Duration]int) // in z1, until then
			for _, at := range []time.Duration{ordered, ordered + simEvacuationLimit, withdrawn, withdrawn + settled} {
				sim.after(at, func() { starts[at] = sim.checker.startsIn["z1"] })
			}
			sim.run()
			must.SliceEmpty(t, sim.checker.finish())
			must.Positive(t, starts[ordered])
			must.Eq(t, starts[ordered+simEvacuationLimit], starts[withdrawn])
			must.Greater(t, starts[withdrawn], starts[withdrawn+settled], must.Sprint("its minions are used again"))
			for _, d := range []string{"z0", "z1", "z2"} {
				share := sim.servedShare(d, ordered, withdrawn)
				t.Logf("%s: %.3f served at the first try during the evacuation, %.3f after it", d, share, sim.servedShare(d, withdrawn, withdrawn+5*time.Second))
				if name == "undisturbed" {
					must.Greater(t, 0.9, share)
				}
			}
		})
	}
}

// Random faults while failure domains are evacuated and restored at random. The guarantees
// of TestRandomFaults must hold, and nothing may start in an evacuated failure domain once
// no fault keeps its hosts from learning of the order.
func TestRandomFaultsAndEvacuations(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(simConfig{failureDomains: 3, entryHosts: 3, minions: 6, load: 0.35, faultPeriod: 24 * time.Second, recoveryPeriod: 14 * time.Second}, seed)
			rng := rand.New(rand.NewPCG(seed, 78)) // of the orders only
			version := uint64(1)
			order := func(domains ...string) {
				version++
				sim.trace("evacuated are now %v", domains)
				sim.orderEvacuations(version, 2, domains...)
			}
			for at := 5 * time.Second; at < sim.faultsEnd(); at += time.Duration(500+rng.IntN(6000)) * time.Millisecond {
				domains := [][]string{nil, {"z0"}, {"z1"}, {"z2"}, {"z0", "z1"}}[rng.IntN(5)]
				sim.after(at, func() { order(domains...) })
			}
			sim.after(sim.faultsEnd()+time.Second, func() { order("z1") })
			sim.run()
			must.SliceEmpty(t, sim.checker.finish())
		})
	}
}

// A job whose first step outlasts the grace must be continued in another failure domain
// without a second run of that step, so that its caller gets its answer.
func TestJobIsContinuedOutsideTheEvacuatedDomain(t *testing.T) {
	const submitted = 8 * time.Second
	cfg := evacuationConfig()
	cfg.load = 0.05
	sim := newSimulation(cfg, 1)
	sim.keepCallers = true
	var c *simCaller
	sim.after(submitted, func() {
		c = sim.newCaller()
		c.domain = "z1"
		c.offer.Steps = []peer.TaskStep{{Count: 2, CPU: simTaskCPU, MemoryMB: 64, EstimateMS: 6000}, {Count: 2, CPU: simTaskCPU, MemoryMB: 64, EstimateMS: 100, After: []int{0}}}
		c.work = []time.Duration{6 * time.Second, 100 * time.Millisecond}
		c.try()
	})
	sim.after(submitted+500*time.Millisecond, func() { sim.orderEvacuations(2, 2, "z1") })
	sim.run()
	must.Eq(t, 4, sim.checker.starts[c.offer.Job])
	must.SliceEmpty(t, sim.checker.finish())
	must.Eq(t, peer.JobComplete, c.outcome)
	must.Eq(t, 1, c.tries)
	must.Less(t, submitted+7*time.Second, c.finishedAt)
}

// A process that knows of a version, but has not applied any, must not claim minions: its
// failure domain may be evacuated. It must claim them as soon as it has one. A host that is
// only behind must not wait for long: its failure domain would be without a dispatcher.
func TestClaimsWaitForTheFirstVersion(t *testing.T) {
	sim := newSimulation(evacuationConfig(), 1)
	sim.noFetchIn = "z1"
	claims := func() (n int) {
		for _, h := range sim.hosts {
			if h.rec.FailureDomain == "z1" {
				n += len(h.core.shards)
			}
		}
		return n
	}
	var without, with, behind int
	sim.after(4*time.Second, func() { without, sim.noFetchIn = claims(), "" })
	sim.after(5*time.Second, func() {
		with, sim.noFetchIn = claims(), "z1"
		sim.orderEvacuations(2, 2)
	})
	sim.after(8*time.Second, func() {
		for _, h := range sim.hosts {
			if h.rec.FailureDomain == "z1" {
				for _, x := range h.core.sortedShards() {
					h.core.releaseShard(h.clock(), x, "test")
				}
			}
		}
	})
	sim.after(9*time.Second, func() { behind = claims() })
	sim.stopAt = 10 * time.Second
	sim.run()
	must.Zero(t, without)
	must.Eq(t, 1, with)
	must.Eq(t, 1, behind)
}
