package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// killEntryHostThenCut kills an entry host, and cuts some minions off about when the
// dispatchers give up its jobs. Callers send their jobs again to other hosts.
func (sim *simulation) killEntryHostThenCut(time.Duration) {
	h := sim.anyHost()
	if !h.rec.Entry {
		return
	}
	after := sim.durationBetween(100*time.Millisecond, time.Second)
	cut := sim.durationBetween(100*time.Millisecond, time.Second)
	sim.faultLasts(3 * time.Second)
	h.endProcess(sim.chance(0.3))
	sim.after(3*time.Second, h.powerOn)
	sim.after(after, func() {
		sim.trace("minions are cut off for %v", cut)
		minions := sim.machines(func(_ string, host bool) bool { return !host && sim.chance(0.3) })
		sim.cutBetween(minions, sim.machines(func(_ string, host bool) bool { return host }), false, cut)
	})
}

// An entry host is killed while other hosts dispatch its callers' long tasks, and minions
// are cut off just before these hosts give the jobs up. Three dispatchers share the failure
// domain, so that a job sent again may start beside its earlier run.
func TestEntryHostDiesBeforeMinionsAreCutOff(t *testing.T) {
	const submitted, killed, cut = 8 * time.Second, 9 * time.Second, 5 * time.Second
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(simConfig{failureDomains: 1, entryHosts: 4, minions: 60, load: 0.01, recoveryPeriod: 12 * time.Second}, seed)
			var victim *simHost
			sim.after(submitted, func() {
				for _, h := range sim.hosts {
					if h.rec.Entry && len(h.core.shards) == 0 {
						victim = h
					}
				}
				must.NotNil(t, victim)
				for range 90 {
					c := sim.newCaller()
					c.offer.Steps, c.work = c.offer.Steps[:1], []time.Duration{4 * time.Second}
					c.offer.Steps[0].Count, c.offer.Steps[0].EstimateMS, c.offer.Steps[0].Label = 1, 4000, ""
					c.try()
				}
			})
			sim.after(killed, func() { victim.endProcess(false) })
			sim.after(killed+sim.durationBetween(500*time.Millisecond, 600*time.Millisecond), func() {
				minions := sim.machines(func(_ string, host bool) bool { return !host && sim.chance(0.5) })
				sim.cutBetween(minions, sim.machines(func(_ string, host bool) bool { return host }), false, cut)
			})
			sim.run()
			for _, v := range sim.checker.finish() { // too few jobs arrive for the others
				must.StrNotContains(t, v, "already runs on")
			}
		})
	}
}
