package control

import (
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// admission is what a host outside the group knows of the members while it
// asks to be admitted.
type admission struct {
	since   time.Time            // when the host began to ask
	askedAt time.Time            // last query to the members
	heardAt map[string]time.Time // last report under the member's disk
	disks   map[string]string
}

func (a *admission) heard(now time.Time, host, disk string) {
	if a.heardAt == nil {
		return
	}
	a.heardAt[host] = now
	a.disks[host] = disk
}

// tickAdmission lets a host with a disk that is not in the group become a
// member: in place of its own earlier disk, in a group that is too small, or
// in place of a member that has been silent.
func (m *Machine) tickAdmission(now time.Time) {
	if m.cfg.GroupSize == 0 || m.failed || m.state.Disk == "" || m.state.Chosen == nil || m.Voting() {
		m.admission = admission{}
		return
	}
	a := &m.admission
	if a.heardAt == nil {
		*a = admission{since: now, heardAt: make(map[string]time.Time), disks: make(map[string]string)}
	}
	if now.Sub(a.askedAt) < m.cfg.Timing.Resend {
		return
	}
	a.askedAt = now
	m.nonce++
	for _, host := range m.acceptors() {
		m.send(host, &peer.ControlQuery{Nonce: m.nonce, Version: m.Version()})
	}
	if len(m.pending) > 0 {
		return
	}
	if group := m.groupWithSelf(now); group != nil {
		m.proposeGroup(now, group)
	}
}

// groupWithSelf returns the group that this host would be a member of, or nil
// while there is no place for it.
func (m *Machine) groupWithSelf(now time.Time) []peer.ControlMember {
	self := peer.ControlMember{Host: m.cfg.Self.Name, Disk: m.state.Disk}
	group := slices.Clone(m.state.Chosen.Group)
	for i, g := range group {
		if g.Host == self.Host {
			group[i] = self
			return group
		}
	}
	if len(group) < m.cfg.GroupSize {
		return append(group, self)
	}
	if now.Sub(m.admission.since) < m.cfg.Timing.Silence {
		return nil
	}
	for i, g := range group {
		if m.admission.disks[g.Host] == g.Disk && now.Sub(m.admission.heardAt[g.Host]) < m.cfg.Timing.Silence {
			continue
		}
		group[i] = self
		return group
	}
	return nil
}

// proposeGroup proposes the latest document again, under another group.
func (m *Machine) proposeGroup(now time.Time, group []peer.ControlMember) {
	document, err := Document(m.state.Chosen)
	if err != nil {
		return // whoever puts the version in force on this host logs the same error
	}
	m.Propose(now, Proposal{
		Command: uuid.NewString(), Operator: m.cfg.Self.Name, Base: m.Version(), Document: document, Group: group,
	})
}
