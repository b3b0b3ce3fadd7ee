package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// formation is the state of a host while the control group forms. See "States of a group"
// in docs/design/control.md.
type formation struct {
	spares     map[string]spare     // hosts with a disk that are no bootstrap hosts, by name
	reportedAt time.Time            // when this host last reported itself as such a host
	askedAt    time.Time            // when this host first asked for promises for version 1; zero: not yet
	heardAt    map[string]time.Time // when the last message of a host arrived, by name
	grewAt     time.Time            // when this host last learned that the group has formed or grown; zero: not in this process
}

// spare is a host that can become a member with version 1.
type spare struct {
	disk       string
	reportedAt time.Time
}

// bootstrap returns the hosts that choose version 1: those of this host's first start, or
// those that another bootstrap host named after this host had lost its disk.
func (m *Machine) bootstrap() []string {
	if len(m.cfg.Bootstrap) > 0 {
		return m.cfg.Bootstrap
	}
	return m.state.Bootstrap
}

// learnBootstrap takes over the bootstrap hosts that the proposer of version 1 names, if
// this host is one of them and does not know them. It lost its disk before version 1 was
// chosen; with its promise, version 1 can be chosen though other hosts are lost.
func (m *Machine) learnBootstrap(p *peer.ControlPrepare) {
	if m.state.Chosen != nil || m.state.Disk == "" || len(m.bootstrap()) > 0 || !contains(p.Bootstrap, m.cfg.Self.Name) {
		return
	}
	m.state.Bootstrap = p.Bootstrap
	m.stateChanged = true
}

// learnBootstrapFromReport takes over the bootstrap hosts from the answer of a host that knows
// them. A host that replaces a lost one is then a spare host.
func (m *Machine) learnBootstrapFromReport(r *peer.ControlReport) {
	if m.state.Chosen != nil || m.state.Disk == "" || len(m.bootstrap()) > 0 || len(r.Bootstrap) == 0 {
		return
	}
	m.state.Bootstrap = r.Bootstrap
	m.stateChanged = true
}

// answerNewcomer tells a host that does not know the bootstrap hosts who they are.
func (m *Machine) answerNewcomer(from string, r *peer.ControlReport) {
	if m.state.Chosen == nil && r.Version == 0 && len(r.Bootstrap) == 0 && len(m.bootstrap()) > 0 && from != m.cfg.Self.Name {
		m.sendReport(from)
	}
}

// tickFormation reports this host to the bootstrap hosts as a spare, so that version 1
// names it as a member. A host that does not know them reports itself to its contacts, which
// answer with their names.
func (m *Machine) tickFormation(now time.Time) {
	f := &m.formation
	if m.cfg.GroupSize == 0 || m.state.Chosen != nil || m.storeFailed || m.state.Disk == "" || m.Voting() ||
		now.Sub(f.reportedAt) < m.cfg.Timing.ResendInterval {
		return
	}
	f.reportedAt = now
	hosts := m.bootstrap()
	if len(hosts) == 0 {
		hosts = m.cfg.Contacts
	}
	for _, host := range hosts {
		m.sendReport(host)
	}
}

// observeSpare records the report of a spare host.
func (m *Machine) observeSpare(now time.Time, from string, r *peer.ControlReport) {
	if m.state.Chosen != nil || m.cfg.GroupSize == 0 || r.Version > 0 || r.Disk == "" || r.StoreFailed || contains(m.bootstrap(), from) {
		return
	}
	if m.formation.spares == nil {
		m.formation.spares = make(map[string]spare)
	}
	m.formation.spares[from] = spare{r.Disk, now}
}

// liveSpares returns the spare hosts that have reported within Timing.MemberTimeout,
// sorted by name.
func (m *Machine) liveSpares(now time.Time) []peer.ControlMember {
	var out []peer.ControlMember
	for host, s := range m.formation.spares {
		if now.Sub(s.reportedAt) < m.cfg.Timing.MemberTimeout {
			out = append(out, peer.ControlMember{Host: host, Disk: s.disk})
		}
	}
	slices.SortFunc(out, func(a, b peer.ControlMember) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// bootstrapGroup returns the bootstrap hosts that sent promises, with their disks.
func (a *attempt) bootstrapGroup() []peer.ControlMember {
	var group []peer.ControlMember
	for _, host := range a.acceptors {
		if p := a.promises[host]; p != nil {
			group = append(group, peer.ControlMember{Host: host, Disk: p.Disk})
		}
	}
	return group
}

// toleratedLosses returns how many control hosts may be lost at the same time; 0 in a group
// that operators manage, whose size says nothing about it.
func (m *Machine) toleratedLosses() int { return m.cfg.GroupSize / 2 }

// observeMessage records that a host has sent a message while no version is known.
func (m *Machine) observeMessage(now time.Time, from string) {
	if m.state.Chosen != nil {
		return
	}
	if m.formation.heardAt == nil {
		m.formation.heardAt = make(map[string]time.Time)
	}
	m.formation.heardAt[from] = now
}

// isSilent reports whether a bootstrap host has sent nothing for Timing.MemberTimeout since
// this host asked for promises. The time runs over all ballots: rival proposers interrupt
// each other more often.
func (m *Machine) isSilent(now time.Time, host string) bool {
	f := &m.formation
	return now.Sub(f.askedAt) >= m.cfg.Timing.MemberTimeout && now.Sub(f.heardAt[host]) >= m.cfg.Timing.MemberTimeout
}

// firstPromisesSuffice reports whether the promises for version 1 are enough to go on to phase
// two. No earlier version lists the disks of the bootstrap hosts, so one of them may be
// replaced between two ballots and its acceptance lost. With the promises of all of them,
// every acceptance that is left is seen.
//
// Silent hosts count as lost. A value that was chosen before has been accepted by more disks
// than losses are tolerated. Each of these disks has promised, unless its host is silent or
// has a new disk: while these are together no more than the tolerated losses, one of the
// promises tells of the value. A new value waits until spare hosts fill the group: a smaller
// one would have no majority after the loss of another disk, even when the silent hosts are
// back.
func (m *Machine) firstPromisesSuffice(now time.Time, a *attempt) bool {
	silent := len(a.acceptors) - len(a.promises)
	if silent == 0 {
		return true
	}
	if now.Sub(a.startedAt) < m.cfg.Timing.ResendInterval || len(a.promises) < m.acceptQuorum(a) {
		return false
	}
	for _, host := range a.acceptors {
		if a.promises[host] == nil && !m.isSilent(now, host) {
			return false
		}
	}
	if a.highestAccepted() == nil && len(m.withSpares(now, a.bootstrapGroup())) < m.cfg.GroupSize {
		return false
	}
	newDisks := 0
	for _, p := range a.promises {
		if p.NewDisk {
			newDisks++
		}
	}
	return silent+newDisks <= m.toleratedLosses()
}

// withSpares adds spare hosts to the group of version 1 until it has GroupSize members: a
// group of the bootstrap hosts alone may not tolerate the losses that the full one does.
func (m *Machine) withSpares(now time.Time, group []peer.ControlMember) []peer.ControlMember {
	for _, s := range m.liveSpares(now) {
		if len(group) < m.cfg.GroupSize && diskOf(group, s.Host) == "" {
			group = append(group, s)
		}
	}
	return group
}

// renewDisks returns an accepted value of version 1 with the present disks of the bootstrap
// hosts that have promised. Replaced disks never vote again, and a disk accepts only
// a value that names it: after the loss of a majority of the disks that the value names, it
// could neither be chosen nor be abandoned. If the value was chosen before, later versions
// are safe: a majority with the earlier disks that are left and one with the present disks
// have a disk in common.
func (a *attempt) renewDisks(value *peer.ConfigRecord) *peer.ConfigRecord {
	renewed := *value
	renewed.Group = slices.Clone(value.Group)
	for i, g := range renewed.Group {
		if p := a.promises[g.Host]; p != nil {
			renewed.Group[i].Disk = p.Disk
		}
	}
	return &renewed
}

// acceptQuorum returns the number of acceptances that choose the attempt's value: a majority
// or, for version 1, one more than the group tolerates losses, so that phase one finds the
// value on a disk that is left.
func (m *Machine) acceptQuorum(a *attempt) int {
	n := len(a.acceptors)
	if a.version > 1 {
		return majority(n)
	}
	return max(majority(n), min(n, majority(m.cfg.GroupSize)))
}

// observeGroup records when the group forms or grows, before the record is learned.
func (m *Machine) observeGroup(now time.Time, r *peer.ConfigRecord) {
	formed := m.state.Chosen == nil && r.Version == 1
	if formed || m.state.Chosen != nil && len(r.Group) > len(m.state.Chosen.Group) {
		m.formation.grewAt = now
	}
}

// Settled reports whether what is on the disks of a majority of the group survives the
// losses that the settings name: the group has GroupSize members, and every bootstrap host
// has it, so that none of them takes part in choosing another version 1. Hosts that have
// not joined or reported within Timing.MemberTimeout count as lost already.
func (m *Machine) Settled(now time.Time) bool {
	switch {
	case m.cfg.GroupSize == 0:
		return true
	case m.state.Chosen == nil:
		return false
	case now.Sub(m.formation.grewAt) >= m.cfg.Timing.MemberTimeout:
		return true
	case len(m.state.Chosen.Group) < m.cfg.GroupSize:
		return false
	}
	for _, host := range m.bootstrap() {
		if diskOf(m.state.Chosen.Group, host) != "" && !m.synced[host] {
			return false
		}
	}
	return m.syncedByMajority()
}
