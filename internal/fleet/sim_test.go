package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// The simulation plays whole failure domains in virtual time: the decisions of
// every host, minions, callers, and a network between them. It is seeded; a
// seed repeats exactly.

var simBegin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

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

// simShape is the size of a simulated system and what happens to it.
type simShape struct {
	domains, entries, minions int // entries and minions of each domain
	controls                  int // of each domain; 0: one
	load                      float64
	faults                    time.Duration // for how long faults come
	rest                      time.Duration // after the last fault
}

var usualShape = simShape{domains: 2, entries: 3, minions: 6, load: 0.6, faults: 24 * time.Second, rest: 14 * time.Second}

// world is one run.
type world struct {
	shape   simShape
	rng     *rand.Rand
	now     time.Duration
	events  simEvents
	seq     int
	hosts   []*simHost
	byName  map[string]*simHost
	minions []*simMinion
	byID    map[string]*simMinion
	links   map[[2]string]*simLink
	ledger  simLedger
	calls   []*simCall
	trace   func(format string, args ...any)
	faultAt time.Duration // newest moment of a fault of hosts or links
	nextID  int
}

func newWorld(shape simShape, seed uint64) *world {
	w := &world{
		shape: shape, rng: rand.New(rand.NewPCG(seed, 77)), byName: make(map[string]*simHost), byID: make(map[string]*simMinion),
		links: make(map[[2]string]*simLink), trace: func(string, ...any) {},
	}
	w.ledger.w = w
	w.ledger.present = make(map[simTask]*simMinion)
	w.ledger.done = make(map[simTask]bool)
	w.ledger.starts = make(map[string]int)
	for d := range shape.domains {
		domain := fmt.Sprintf("z%d", d)
		for i := range max(1, shape.controls) {
			w.addHost(peer.HostRecord{Name: fmt.Sprintf("c%d-%d", d, i), FailureDomain: domain, Control: true})
		}
		for i := range shape.entries {
			w.addHost(peer.HostRecord{Name: fmt.Sprintf("e%d-%d", d, i), FailureDomain: domain, Entry: true})
		}
		for i := range shape.minions {
			w.addMinion(fmt.Sprintf("m%d-%d", d, i), domain)
		}
	}
	return w
}

// run plays until the end of the faults and the rest.
func (w *world) run() {
	for _, h := range w.hosts {
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, h.launch)
	}
	for _, m := range w.minions {
		w.after(time.Duration(w.rng.IntN(1500))*time.Millisecond, m.launch)
	}
	const settle = 4 * time.Second
	w.after(settle, w.nextJob)
	w.after(settle, w.nextFault)
	// When all faults are over, planned work goes on.
	w.after(settle+w.shape.faults+w.shape.rest/2, func() { w.minionDrain(time.Second) })
	end := settle + w.shape.faults + w.shape.rest
	for len(w.events) > 0 && w.events[0].at <= end+10*time.Second {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.f()
	}
}

func (w *world) faultsEnd() time.Duration { return 4*time.Second + w.shape.faults }
func (w *world) trafficEnd() time.Duration {
	return w.faultsEnd() + w.shape.rest
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, simEvent{w.now + d, w.seq, f})
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// within returns a duration between two bounds.
func (w *world) within(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

// calm reports whether hosts and links were whole for a while.
func (w *world) calm(for_ time.Duration) bool { return w.now-w.faultAt >= for_ }

// disturbed notes that a fault lasts for some more time.
func (w *world) disturbed(more time.Duration) { w.faultAt = max(w.faultAt, w.now+more) }
