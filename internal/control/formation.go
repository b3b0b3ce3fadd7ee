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
	spares     map[string]spare // hosts with a disk that are no bootstrap hosts, by name
	reportedAt time.Time        // when this host last reported itself as such a host
	grewAt     time.Time        // when this host last learned that the group has formed or grown; zero: not in this process
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
// chosen: without its promise, version 1 can't be chosen.
func (m *Machine) learnBootstrap(p *peer.ControlPrepare) {
	if m.state.Chosen != nil || m.state.Disk == "" || len(m.bootstrap()) > 0 || !contains(p.Bootstrap, m.cfg.Self.Name) {
		return
	}
	m.state.Bootstrap = p.Bootstrap
	m.stateChanged = true
}

// tickFormation reports this host to the bootstrap hosts as a spare, so that version 1
// names it as a member.
func (m *Machine) tickFormation(now time.Time) {
	f := &m.formation
	if m.cfg.GroupSize == 0 || m.state.Chosen != nil || m.storeFailed || m.state.Disk == "" || m.Voting() ||
		now.Sub(f.reportedAt) < m.cfg.Timing.ResendInterval {
		return
	}
	f.reportedAt = now
	for _, host := range m.bootstrap() {
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

// bootstrapGroup returns the bootstrap hosts with the disks that sent promises.
func (a *attempt) bootstrapGroup() []peer.ControlMember {
	var group []peer.ControlMember
	for _, host := range a.acceptors {
		group = append(group, peer.ControlMember{Host: host, Disk: a.promises[host].Disk})
	}
	return group
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
// hosts, all of which have promised. Replaced disks never vote again, and a disk accepts only
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
