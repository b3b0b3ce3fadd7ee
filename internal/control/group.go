package control

import (
	"fmt"
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// added returns the members that a proposal adds; a host under a new disk is
// a new member.
func (m *Machine) added(p *pending) []peer.ControlMember {
	if p.Group == nil || m.state.Chosen == nil {
		return nil
	}
	return without(p.Group, m.state.Chosen.Group)
}

// without returns the members of a that are not in b.
func without(a, b []peer.ControlMember) []peer.ControlMember {
	var out []peer.ControlMember
	for _, x := range a {
		if !slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	return out
}

// checkChange returns why a change of the group is never allowed, or "".
func (m *Machine) checkChange(p *pending) string {
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
	added := without(p.Group, m.state.Chosen.Group)
	removed := without(m.state.Chosen.Group, p.Group)
	if len(added) > 1 || len(removed) > 1 {
		return "control hosts are changed one at a time"
	}
	return ""
}

// nextGroup returns the group that a proposal asks for, or why the hosts that
// have answered so far do not carry it.
func (m *Machine) nextGroup(a *attempt) (group []peer.ControlMember, reason string) {
	if m.state.Chosen == nil {
		return a.firstGroup()
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
	for _, g := range m.added(p) {
		r := a.reports[g.Host]
		if r == nil || r.Disk != g.Disk || r.Version != m.Version() || r.Failed {
			return nil, fmt.Sprintf("control host %s has not reported disk %s with version %d", g.Host, g.Disk, m.Version())
		}
		live++
	}
	if live < majority(len(p.Group)) {
		return nil, fmt.Sprintf("only %d of the %d wanted control hosts are reachable and up to date", live, len(p.Group))
	}
	return p.Group, ""
}

// firstGroup returns the members of version 0 under the disks that promised.
func (a *attempt) firstGroup() (group []peer.ControlMember, reason string) {
	for _, host := range a.acceptors {
		group = append(group, peer.ControlMember{Host: host, Disk: a.promises[host].Disk})
	}
	want := a.proposal.Group
	if want != nil && (len(want) != len(group) || len(without(want, group)) > 0) {
		return nil, fmt.Sprintf("version 1 is chosen by, and must name, the control hosts %v", group)
	}
	return group, ""
}
