package control

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// checkMayVote reports whether this host may vote on the version. If it may
// not, it replies to the proposer: with the latest chosen version if the
// proposer is behind, otherwise with a report of this host's disk and version.
func (m *Machine) checkMayVote(from string, version uint64) bool {
	if version <= m.Version() {
		m.send(from, &peer.ControlChosen{Record: m.state.Chosen})
		return false
	}
	if version > m.Version()+1 || !m.Voting() {
		m.sendReport(from)
		return false
	}
	return true
}

// sendReport sends a host this host's disk and version, and whether its store
// failed.
func (m *Machine) sendReport(to string) {
	r := &peer.ControlReport{Disk: m.state.Disk, Version: m.Version(), StoreFailed: m.storeFailed}
	if m.state.Chosen == nil {
		r.Bootstrap = m.bootstrap()
	}
	m.send(to, r)
}

func (m *Machine) onPrepare(now time.Time, from string, p *peer.ControlPrepare) {
	m.learnBootstrap(p)
	m.highestRound = max(m.highestRound, p.Ballot.Round)
	if !m.checkMayVote(from, p.Version) {
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
		m.stateChanged = true
	}
	r.Accepted, r.Value = m.state.Accepted, m.state.Value
	if p.Version == 1 {
		r.Spares, r.NewDisk = m.liveSpares(now), len(m.cfg.Bootstrap) == 0
	}
	m.send(from, r)
}

func (m *Machine) onAccept(from string, a *peer.ControlAccept) {
	m.highestRound = max(m.highestRound, a.Ballot.Round)
	if a.Value == nil || a.Value.Version != a.Version || !m.checkMayVote(from, a.Version) {
		return
	}
	if a.Version == 1 && !m.isValidFirstGroup(a.Value.Group) {
		m.sendReport(from)
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
		m.stateChanged = true
	}
	invariant.Check(sameValue(a.Value, m.state.Value), "two values under one ballot of version %d", a.Version)
	m.send(from, r)
}

// isValidFirstGroup reports whether a group proposed with version 1 consists of
// the bootstrap hosts, without those that count as lost, and, up to Config.GroupSize, of
// spare hosts, and whether this host may vote for it. No earlier version lists the disks, so
// a host votes only for a value that lists its own disk. One that counted as lost, and is
// not listed, votes as long as it has the disk of its first start: its earlier votes, if any,
// are on that disk.
func (m *Machine) isValidFirstGroup(group []peer.ControlMember) bool {
	missing := 0
	for _, host := range m.bootstrap() {
		if diskOf(group, host) == "" {
			missing++
		}
	}
	if missing > m.toleratedLosses() || len(group) > max(len(m.bootstrap()), m.cfg.GroupSize) {
		return false
	}
	listed := diskOf(group, m.cfg.Self.Name)
	return listed == m.state.Disk || listed == "" && contains(m.cfg.Bootstrap, m.cfg.Self.Name)
}
