package control

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// ObserveVersion handles the version that a peer reports, for example in a
// heartbeat. It fetches a version newer than the known one from the peer, but
// sends at most one fetch per Timing.ResendInterval.
func (m *Machine) ObserveVersion(now time.Time, from string, version uint64) {
	if version <= m.Version() || now.Sub(m.fetchSentAt) < m.cfg.Timing.ResendInterval {
		return
	}
	m.fetchSentAt = now
	m.send(from, &peer.ControlFetch{Version: m.Version()})
}

// fetchFromGroup asks every other member for a newer version.
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
		m.sendReport(from)
	}
	if c.Relay && c.Record.Version == m.Version() {
		m.pushToOwnDomain(from)
	}
}

// onDecided learns the chosen version from the value that this host accepted
// under the ballot, and reports to the sender. If the host did not accept that
// ballot, it fetches the version from the sender.
func (m *Machine) onDecided(now time.Time, from string, d *peer.ControlDecided) {
	if d.Version == m.Version()+1 && m.state.Value != nil && m.state.Accepted == d.Ballot {
		m.learn(now, m.state.Value)
	}
	if d.Version > m.Version() {
		m.send(from, &peer.ControlFetch{Version: m.Version()})
		return
	}
	m.sendReport(from)
}

// onReport records that a member has the latest version on disk, sends the latest
// version to a host that is behind, and fetches a newer one from a host that is
// ahead.
func (m *Machine) onReport(now time.Time, from string, r *peer.ControlReport) {
	if m.attempt != nil {
		m.attempt.reports[from] = r
	}
	m.observeSpare(now, from, r)
	m.learnBootstrapFromReport(r)
	m.answerNewcomer(from, r)
	if r.Version > m.Version() {
		m.ObserveVersion(now, from, r.Version)
		return
	}
	if m.state.Chosen == nil {
		return
	}
	if r.Version < m.Version() {
		m.send(from, &peer.ControlChosen{Record: m.state.Chosen})
		return
	}
	if r.Version == m.Version() && !r.StoreFailed && isMember(m.state.Chosen.Group, from, r.Disk) {
		m.synced[from] = true
	}
}

// syncedByMajority reports whether a majority of the group named by the latest
// version has that version on disk. From then on the version survives the loss
// of any minority of the new group's disks, even if the previous group is lost.
func (m *Machine) syncedByMajority() bool {
	return len(m.synced) >= majority(len(m.state.Chosen.Group))
}

// sendDecided notifies the members that have not reported the latest version on
// disk that it is chosen.
func (m *Machine) sendDecided(now time.Time) {
	m.decidedSentAt = now
	for _, g := range m.state.Chosen.Group {
		if !m.synced[g.Host] {
			m.send(g.Host, &peer.ControlDecided{Version: m.Version(), Ballot: m.chosenBallot})
		}
	}
}

// pushChosen pushes the latest version to Config.RelaysPerDomain random hosts of
// every other failure domain, which relay it within their domain, and to every
// host of this host's domain.
func (m *Machine) pushChosen() {
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
		for _, h := range hosts[:min(m.cfg.RelaysPerDomain, len(hosts))] {
			m.send(h.Name, &peer.ControlChosen{Record: r, Relay: true})
		}
	}
	m.pushToOwnDomain("")
}

// pushToOwnDomain sends the latest version to the other hosts of this host's
// failure domain, except the given one. Each version is pushed only once.
func (m *Machine) pushToOwnDomain(except string) {
	r := m.state.Chosen
	if m.pushedVersion >= r.Version {
		return
	}
	m.pushedVersion = r.Version
	for _, p := range m.cfg.Peers {
		if p.FailureDomain == m.cfg.Self.FailureDomain && p.Name != except {
			m.send(p.Name, &peer.ControlChosen{Record: r})
		}
	}
}
