// Package emulator runs the decisions of several hosts against small fake
// minions in virtual time: a heap of events, seeded random delays and faults.
// Randomised tests and `lwbench experiment` use it. It emulates interfaces,
// not machines: no processor time, memory or bandwidth.
package emulator

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Network is the behaviour of the links. Delays are one way.
type Network struct {
	MinDelay  time.Duration
	MaxDelay  time.Duration
	Loss      float64 // share of messages between hosts that are lost
	Duplicate float64 // share that arrive twice
	Broken    float64 // share of task answers that never reach the host
	Refused   float64 // share of task starts whose connection is refused
}

// Counters counts messages by leg, for the share that was wasted.
type Counters struct {
	Starts        int // task requests sent
	TaskAnswers   int
	PeerMessages  int // all but heartbeats
	Heartbeats    int
	Cancellations int
}

// Emulator is one run. It isn't safe for concurrent use.
type Emulator struct {
	Net      Network
	Counters Counters
	// OnAnswer receives every final answer of a host.
	OnAnswer func(h *Host, a *job.Answer)
	// OnSend is told of every task request that leaves a host.
	OnSend func(h *Host, s engine.Start)
	// OnStart is told of every task that a minion really starts, and of the
	// attempt number under which its host accepted the job.
	OnStart func(h *Host, m *Minion, s engine.Start, attempt int)
	// OnInput is told of every input of a host before it is handled, and
	// OnOutcome of the outcome of every start.
	OnInput   func(h *Host, now time.Time)
	OnOutcome func(h *Host, s engine.Start, o job.Outcome, disproved bool)
	// PeerDelay is added to every message between hosts.
	PeerDelay time.Duration
	// OnEnd is told of every started task that no longer runs; known says that
	// its outcome was sent to the host.
	OnEnd func(m *Minion, s engine.Start, known bool)

	now     time.Time
	rng     *rand.Rand
	events  eventHeap
	seq     uint64
	hosts   map[string]*Host
	order   []*Host
	minions map[string]*Minion
	cuts    map[[2]string]bool
}

// New returns an empty run that starts at the given virtual time.
func New(seed uint64, start time.Time) *Emulator {
	return &Emulator{
		now:     start,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		hosts:   make(map[string]*Host),
		minions: make(map[string]*Minion),
		cuts:    make(map[[2]string]bool),
	}
}

// Now returns the virtual time.
func (e *Emulator) Now() time.Time { return e.now }

// Rand returns the run's random numbers.
func (e *Emulator) Rand() *rand.Rand { return e.rng }

// Host returns the named host.
func (e *Emulator) Host(name string) *Host { return e.hosts[name] }

// Hosts returns the hosts in the order of their addition.
func (e *Emulator) Hosts() []*Host { return e.order }

// Minion returns the named minion.
func (e *Emulator) Minion(name string) *Minion { return e.minions[name] }

// After schedules f.
func (e *Emulator) After(d time.Duration, f func()) {
	e.seq++
	heap.Push(&e.events, event{at: e.now.Add(d), seq: e.seq, f: f})
}

// RunUntil handles events up to the given virtual time.
func (e *Emulator) RunUntil(t time.Time) {
	for len(e.events) > 0 && !e.events[0].at.After(t) {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.f()
	}
	e.now = t
}

// Cut drops what from sends to other hosts named to, until Heal.
func (e *Emulator) Cut(from, to string) { e.cuts[[2]string{from, to}] = true }

// Heal ends every cut.
func (e *Emulator) Heal() { clear(e.cuts) }

func (e *Emulator) delay() time.Duration {
	spread := e.Net.MaxDelay - e.Net.MinDelay
	if spread <= 0 {
		return e.Net.MinDelay
	}
	return e.Net.MinDelay + time.Duration(e.rng.Int64N(int64(spread)))
}

func (e *Emulator) chance(p float64) bool { return p > 0 && e.rng.Float64() < p }

// deliver carries a message between hosts.
func (e *Emulator) deliver(from *Host, m engine.OutgoingMessage) {
	if _, ok := m.Body.(*peer.Heartbeat); ok {
		e.Counters.Heartbeats++
	} else {
		e.Counters.PeerMessages++
	}
	copies := 1
	if e.chance(e.Net.Loss) || e.cuts[[2]string{from.Name, m.To}] {
		return
	}
	if e.chance(e.Net.Duplicate) {
		copies = 2
	}
	inc := from.Engine.Incarnation()
	for range copies {
		e.After(e.delay()+e.PeerDelay, func() {
			to := e.hosts[m.To]
			to.Do(func(now time.Time) { to.Engine.Receive(now, from.Name, inc, m.Body) })
		})
	}
}

// start carries a task to its minion and the outcome back.
func (e *Emulator) start(h *Host, s engine.Start) {
	e.Counters.Starts++
	if e.OnSend != nil {
		e.OnSend(h, s)
	}
	generation := h.generation
	sent := h.now()
	link := e.linkDelay(s.Minion)
	finish := func(o job.Outcome, disproved bool) {
		e.After(e.delay()+link, func() {
			if h.generation != generation {
				return // the process that asked is gone
			}
			e.Counters.TaskAnswers++
			h.Do(func(now time.Time) {
				o.SentAt, o.Trip = sent, now.Sub(sent)
				if e.OnOutcome != nil {
					e.OnOutcome(h, s, o, disproved)
				}
				if disproved {
					h.Engine.TaskDisproved(now, s.Task, s.Minion, o.Code)
					return
				}
				h.Engine.TaskFinished(now, s.Task, s.Minion, o)
			})
		})
	}
	identity := identityOf(h.Engine.Incarnation(), s.Task)
	attempt := h.Engine.Jobs().Get(s.Task.Job).Attempt
	e.After(e.delay()+link, func() {
		m := e.minions[s.Minion]
		if m == nil || m.Dead || e.chance(e.Net.Refused) {
			finish(job.Outcome{Code: result.Busy}, true)
			return
		}
		if m.begin(identity) == nil {
			finish(job.Outcome{Code: result.Busy}, true)
			return
		}
		if e.OnStart != nil {
			e.OnStart(h, m, s, attempt)
		}
		m.run(e, identity, s, finish)
	})
}

// linkDelay returns the extra delay of each way to the named minion.
func (e *Emulator) linkDelay(name string) time.Duration {
	if m := e.minions[name]; m != nil {
		return m.LinkDelay
	}
	return 0
}

type event struct {
	at  time.Time
	seq uint64
	f   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	return h[i].at.Before(h[k].at) || h[i].at.Equal(h[k].at) && h[i].seq < h[k].seq
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
