package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// addedMembers returns the members that a proposal adds to the group. A host
// with another disk counts as a new member.
func (m *Machine) addedMembers(p *pendingProposal) []peer.ControlMember {
	if p.Group == nil || m.state.Chosen == nil {
		return nil
	}
	return membersNotIn(p.Group, m.state.Chosen.Group)
}

// membersNotIn returns the members of a that are not in b.
func membersNotIn(a, b []peer.ControlMember) []peer.ControlMember {
	var out []peer.ControlMember
	for _, x := range a {
		if !slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	return out
}

// checkGroupChange returns why the group change is invalid, or "". Retrying an
// invalid change cannot succeed.
func (m *Machine) checkGroupChange(p *pendingProposal) string {
	if p.Group == nil {
		return ""
	}
	if n := len(p.Group); n < 1 || n > MaxMembers {
		return fmt.Sprintf("%d control hosts: want 1 to %d", n, MaxMembers)
	}
	seen := make(map[string]bool)
	for _, g := range p.Group {
		if seen[g.Host] || g.Disk == "" {
			return fmt.Sprintf("control host %s: named twice or without a disk", g.Host)
		}
		seen[g.Host] = true
	}
	if m.state.Chosen == nil {
		return ""
	}
	added := membersNotIn(p.Group, m.state.Chosen.Group)
	removed := membersNotIn(m.state.Chosen.Group, p.Group)
	if len(added) > 1 || len(removed) > 1 {
		return "control hosts are changed one at a time"
	}
	return ""
}

// minTolerantGroup is the smallest group that tolerates the loss of a member.
const minTolerantGroup = 3

// nextGroup returns the group to write into the next version, or the reason why
// the answers received so far don't show that a majority of a changed group,
// including every added member, is reachable and up to date. Where a member is replaced,
// the others alone must be a majority: the new disk may be lost before the change is
// chosen, and the change may still be completed then. A replaced member that is gone
// makes no difference to this; one that is only out of reach of the proposer stays.
func (m *Machine) nextGroup(now time.Time, a *attempt) (group []peer.ControlMember, reason string) {
	if m.state.Chosen == nil {
		return m.firstGroup(now, a)
	}
	p := a.proposal
	if p.Group == nil {
		return m.state.Chosen.Group, ""
	}
	live := 0
	for _, g := range p.Group {
		if q := a.promises[g.Host]; q != nil && q.Disk == g.Disk {
			live++
		}
	}
	if len(p.Group) >= minTolerantGroup && len(p.Group) == len(m.state.Chosen.Group) && live < majority(len(p.Group)) {
		return nil, fmt.Sprintf("only %d of the %d wanted control hosts would be left if the added one were lost", live, len(p.Group))
	}
	for _, g := range m.addedMembers(p) {
		r := a.reports[g.Host]
		if r == nil || r.Disk != g.Disk || r.Version != m.Version() || r.StoreFailed {
			return nil, fmt.Sprintf("control host %s has not reported disk %s with version %d", g.Host, g.Disk, m.Version())
		}
		live++
	}
	if live < majority(len(p.Group)) {
		return nil, fmt.Sprintf("only %d of the %d wanted control hosts are reachable and up to date", live, len(p.Group))
	}
	return p.Group, ""
}

// firstGroup returns the group of version 1: the bootstrap hosts with the disks
// that sent promises, and spare hosts up to Config.GroupSize. If the proposal names a
// different group, firstGroup returns the reason why it can't be chosen.
func (m *Machine) firstGroup(now time.Time, a *attempt) (group []peer.ControlMember, reason string) {
	group = m.withSpares(now, a.bootstrapGroup())
	want := a.proposal.Group
	if want != nil && (len(want) != len(group) || len(membersNotIn(want, group)) > 0) {
		return nil, fmt.Sprintf("version 1 is chosen by, and must name, the control hosts %v", group)
	}
	return group, ""
}
