package control

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// Hint tells that a peer has the given version, as its heartbeat says. A
// newer one is fetched.
func (m *Machine) Hint(now time.Time, from string, version uint64) {
	if version <= m.Version() || now.Sub(m.fetchedAt) < m.cfg.Timing.Resend {
		return
	}
	m.fetchedAt = now
	m.send(from, &peer.ControlFetch{Version: m.Version()})
}

// fetchFromGroup asks every member for a newer version.
func (m *Machine) fetchFromGroup() {
	for _, host := range m.acceptors() {
		if host != m.cfg.Self.Name {
			m.send(host, &peer.ControlFetch{Version: m.Version()})
		}
	}
}

func (m *Machine) onFetch(from string, f *peer.ControlFetch) {
	if f.Version < m.Version() {
		m.send(from, &peer.ControlChosen{Record: m.state.Chosen})
	}
}

func (m *Machine) onChosen(now time.Time, from string, c *peer.ControlChosen) {
	if c.Record == nil {
		return
	}
	m.learn(now, c.Record)
	if c.Record.Version == m.Version() && m.Voting() && from != m.cfg.Self.Name {
		m.report(from)
	}
	if c.Relay && c.Record.Version == m.Version() {
		m.pushDomain(from)
	}
}

// onDecided learns the value that this host accepted under the ballot, or
// fetches the version.
func (m *Machine) onDecided(now time.Time, from string, d *peer.ControlDecided) {
	if d.Version == m.Version()+1 && m.state.Value != nil && m.state.Accepted == d.Ballot {
		m.learn(now, m.state.Value)
	}
	if d.Version > m.Version() {
		m.send(from, &peer.ControlFetch{Version: m.Version()})
		return
	}
	m.report(from)
}

// onReport counts the members that have the latest version on their disks, and
// brings hosts that are behind up to date.
func (m *Machine) onReport(now time.Time, from string, r *peer.ControlReport) {
	if m.attempt != nil {
		m.attempt.reports[from] = r
	}
	if r.Version > m.Version() {
		m.Hint(now, from, r.Version)
		return
	}
	if m.state.Chosen == nil {
		return
	}
	if r.Version < m.Version() {
		m.send(from, &peer.ControlChosen{Record: m.state.Chosen})
		return
	}
	if r.Version == m.Version() && !r.Failed && names(m.state.Chosen.Group, from, r.Disk) {
		m.synced[from] = true
	}
}

// confirmed reports whether a majority of the group that the latest version
// names has it on disk. Only then it outlives the loss of a minority of the
// new group's disks, whatever became of the old group.
func (m *Machine) confirmed() bool {
	return len(m.synced) >= majority(len(m.state.Chosen.Group))
}

// tellDecided tells the members without a report that the version is chosen.
func (m *Machine) tellDecided(now time.Time) {
	m.decidedAt = now
	for _, g := range m.state.Chosen.Group {
		if !m.synced[g.Host] {
			m.send(g.Host, &peer.ControlDecided{Version: m.Version(), Ballot: m.ballot})
		}
	}
}

// spread pushes the latest version to relays in every other failure domain
// and to every host of the own one.
func (m *Machine) spread() {
	r := m.state.Chosen
	domains := make(map[string][]membership.Host)
	var order []string
	for _, p := range m.cfg.Peers {
		if p.FailureDomain == m.cfg.Self.FailureDomain {
			continue
		}
		if domains[p.FailureDomain] == nil {
			order = append(order, p.FailureDomain)
		}
		domains[p.FailureDomain] = append(domains[p.FailureDomain], p)
	}
	for _, d := range order {
		hosts := domains[d]
		m.rng.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
		for _, h := range hosts[:min(m.cfg.Relays, len(hosts))] {
			m.send(h.Name, &peer.ControlChosen{Record: r, Relay: true})
		}
	}
	m.pushDomain("")
}

// pushDomain sends the latest version to the other hosts of the own failure
// domain, once.
func (m *Machine) pushDomain(except string) {
	r := m.state.Chosen
	if m.pushed >= r.Version {
		return
	}
	m.pushed = r.Version
	for _, p := range m.cfg.Peers {
		if p.FailureDomain == m.cfg.Self.FailureDomain && p.Name != except {
			m.send(p.Name, &peer.ControlChosen{Record: r})
		}
	}
}
