package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// simulation drives Machines through faults in virtual time and holds what
// they do against what stands on the disks.
type simulation struct {
	seed   uint64
	rng    *rand.Rand
	now    time.Time
	events simEvents
	seq    uint64
	steps  int
	faulty bool
	late   float64 // share of messages that are much later than others
	races  float64 // share of changes that are raced by others on the same base

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
	accepted, taken, stale, noMajority, refused, resends, groupChanges, diskLosses, crashes, storeFailures int
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

func newSimulation(seed uint64, control int) *simulation {
	s := &simulation{
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
		if r.Save == nil && len(r.Messages) == 0 && r.Chosen == nil && len(r.Decisions) == 0 {
			return
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

// checkDisk derives from the disks what is chosen.
func (s *simulation) checkDisk(h *simHost) {
	if v := h.disk.Version(); v < h.applied {
		s.fail("%s: disk reverts from version %d to %d", h.Name, h.applied, v)
	} else {
		h.applied = v
	}
	if h.disk.Chosen != nil {
		s.noteChosen(h.disk.Chosen, "disk of "+h.Name)
	}
	v := h.disk.Value
	if v == nil {
		return
	}
	vote := simVote{v.Version, h.disk.Accepted}
	if s.accepts[vote] == nil {
		s.accepts[vote] = map[string]bool{}
	}
	s.accepts[vote][h.disk.Disk] = true
	group := v.Group
	if v.Version > 1 {
		if s.chosen[v.Version-1] == nil {
			s.fail("%s accepted version %d before %d is chosen", h.Name, v.Version, v.Version-1)
		}
		group = s.chosen[v.Version-1].Group
	}
	n := 0
	for _, g := range group {
		if s.accepts[vote][g.Disk] {
			n++
		}
	}
	if n >= len(group)/2+1 {
		s.noteChosen(v, "accepted by a majority")
	}
}

// noteChosen asserts one value per version, one version per command.
func (s *simulation) noteChosen(r *peer.ConfigRecord, where string) {
	old := s.chosen[r.Version]
	if old != nil {
		if old.Command() != r.Command() {
			s.fail("version %d: %q and %q (%s)", r.Version, old.Command().Command, r.Command().Command, where)
		}
		return
	}
	if r.Version != s.latest+1 {
		s.fail("version %d after %d (%s)", r.Version, s.latest, where)
	}
	s.chosen[r.Version] = r
	s.latest = r.Version
	for vote := range s.accepts {
		if vote.version < r.Version {
			delete(s.accepts, vote)
		}
	}
	c := s.find(r.Command().Command)
	if c.chosen != 0 {
		s.fail("command %q chosen as version %d and %d", c.Command, c.chosen, r.Version)
	}
	c.chosen = r.Version
	for _, code := range c.codes {
		if code == result.VersionTaken || code == result.PlanStale {
			s.fail("command %q answered with %v, then chosen as version %d", c.Command, code, r.Version)
		}
	}
	if r.Version > 1 && !slices.Equal(r.Group, s.chosen[r.Version-1].Group) {
		s.counts.groupChanges++
	}
}

func (s *simulation) find(command string) *simCommand {
	for i := len(s.commands) - 1; i >= 0; i-- {
		if s.commands[i].Command == command {
			return s.commands[i]
		}
	}
	s.fail("unknown command %q", command)
	return nil
}

// checkChosen holds a host's new version against the disks.
func (s *simulation) checkChosen(h *simHost, r *peer.ConfigRecord) {
	old := s.chosen[r.Version]
	if old == nil {
		s.fail("%s puts version %d in force, which no majority has on disk", h.Name, r.Version)
	}
	if old.Command() != r.Command() {
		s.fail("%s has another version %d: %q, not %q", h.Name, r.Version, r.Command().Command, old.Command().Command)
	}
}

// decided checks an outcome against the disks.
func (s *simulation) decided(h *simHost, d Decision) {
	key := simTicket{h.Name, h.starts, d.Ticket}
	c, ok := s.open[key]
	if !ok {
		s.fail("%s decides an unknown ticket", h.Name)
	}
	delete(s.open, key)
	c.codes = append(c.codes, d.Outcome.Code)
	switch d.Outcome.Code {
	case result.OK:
		s.counts.accepted++
		s.checkAccepted(c, d.Outcome)
	case result.VersionTaken, result.PlanStale:
		s.counts.taken++
		if d.Outcome.Code == result.PlanStale {
			s.counts.stale++
		}
		s.checkRefused(c, d.Outcome)
	case result.PlanRefused:
		s.counts.refused++
	case result.NoMajority, result.StoreUnavailable:
		s.counts.noMajority++
	}
}

func (s *simulation) checkAccepted(c *simCommand, o Outcome) {
	r := s.chosen[o.Version]
	if r == nil || r.Command().Command != c.Command {
		s.fail("command %q told as version %d, which is another", c.Command, o.Version)
	}
	n := 0
	for _, g := range r.Group {
		h := s.byName[g.Host]
		if h.disk.Disk == g.Disk && h.disk.Version() >= o.Version {
			n++
		}
	}
	if s.latest == o.Version && n < len(r.Group)/2+1-s.unrepaired(r.Group) {
		s.fail("command %q told as accepted with version %d on %d of %d disks", c.Command, o.Version, n, len(r.Group))
	}
	s.told = max(s.told, o.Version)
}

func (s *simulation) checkRefused(c *simCommand, o Outcome) {
	if c.chosen != 0 {
		s.fail("command %q refused with %v, chosen as version %d", c.Command, o.Code, c.chosen)
	}
	r := s.chosen[c.Base+1]
	if r == nil {
		s.fail("command %q refused with %v, but version %d is open", c.Command, o.Code, c.Base+1)
	}
	if o.Winner != "" && o.Winner != r.Command().Operator {
		s.fail("command %q: winner %q, not %q", c.Command, o.Winner, r.Command().Operator)
	}
}

// unrepaired returns how many members of a group have lost their disk.
func (s *simulation) unrepaired(group []peer.ControlMember) int {
	n := 0
	for _, g := range group {
		if d := s.byName[g.Host].disk; d == nil || d.Disk != g.Disk {
			n++
		}
	}
	return n
}

// mayLose reports whether one more disk may go: a minority of each group in
// play, a repair counted as done once the operator was told. While the size of
// the group is being changed none goes, as the tolerance is not known.
func (s *simulation) mayLose(h *simHost) bool {
	if s.resizing && s.resizeBase >= s.latest {
		return false
	}
	if s.latest == 0 {
		return s.lostFirst < (len(s.members)-1)/2
	}
	if s.told == 0 && s.lostFirst >= (len(s.members)-1)/2 {
		return false
	}
	for v := max(s.told, 1); v <= s.latest; v++ {
		group := s.chosen[v].Group
		if !slices.ContainsFunc(group, func(g peer.ControlMember) bool { return g.Host == h.Name && g.Disk == h.disk.Disk }) {
			continue
		}
		if s.unrepaired(group)+1 > (len(group)-1)/2 {
			return false
		}
	}
	return true
}

// fault injects one fault and schedules the next.
func (s *simulation) fault() {
	if !s.faulty {
		return
	}
	s.after(s.between(0, 400*time.Millisecond), s.fault)
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	o := s.hosts[s.rng.IntN(len(s.hosts))]
	switch s.rng.IntN(12) {
	case 0:
		if h.up {
			s.crash(h)
		}
	case 1, 2:
		s.loseDisk(h)
	case 3:
		s.freeze(h)
	case 4, 5:
		s.cuts[[2]string{h.Name, o.Name}] = true
	case 6:
		for _, x := range s.hosts { // a silent cut of one host, one or two ways
			s.cuts[[2]string{h.Name, x.Name}] = true
			if s.seq%2 == 0 {
				s.cuts[[2]string{x.Name, h.Name}] = true
			}
		}
	case 7, 8, 9:
		clear(s.cuts)
	}
}

// loseDisk ends the process and its disk; the host comes back with a new one.
func (s *simulation) loseDisk(h *simHost) {
	if h.disk == nil || !s.mayLose(h) {
		return
	}
	s.counts.diskLosses++
	if s.told == 0 && contains(s.members, h.Name) {
		s.lostFirst++
	}
	s.crash(h)
	s.newDisk(h)
}

func (s *simulation) freeze(h *simHost) {
	if !h.up || h.frozen {
		return
	}
	h.frozen = true
	start := h.starts
	s.after(s.between(0, 8*time.Second), func() {
		if h.starts == start {
			s.resume(h)
		}
	})
}

func (s *simulation) resume(h *simHost) {
	blocked := h.blocked
	if h.frozen {
		h.thawedAt = s.now
	}
	h.frozen, h.blocked = false, nil
	for _, f := range blocked {
		s.deliver(h, f)
	}
}

// operate is an operator who acts, and schedules the next.
func (s *simulation) operate() {
	if !s.faulty {
		return
	}
	s.after(s.between(0, 600*time.Millisecond), s.operate)
	if len(s.commands) > 0 && s.chance(0.4) {
		s.counts.resends++
		last := s.commands[max(0, len(s.commands)-8):]
		s.ask(s.hosts[s.rng.IntN(len(s.hosts))], last[s.rng.IntN(len(last))])
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	c := s.newCommand(h.m.Version())
	if s.chance(0.1) {
		c.Base -= min(c.Base, uint64(s.rng.IntN(3)))
	}
	if s.chance(0.3) {
		s.changeGroup(h, c)
	}
	s.ask(h, c)
	for s.chance(s.races) { // a race on the same base
		s.ask(s.hosts[s.rng.IntN(len(s.hosts))], s.newCommand(c.Base))
	}
}

func (s *simulation) newCommand(base uint64) *simCommand {
	n := len(s.commands)
	c := &simCommand{Proposal: Proposal{Command: fmt.Sprint("c", n), Operator: fmt.Sprint("o", n%5), Base: base, Document: []byte{byte(n)}}}
	s.commands = append(s.commands, c)
	return c
}

// changeGroup makes a command admit a replaced disk, or add or remove a member.
func (s *simulation) changeGroup(h *simHost, c *simCommand) {
	r := h.m.Record()
	if r == nil || r.Version != c.Base {
		return
	}
	group := slices.Clone(r.Group)
	for i, g := range group {
		if s.chance(0.2) {
			continue // the operator overlooks it
		}
		if d := s.byName[g.Host].disk; d.Disk != g.Disk {
			group[i].Disk = d.Disk
			c.Group = group
			return
		}
	}
	if len(group) < 5 && s.chance(0.6) {
		for _, o := range s.hosts {
			if o.disk != nil && diskOf(group, o.Name) == "" {
				c.Group = append(group, peer.ControlMember{Host: o.Name, Disk: o.disk.Disk})
				s.resizing, s.resizeBase = true, max(s.resizeBase, c.Base)
				return
			}
		}
	}
	if len(group) > 2 {
		i := s.rng.IntN(len(group))
		c.Group = slices.Delete(group, i, i+1)
		s.resizing, s.resizeBase = true, max(s.resizeBase, c.Base)
	}
}

func (s *simulation) ask(h *simHost, c *simCommand) {
	if !h.up || h.frozen {
		return
	}
	ticket := h.m.Propose(s.now, c.Proposal)
	key := simTicket{h.Name, h.starts, ticket}
	asked := s.now
	s.open[key] = c
	s.after(h.m.cfg.Timing.Propose+2*simTick, func() {
		if _, open := s.open[key]; open && h.up && !h.frozen && h.starts == key.start && !h.thawedAt.After(asked) {
			s.fail("%s: no outcome of %q in bounded time", h.Name, c.Command)
		}
	})
	s.flush(h)
}

// settle ends the faults and requires that the system recovers.
func (s *simulation) settle() {
	s.faulty = false
	clear(s.cuts)
	for _, h := range s.hosts {
		s.resume(h)
	}
	s.runFor(4 * time.Second) // crashed hosts start again
	for _, h := range s.hosts {
		if h.m.failed || !h.up {
			s.start(h)
		}
	}
	s.runFor(8 * time.Second)
	told := s.told
	for range 5 {
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		c := s.newCommand(h.m.Version())
		s.ask(h, c)
		s.runFor(5 * time.Second)
		if s.told > told {
			break
		}
	}
	if s.told == told {
		s.fail("no change is accepted after every fault has ended (latest %d, told %d)", s.latest, told)
	}
	for _, h := range s.hosts {
		if h.m.Version() != s.latest {
			s.fail("%s has version %d, not %d, 5 s after the change", h.Name, h.m.Version(), s.latest)
		}
	}
}

// runSimulation runs one seed; the number of control hosts follows from it.
func runSimulation(seed uint64, length time.Duration) (steps int, counts simCounts) {
	control := 3
	if seed%2 == 1 {
		control = 5
	}
	s := newSimulation(seed, control)
	s.runFor(length)
	s.settle()
	return s.steps, s.counts
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
}
