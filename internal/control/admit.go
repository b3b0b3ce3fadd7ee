package control

import (
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// admission is the state of a host that tries to join the group because its
// disk isn't listed in it.
type admission struct {
	startedAt  time.Time            // when the host began to query the members
	queriedAt  time.Time            // last query to the members
	reportedAt map[string]time.Time // time of the last report, by member
	disks      map[string]string    // disk in the last report, by member
}

func (a *admission) recordReport(now time.Time, host, disk string) {
	if a.reportedAt == nil {
		return
	}
	a.reportedAt[host] = now
	a.disks[host] = disk
}

// tickAdmission queries the members and proposes a group that includes this
// host's disk, if the disk isn't in the group. In the proposed group the disk
// replaces the host's earlier disk, is added to a group smaller than GroupSize,
// or replaces a member that has not reported its listed disk for
// Timing.MemberTimeout.
func (m *Machine) tickAdmission(now time.Time) {
	if m.cfg.GroupSize == 0 || m.storeFailed || m.state.Disk == "" || m.state.Chosen == nil || m.Voting() {
		m.admission = admission{}
		return
	}
	a := &m.admission
	if a.reportedAt == nil {
		*a = admission{startedAt: now, reportedAt: make(map[string]time.Time), disks: make(map[string]string)}
	}
	if now.Sub(a.queriedAt) < m.cfg.Timing.ResendInterval {
		return
	}
	a.queriedAt = now
	m.lastNonce++
	for _, host := range m.acceptors() {
		m.send(host, &peer.ControlQuery{Nonce: m.lastNonce, Version: m.Version()})
	}
	if len(m.pending) > 0 {
		return
	}
	if group := m.groupWithSelf(now); group != nil {
		m.proposeGroup(now, group)
	}
}

// groupWithSelf returns the current group changed to include this host, or nil
// if the group is full and no member can be replaced yet.
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
	if now.Sub(m.admission.startedAt) < m.cfg.Timing.MemberTimeout {
		return nil
	}
	for i, g := range group {
		if m.admission.disks[g.Host] == g.Disk && now.Sub(m.admission.reportedAt[g.Host]) < m.cfg.Timing.MemberTimeout {
			continue
		}
		group[i] = self
		return group
	}
	return nil
}

// proposeGroup proposes the latest document unchanged, with another group.
func (m *Machine) proposeGroup(now time.Time, group []peer.ControlMember) {
	document, err := Document(m.state.Chosen)
	if err != nil {
		return // logged where this host applies the version
	}
	m.Propose(now, Proposal{
		Command: uuid.NewString(), Operator: m.cfg.Self.Name, Base: m.Version(), Document: document, Group: group,
	})
}
