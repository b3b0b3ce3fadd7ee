package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

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
	if !s.managed && s.chance(0.3) {
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
