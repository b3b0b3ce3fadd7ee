package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// The simulation runs whole failure domains in virtual time: the cores of all hosts,
// minions, callers, and the network between them. Runs with the same seed are
// identical.

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type simEvent struct {
	at  time.Duration
	seq int
	f   func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h simEvents) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simConfig sets the size of a simulated system, its load and its faults.
type simConfig struct {
	failureDomains, entryHosts, minions int // entryHosts and minions are those of each failure domain
	controlHosts                        int // of each failure domain; 0: one
	load                                float64
	linkRate                            int     // of an entry host, in bytes per second; 0: not limited
	payloadBytes                        int     // of each job, at least
	burst                               float64 // factor on the load from burstAt for burstPeriod
	burstAt, burstPeriod                time.Duration
	faultPeriod                         time.Duration // faults begin during this time
	recoveryPeriod                      time.Duration // time after faultPeriod in which callers still submit jobs
}

var defaultConfig = simConfig{failureDomains: 2, entryHosts: 3, minions: 6, load: 0.6, faultPeriod: 24 * time.Second, recoveryPeriod: 14 * time.Second}

// simulation is the state of one simulation run.
type simulation struct {
	config      simConfig
	rng         *rand.Rand
	now         time.Duration
	events      simEvents
	seq         int
	hosts       []*simHost
	hostByName  map[string]*simHost
	minions     []*simMinion
	minionByID  map[string]*simMinion
	links       map[[2]string]*simLink
	checker     simChecker
	callers     []*simCaller
	trace       func(format string, args ...any)
	faultUntil  time.Duration // time until which the host and link faults so far last
	lastJobID   int
	onHeartbeat func(from, to string, h *peer.FleetHeartbeat) // called with each heartbeat that is sent; may be nil
	onEvent     func(h *simHost, id event.ID)                 // called with each event that is logged; may be nil
	keepCallers bool                                          // after they have finished
	stopAt      time.Duration                                 // when run ends; 0: when no more jobs are open
}

func newSimulation(cfg simConfig, seed uint64) *simulation {
	sim := &simulation{
		config: cfg, rng: rand.New(rand.NewPCG(seed, 77)), hostByName: make(map[string]*simHost), minionByID: make(map[string]*simMinion),
		links: make(map[[2]string]*simLink), trace: func(string, ...any) {},
	}
	sim.checker.sim = sim
	sim.checker.running = make(map[simTask]*simMinion)
	sim.checker.done = make(map[simTask]bool)
	sim.checker.starts = make(map[string]int)
	for d := range cfg.failureDomains {
		domain := fmt.Sprintf("z%d", d)
		for i := range max(1, cfg.controlHosts) {
			sim.addHost(peer.HostRecord{Name: fmt.Sprintf("c%d-%d", d, i), FailureDomain: domain, Control: true})
			sim.hosts[len(sim.hosts)-1].linkRate = 0
		}
		for i := range cfg.entryHosts {
			sim.addHost(peer.HostRecord{Name: fmt.Sprintf("e%d-%d", d, i), FailureDomain: domain, Entry: true})
		}
		for i := range cfg.minions {
			sim.addMinion(fmt.Sprintf("m%d-%d", d, i), domain)
		}
	}
	return sim
}

// run simulates the startup, faultPeriod, recoveryPeriod and 10 s for open jobs.
func (sim *simulation) run() {
	for _, h := range sim.hosts {
		sim.after(time.Duration(sim.rng.IntN(300))*time.Millisecond, h.launch)
	}
	for _, m := range sim.minions {
		sim.after(time.Duration(sim.rng.IntN(1500))*time.Millisecond, m.launch)
	}
	const startupTime = 4 * time.Second
	sim.after(startupTime, sim.nextCaller)
	sim.after(startupTime, sim.forgetCallers)
	sim.after(startupTime, sim.nextFault)
	// A planned drain after all faults must not disturb callers.
	sim.after(startupTime+sim.config.faultPeriod+sim.config.recoveryPeriod/2, func() { sim.drainMinion(time.Second) })
	end := startupTime + sim.config.faultPeriod + sim.config.recoveryPeriod
	end += 10 * time.Second
	if sim.stopAt > 0 {
		end = sim.stopAt
	}
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(simEvent)
		sim.now = e.at
		e.f()
	}
}

func (sim *simulation) faultsEnd() time.Duration { return 4*time.Second + sim.config.faultPeriod }
func (sim *simulation) trafficEnd() time.Duration {
	return sim.faultsEnd() + sim.config.recoveryPeriod
}

func (sim *simulation) after(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.events, simEvent{sim.now + d, sim.seq, f})
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// durationBetween returns a random duration in [low, high].
func (sim *simulation) durationBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)+1))
}

// faultFreeFor reports whether the last host or link fault ended at least duration ago.
func (sim *simulation) faultFreeFor(duration time.Duration) bool {
	return sim.now-sim.faultUntil >= duration
}

// faultLasts records a host or link fault that lasts for duration from now.
func (sim *simulation) faultLasts(duration time.Duration) {
	sim.faultUntil = max(sim.faultUntil, sim.now+duration)
}
