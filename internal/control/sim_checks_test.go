package control

import (
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

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
	if s.managed { // a host asked by itself to be admitted
		if s.own[command] == nil {
			s.own[command] = &simCommand{Proposal: Proposal{Command: command}}
		}
		return s.own[command]
	}
	s.fail("unknown command %q", command)
	return nil
}

// checkRead holds a certain read against what operators had been told before
// it began.
func (s *simulation) checkRead(h *simHost, r ReadResult) {
	key := simTicket{h.Name, h.starts, r.Ticket}
	told, ok := s.reads[key]
	if !ok {
		s.fail("%s answers an unknown read", h.Name)
	}
	delete(s.reads, key)
	if !r.Certain {
		return
	}
	s.readsDone++
	if r.Version < told {
		s.fail("%s reads version %d as the newest, but operators were told of %d", h.Name, r.Version, told)
	}
	if r.Version != h.m.Version() {
		s.fail("%s reads version %d and has %d", h.Name, r.Version, h.m.Version())
	}
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
	if !ok && s.managed {
		return // of a proposal that the host made by itself
	}
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
