package control

import (
	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// votesOn reports whether the host may vote on the version. When it may not,
// the asker is told why: by the latest version, or by a report.
func (m *Machine) votesOn(from string, version uint64) bool {
	if version <= m.Version() {
		m.send(from, &peer.ControlChosen{Record: m.state.Chosen})
		return false
	}
	if version > m.Version()+1 || !m.Voting() {
		m.report(from)
		return false
	}
	return true
}

// report tells a host the own disk and version.
func (m *Machine) report(to string) {
	m.send(to, &peer.ControlReport{Disk: m.state.Disk, Version: m.Version(), Failed: m.failed})
}

func (m *Machine) onPrepare(from string, p *peer.ControlPrepare) {
	m.round = max(m.round, p.Ballot.Round)
	if !m.votesOn(from, p.Version) {
		return
	}
	r := &peer.ControlPromise{Version: p.Version, Ballot: p.Ballot, Disk: m.state.Disk}
	if p.Ballot.Compare(m.state.Promised) < 0 {
		r.Refused, r.Promised = true, m.state.Promised
		m.send(from, r)
		return
	}
	if p.Ballot != m.state.Promised {
		m.state.Promised = p.Ballot
		m.dirty = true
	}
	r.Accepted, r.Value = m.state.Accepted, m.state.Value
	m.send(from, r)
}

func (m *Machine) onAccept(from string, a *peer.ControlAccept) {
	m.round = max(m.round, a.Ballot.Round)
	if a.Value == nil || a.Value.Version != a.Version || !m.votesOn(from, a.Version) {
		return
	}
	if a.Version == 1 && !m.namedFirst(a.Value.Group) {
		m.report(from)
		return
	}
	r := &peer.ControlAccepted{Version: a.Version, Ballot: a.Ballot, Disk: m.state.Disk}
	if a.Ballot.Compare(m.state.Promised) < 0 {
		r.Refused, r.Promised = true, m.state.Promised
		m.send(from, r)
		return
	}
	if a.Ballot != m.state.Accepted {
		m.state.Promised, m.state.Accepted, m.state.Value = a.Ballot, a.Ballot, a.Value
		m.dirty = true
	}
	invariant.Check(sameValue(a.Value, m.state.Value), "two values under one ballot of version %d", a.Version)
	m.send(from, r)
}

// namedFirst reports whether the first group has the hosts of the settings
// and names the own disk. The disks of version 0 are not agreed on, so a disk
// votes only for a value that names it.
func (m *Machine) namedFirst(group []peer.ControlMember) bool {
	if len(group) != len(m.cfg.Bootstrap) {
		return false
	}
	for _, g := range group {
		if !contains(m.cfg.Bootstrap, g.Host) {
			return false
		}
	}
	return names(group, m.cfg.Self.Name, m.state.Disk)
}
