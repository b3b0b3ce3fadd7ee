package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// simulation drives Machines through faults in virtual time and holds what
// they do against what stands on the disks.
type simulation struct {
	seed      uint64
	rng       *rand.Rand
	now       time.Time
	events    simEvents
	seq       uint64
	steps     int
	faulty    bool
	late      float64                // share of messages that are much later than others
	managed   bool                   // control hosts admit themselves; no operator repairs
	reads     map[simTicket]uint64   // version that operators had been told of when the read began
	own       map[string]*simCommand // of hosts that asked by themselves to be admitted
	readsDone int
	races     float64 // share of changes that are raced by others on the same base

	hosts    []*simHost
	byName   map[string]*simHost
	members  []string // of version 0
	cuts     map[[2]string]bool
	commands []*simCommand
	open     map[simTicket]*simCommand

	chosen     map[uint64]*peer.ConfigRecord // what the disks say is chosen
	accepts    map[simVote]map[string]bool
	latest     uint64 // highest version in chosen
	told       uint64 // highest version an operator was told of
	lostFirst  int    // disks lost before version 1
	resizeBase uint64 // base of the last proposal that adds or removes a member
	resizing   bool
	counts     simCounts
}

type simCounts struct {
	accepted, taken, stale, noMajority, refused, resends, groupChanges, diskLosses, crashes, storeFailures, reads int
}

type simHost struct {
	membership.Host
	m        *Machine
	disk     *State // nil: a host without a disk
	disks    int    // disks so far
	starts   int
	ticks    int
	up       bool
	frozen   bool
	blocked  []func()
	thawedAt time.Time // until then its timers did not run
	applied  uint64    // by the disk's contents: never reverts while the disk lives
}

type simCommand struct {
	Proposal
	codes  []result.Code
	chosen uint64
}

type simTicket struct {
	host   string
	start  int
	ticket uint64
}

type simVote struct {
	version uint64
	ballot  peer.Ballot
}

type simEvent struct {
	at  time.Time
	seq uint64
	f   func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, k int) bool {
	return h[i].at.Before(h[k].at) || h[i].at.Equal(h[k].at) && h[i].seq < h[k].seq
}
func (h simEvents) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = simEvent{}
	*h = old[:len(old)-1]
	return last
}

const (
	simTick = 20 * time.Millisecond
	simBeat = 20 // ticks between two heartbeats, each to the next host
)

func newSimulation(seed uint64, control int, managed bool) *simulation {
	s := &simulation{
		managed: managed, reads: map[simTicket]uint64{}, own: map[string]*simCommand{},
		seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), faulty: true, late: 0.02, races: 0.3,
		byName: map[string]*simHost{}, cuts: map[[2]string]bool{}, open: map[simTicket]*simCommand{},
		chosen: map[uint64]*peer.ConfigRecord{}, accepts: map[simVote]map[string]bool{},
	}
	if seed%3 == 0 { // many ballots per version
		s.late, s.races = 0.3, 0.9
	}
	for i := range control + 3 {
		h := &simHost{Host: membership.Host{Name: fmt.Sprintf("h%d", i), FailureDomain: fmt.Sprintf("d%d", i%3)}}
		if i < control {
			s.members = append(s.members, h.Name)
		}
		if i <= control { // the last of them is a spare
			s.newDisk(h)
		}
		s.hosts = append(s.hosts, h)
		s.byName[h.Name] = h
	}
	for _, h := range s.hosts {
		s.start(h)
		s.after(s.between(0, simTick), func() { s.tick(h) })
	}
	s.after(s.between(0, time.Second), s.fault)
	s.after(s.between(0, time.Second), s.operate)
	return s
}

func (s *simulation) fail(format string, args ...any) {
	panic(fmt.Sprintf("seed %d, step %d: ", s.seed, s.steps) + fmt.Sprintf(format, args...))
}

func (s *simulation) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rng.Int64N(int64(b-a)))
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

func (s *simulation) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, f})
}

func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		s.step()
	}
	s.now = end
}

func (s *simulation) step() {
	e := heap.Pop(&s.events).(simEvent)
	s.now = e.at
	s.steps++
	e.f()
}

func (s *simulation) newDisk(h *simHost) {
	h.disks++
	h.applied = 0
	h.disk = &State{Disk: fmt.Sprintf("%s-disk%d", h.Name, h.disks)}
}

func (s *simulation) start(h *simHost) {
	h.starts++
	h.up, h.frozen, h.blocked = true, false, nil
	cfg := Config{
		Self: h.Host, Incarnation: membership.Incarnation(fmt.Sprintf("%s#%d", h.Name, h.starts)),
		Bootstrap: s.members, Relays: 1, Seed: s.seed<<16 + uint64(h.starts), Timing: DefaultTiming(),
	}
	if s.managed {
		cfg.GroupSize = len(s.members)
	}
	for _, o := range s.hosts {
		if o != h {
			cfg.Peers = append(cfg.Peers, o.Host)
		}
	}
	if h.disk != nil {
		cfg.State = *h.disk
	}
	h.m = New(cfg)
}

func (s *simulation) tick(h *simHost) {
	s.after(simTick, func() { s.tick(h) })
	if !h.up || h.frozen {
		return
	}
	h.m.Tick(s.now)
	if s.chance(0.005) {
		s.reads[simTicket{h.Name, h.starts, h.m.Read(s.now)}] = s.told
	}
	s.flush(h)
	h.ticks++
	if h.ticks%simBeat == 0 { // a heartbeat's digest
		to := s.hosts[h.ticks/simBeat%len(s.hosts)]
		version := h.m.Version()
		s.carry(h.Name, to, func() { to.m.Hint(s.now, h.Name, version) })
	}
}

// carry hands one message over, or loses, doubles or delays it.
func (s *simulation) carry(from string, to *simHost, f func()) {
	copies := 1
	if s.faulty {
		if s.cuts[[2]string{from, to.Name}] || s.chance(0.03) {
			return
		}
		if s.chance(0.03) {
			copies = 2
		}
	}
	for range copies {
		delay := s.between(200*time.Microsecond, 3*time.Millisecond)
		if s.faulty && s.chance(s.late) {
			delay = s.between(0, 300*time.Millisecond)
		}
		if s.faulty && s.chance(0.01) {
			delay = s.between(0, 3*time.Second)
		}
		s.after(delay, func() { s.deliver(to, f) })
	}
}

func (s *simulation) deliver(to *simHost, f func()) {
	if !to.up {
		return
	}
	if to.frozen {
		to.blocked = append(to.blocked, f)
		return
	}
	f()
	s.flush(to)
}

// flush carries out a Ready, with crashes and failures at its write.
func (s *simulation) flush(h *simHost) {
	for h.up {
		r := h.m.Ready()
		if r.Save == nil && len(r.Messages) == 0 && r.Chosen == nil && len(r.Decisions) == 0 && len(r.Reads) == 0 {
			return
		}
		for _, x := range r.Reads {
			s.checkRead(h, x)
		}
		if r.Save != nil && h.disk != nil && !s.save(h, r.Save) {
			r.Messages = nil
		}
		if !h.up {
			return
		}
		if r.Chosen != nil {
			s.checkChosen(h, r.Chosen)
		}
		for _, m := range r.Messages {
			if m.To == h.Name {
				h.m.Receive(s.now, h.Name, m.Body)
				continue
			}
			to := s.byName[m.To]
			from := h.Name
			s.carry(from, to, func() { to.m.Receive(s.now, from, m.Body) })
		}
		for _, d := range r.Decisions {
			s.decided(h, d)
		}
		if r.Save != nil && s.faulty && s.chance(0.01) { // dies after its messages
			s.crash(h)
		}
	}
}

// save writes a state; false when the write failed or the host died at it.
func (s *simulation) save(h *simHost, state *State) bool {
	if s.faulty && s.chance(0.01) { // dies before the write is durable
		s.crash(h)
		return false
	}
	failed := s.faulty && s.chance(0.002)
	if failed && s.chance(0.5) { // the old content stays
		s.counts.storeFailures++
		h.m.StoreFailed()
		return false
	}
	h.disk = state
	s.checkDisk(h)
	if failed {
		s.counts.storeFailures++
		h.m.StoreFailed()
		return false
	}
	if s.faulty && s.chance(0.01) { // dies after the write, before any message
		s.crash(h)
		return false
	}
	return true
}

func (s *simulation) crash(h *simHost) {
	s.counts.crashes++
	h.up = false
	down := s.between(0, 3*time.Second)
	if s.chance(0.5) {
		down = s.between(0, 5*time.Millisecond)
	}
	s.after(down, func() {
		if !h.up {
			s.start(h)
		}
	})
}

// runSimulation runs one seed; the number of control hosts follows from it.
func runSimulation(seed uint64, length time.Duration) (steps int, counts simCounts) {
	control := 3
	if seed%2 == 1 {
		control = 5
	}
	return runSimulationOf(newSimulation(seed, control, false), length)
}

func runSimulationOf(s *simulation, length time.Duration) (steps int, counts simCounts) {
	s.runFor(length)
	s.settle()
	s.counts.reads = s.readsDone
	return s.steps, s.counts
}

// TestRandomFaultsOfSelfManagedGroups runs groups whose hosts admit themselves:
// with a new disk, and in place of a member that has fallen silent.
func TestRandomFaultsOfSelfManagedGroups(t *testing.T) {
	const firstSeed, seeds, length = 200000, 40, 40 * time.Second
	steps := 0
	var sum simCounts
	for seed := range uint64(seeds) {
		n, c := runSimulationOf(newSimulation(firstSeed+seed, 3+2*int(seed%2), true), length)
		steps += n
		sum.add(c)
	}
	t.Logf("%d seeds, %d steps: %+v", seeds, steps, sum)
	for _, n := range []int{sum.accepted, sum.groupChanges, sum.diskLosses, sum.reads} {
		if n == 0 {
			t.Fatalf("a kind of outcome or fault never occurred: %+v", sum)
		}
	}
}

// TestRandomFaults runs fixed seeds with loss, doubling, reordering, one-way
// cuts, crashes at every write, failing writes, lost disks, frozen hosts, and
// racing and resending operators.
func TestRandomFaults(t *testing.T) {
	const seeds, length = 60, 60 * time.Second
	steps := 0
	var sum simCounts
	for seed := range uint64(seeds) {
		n, c := runSimulation(seed, length)
		steps += n
		sum.add(c)
	}
	t.Logf("%d seeds, %d steps: %+v", seeds, steps, sum)
	for _, n := range []int{sum.accepted, sum.taken, sum.stale, sum.noMajority, sum.refused, sum.resends, sum.groupChanges, sum.diskLosses, sum.crashes, sum.storeFailures} {
		if n == 0 {
			t.Fatalf("a kind of outcome or fault never occurred: %+v", sum)
		}
	}
}

// TestRandomFaultsBeforeVersionOne runs many short lives, in which disks are
// lost while the first version is being chosen.
func TestRandomFaultsBeforeVersionOne(t *testing.T) {
	const firstSeed, seeds, length = 100000, 1000, 3 * time.Second
	steps := 0
	var sum simCounts
	for seed := range uint64(seeds) {
		n, c := runSimulation(firstSeed+seed, length)
		steps += n
		sum.add(c)
	}
	t.Logf("%d seeds, %d steps: %+v", seeds, steps, sum)
}

func (c *simCounts) add(o simCounts) {
	c.accepted += o.accepted
	c.taken += o.taken
	c.stale += o.stale
	c.noMajority += o.noMajority
	c.refused += o.refused
	c.resends += o.resends
	c.groupChanges += o.groupChanges
	c.diskLosses += o.diskLosses
	c.crashes += o.crashes
	c.storeFailures += o.storeFailures
	c.reads += o.reads
}
