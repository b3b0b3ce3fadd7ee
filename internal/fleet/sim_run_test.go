package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

func runSeed(cfg simConfig, seed uint64, trace bool) (*simulation, []string) {
	sim := newSimulation(cfg, seed)
	if trace {
		sim.trace = func(format string, args ...any) { fmt.Printf("%12v "+format+"\n", append([]any{sim.now}, args...)...) }
	}
	sim.run()
	return sim, sim.checker.finish()
}

// simSeeds is the number of seeds that TestRandomFaults runs.
const simSeeds = 16

// failedSeeds are seeds that have failed, which TestRandomFaults runs as well.
var failedSeeds = []uint64{
	1796441370643945388, // a copy of a refused offer was started: both were read before the refusal was sent
}

// Hosts, minions, links and callers fail in random combinations. The guarantees to
// callers and minions must hold throughout (see simChecker).
func TestRandomFaults(t *testing.T) {
	seeds := failedSeeds
	for seed := range uint64(simSeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			_, violations := runSeed(defaultConfig, seed, false)
			must.SliceEmpty(t, violations, must.Sprint(strings.Join(violations, "\n")))
		})
	}
}

// largeConfig has failure domains of several cells, and so many control hosts that
// not all of them are neighbours.
var largeConfig = simConfig{failureDomains: 2, entryHosts: 30, minions: 24, controlHosts: 6, load: 0.4, faultPeriod: 12 * time.Second, recoveryPeriod: 14 * time.Second}

// Like TestRandomFaults, with failure domains that are large enough for two cells.
func TestRandomFaultsInSeveralCells(t *testing.T) {
	for seed := range uint64(1) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			sim, violations := runSeed(largeConfig, seed, false)
			must.SliceEmpty(t, violations, must.Sprint(strings.Join(violations, "\n")))
			for _, h := range sim.hosts {
				if h.rec.Entry && h.up {
					must.Eq(t, 2, h.core.cellLayout.Cells, must.Sprint(h.rec.Name))
				}
			}
		})
	}
}

// The number of messages that a host sends must not grow with the number of hosts. An
// entry host sends heartbeats five times a second, to the hosts of its cell and, if it
// is a dispatcher, to the other entry hosts that it reports its load to (see
// claim.ReportsLoadTo). It also sends messages about jobs.
func TestTrafficOfAHostIsFlat(t *testing.T) {
	perHost := func(entries int) float64 {
		cfg := simConfig{failureDomains: 3, entryHosts: entries, minions: 2 * entries, load: 0.05, faultPeriod: 0, recoveryPeriod: 12 * time.Second}
		sim := newSimulation(cfg, 1)
		var before, after int
		sim.after(9*time.Second, func() { before = sim.messagesOfEntryHosts() })
		sim.after(14*time.Second, func() { after = sim.messagesOfEntryHosts() })
		sim.run()
		must.SliceEmpty(t, sim.checker.finish())
		return float64(after-before) / 5 / float64(3*entries)
	}
	small, large := perHost(12), perHost(36)
	t.Logf("messages a second of an entry host: %.0f with 36 of them, %.0f with 108", small, large)
	const cell, loadReceivers, jobs = 24, 32, 50
	must.Less(t, 5*(cell+loadReceivers)+jobs, large)
}

func (sim *simulation) messagesOfEntryHosts() int {
	n := 0
	for _, h := range sim.hosts {
		if h.rec.Entry {
			for _, t := range h.sent {
				n += t.messages
			}
		}
	}
	return n
}

// TestOneSeed runs the seed in LW_SEED and prints a trace.
func TestOneSeed(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("LW_SEED"), 10, 64)
	if err != nil {
		t.Skip("set LW_SEED")
	}
	_, violations := runSeed(defaultConfig, seed, true)
	must.SliceEmpty(t, violations)
}

// TestSoak runs seeds, beginning with one from the clock, for the duration in LW_SOAK.
func TestSoak(t *testing.T) {
	duration, err := time.ParseDuration(os.Getenv("LW_SOAK"))
	if err != nil {
		t.Skip("set LW_SOAK")
	}
	until := time.Now().Add(duration)
	seedsRun := 0
	for seed := uint64(time.Now().UnixNano()); time.Now().Before(until); seed++ {
		if _, violations := runSeed(defaultConfig, seed, false); len(violations) > 0 {
			t.Errorf("seed %d: %v", seed, violations)
		}
		seedsRun++
	}
	t.Logf("%d seeds", seedsRun)
}

// Empty minions that are added under load, half as many again, are used within a second,
// and no job in progress is lost to a new shard layout.
func TestAddedMinionsDoNotInterruptJobs(t *testing.T) {
	const added, settled = 10 * time.Second, 5 * time.Second
	cfg := simConfig{failureDomains: 1, entryHosts: 8, minions: 72, load: 0.7, recoveryPeriod: 14 * time.Second}
	sim := newSimulation(cfg, 3)
	sim.keepCallers = true
	existing := len(sim.minions)
	sim.after(added, func() {
		for i := range existing * 7 / 10 {
			sim.addMinion(fmt.Sprintf("new-%d", i), "z0").launch()
		}
	})
	layouts := func() map[int]bool {
		counts := make(map[int]bool)
		for _, h := range sim.hosts {
			for _, x := range h.core.shards {
				counts[x.shardCount] = true
			}
		}
		return counts
	}
	var before, after map[int]bool
	sim.after(added, func() { before = layouts() })
	sim.after(added+settled, func() { after = layouts() })
	used := 0
	sim.after(added+time.Second, func() {
		for _, m := range sim.minions[existing:] {
			used += len(m.running)
		}
	})
	sim.run()
	must.Eq(t, before, after)
	must.Positive(t, used)
	for _, c := range sim.callers {
		must.NotEq(t, peer.JobUnknown, c.outcome)
	}
	_, shares := completedShares(sim)
	for at := added; at < added+settled; at += time.Second {
		must.Greater(t, 0.85, shares[at], must.Sprint(at))
	}
	must.SliceEmpty(t, sim.checker.finish())
}
