// Package emulator is a discrete-event simulation of entry hosts and minions.
// It runs the real engine of every host against fake minions in virtual time,
// with random delays and faults that depend on a seed alone. Randomised tests
// and `lwbench experiment` use it. It emulates interfaces, not machines:
// processor time, memory and bandwidth are not modelled.
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

// Network sets the delays and faults of all links. Delays are one-way; shares
// are from 0 to 1.
type Network struct {
	MinDelay      time.Duration
	MaxDelay      time.Duration
	Loss          float64 // share of messages between hosts that are lost
	Duplicate     float64 // share of messages between hosts that arrive twice
	LostAnswers   float64 // share of task answers that never reach the host
	RefusedStarts float64 // share of task starts whose connection is refused
}

// Counters counts messages by kind. The share of wasted messages is computed
// from them.
type Counters struct {
	Starts        int // starts that hosts sent to minions
	TaskAnswers   int // outcomes that reached the process that sent the start
	PeerMessages  int // messages between hosts other than heartbeats
	Heartbeats    int
	Cancellations int
}

// Emulator is one simulation. It isn't safe for concurrent use.
type Emulator struct {
	Net      Network
	Counters Counters
	// OnAnswer is called with every final answer of a host. OnAnswer and the
	// other callbacks below may be nil.
	OnAnswer func(h *Host, a *job.Answer)
	// OnStartSent is called for every start that a host sends to a minion.
	OnStartSent func(h *Host, s engine.Start)
	// OnStart is called when a minion starts a task. attempt is the attempt
	// number under which the host accepted the job.
	OnStart func(h *Host, m *Minion, s engine.Start, attempt int)
	// OnInput is called before a host handles an input.
	OnInput func(h *Host, now time.Time)
	// OnOutcome is called when the outcome of a start reaches the host. disproved
	// is true if it is certain that the minion did not run the task.
	OnOutcome func(h *Host, s engine.Start, o job.Outcome, disproved bool)
	// PeerDelay is added to the delay of every message between hosts.
	PeerDelay time.Duration
	// OnEnd is called at the end of a started task's run time. known is false if
	// the host does not learn the task's outcome, because the minion was killed
	// or its answer was lost.
	OnEnd func(m *Minion, s engine.Start, known bool)

	now       time.Time
	rng       *rand.Rand
	events    eventHeap
	seq       uint64
	hosts     map[string]*Host
	hostOrder []*Host
	minions   map[string]*Minion
	cutLinks  map[[2]string]bool
}

// New returns an emulator without hosts or minions whose virtual time begins at
// start.
func New(seed uint64, start time.Time) *Emulator {
	return &Emulator{
		now:      start,
		rng:      rand.New(rand.NewPCG(seed, seed)),
		hosts:    make(map[string]*Host),
		minions:  make(map[string]*Minion),
		cutLinks: make(map[[2]string]bool),
	}
}

// Now returns the virtual time.
func (e *Emulator) Now() time.Time { return e.now }

// Rand returns the emulator's random number generator.
func (e *Emulator) Rand() *rand.Rand { return e.rng }

// Host returns the named host, nil if there is none.
func (e *Emulator) Host(name string) *Host { return e.hosts[name] }

// Hosts returns the hosts in the order in which they were added.
func (e *Emulator) Hosts() []*Host { return e.hostOrder }

// Minion returns the named minion, nil if there is none.
func (e *Emulator) Minion(name string) *Minion { return e.minions[name] }

// After schedules f to run d after the current virtual time.
func (e *Emulator) After(d time.Duration, f func()) {
	e.seq++
	heap.Push(&e.events, event{at: e.now.Add(d), seq: e.seq, f: f})
}

// RunUntil runs all events that are due by the virtual time t.
func (e *Emulator) RunUntil(t time.Time) {
	for len(e.events) > 0 && !e.events[0].at.After(t) {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.f()
	}
	e.now = t
}

// Cut cuts the link between two hosts in one direction: messages that from sends
// to the other host are dropped until Heal is called.
func (e *Emulator) Cut(from, to string) { e.cutLinks[[2]string{from, to}] = true }

// Heal restores every link that was cut.
func (e *Emulator) Heal() { clear(e.cutLinks) }

// networkDelay returns a random one-way delay between MinDelay and MaxDelay.
func (e *Emulator) networkDelay() time.Duration {
	spread := e.Net.MaxDelay - e.Net.MinDelay
	if spread <= 0 {
		return e.Net.MinDelay
	}
	return e.Net.MinDelay + time.Duration(e.rng.Int64N(int64(spread)))
}

func (e *Emulator) chance(p float64) bool { return p > 0 && e.rng.Float64() < p }

// sendMessage delivers a message to another host after the network's delay, or
// drops or duplicates it.
func (e *Emulator) sendMessage(from *Host, m engine.OutgoingMessage) {
	if _, ok := m.Body.(*peer.Heartbeat); ok {
		e.Counters.Heartbeats++
	} else {
		e.Counters.PeerMessages++
	}
	copies := 1
	if e.chance(e.Net.Loss) || e.cutLinks[[2]string{from.Name, m.To}] {
		return
	}
	if e.chance(e.Net.Duplicate) {
		copies = 2
	}
	inc := from.Engine.Incarnation()
	for range copies {
		e.After(e.networkDelay()+e.PeerDelay, func() {
			to := e.hosts[m.To]
			to.HandleInput(func(now time.Time) { to.Engine.Receive(now, from.Name, inc, m.Body) })
		})
	}
}

// sendStart delivers a start to its minion and the outcome back to the host.
func (e *Emulator) sendStart(h *Host, s engine.Start) {
	e.Counters.Starts++
	if e.OnStartSent != nil {
		e.OnStartSent(h, s)
	}
	generation := h.generation
	sent := h.now()
	link := e.linkDelay(s.Minion)
	finish := func(o job.Outcome, disproved bool) {
		e.After(e.networkDelay()+link, func() {
			if h.generation != generation {
				return // the process that sent the start has ended
			}
			e.Counters.TaskAnswers++
			h.HandleInput(func(now time.Time) {
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
	identity := runIdentity(h.Engine.Incarnation(), s.Task)
	attempt := h.Engine.Jobs().Get(s.Task.Job).Attempt
	e.After(e.networkDelay()+link, func() {
		m := e.minions[s.Minion]
		if m == nil || m.Killed || e.chance(e.Net.RefusedStarts) {
			finish(job.Outcome{Code: result.Busy}, true)
			return
		}
		if m.reserveSlot(identity) == nil {
			finish(job.Outcome{Code: result.Busy}, true)
			return
		}
		if e.OnStart != nil {
			e.OnStart(h, m, s, attempt)
		}
		m.run(e, identity, s, finish)
	})
}

// linkDelay returns the extra one-way delay between hosts and the named minion.
func (e *Emulator) linkDelay(name string) time.Duration {
	if m := e.minions[name]; m != nil {
		return m.LinkDelay
	}
	return 0
}

// event is a function that runs at a virtual time. Events of equal time run in
// the order of seq.
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
