package control

import (
	"fmt"
	"strings"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// describeAcceptors lists the hosts that choose the next version, each with what
// status says of it.
func (m *Machine) describeAcceptors(status func(host string) string) string {
	var parts []string
	for _, host := range m.acceptors() {
		parts = append(parts, host+": "+status(host))
	}
	if parts == nil {
		return "no control hosts are known"
	}
	return strings.Join(parts, ", ")
}

// describeReport says why a report does not confirm this host's version, or that it
// does. r is nil if none has arrived.
func (m *Machine) describeReport(host string, r *peer.ControlReport) string {
	switch {
	case r == nil:
		return "no answer"
	case r.StoreFailed:
		return "its disk refuses writes"
	case m.state.Chosen != nil && !isMember(m.state.Chosen.Group, host, r.Disk):
		return fmt.Sprintf("disk %q is not in the group", r.Disk)
	case r.Version != m.Version():
		return fmt.Sprintf("has version %d", r.Version)
	case r.Pending:
		return "a change is undecided"
	}
	return "up to date"
}

// describeProgress says what the answers to the attempt for a proposal have shown.
func (m *Machine) describeProgress(p *pendingProposal) string {
	a := m.attempt
	if a == nil || a.proposal != p {
		return "another ballot of this host was in progress"
	}
	return m.describeAcceptors(func(host string) string {
		switch {
		case a.accepts[host]:
			return "accepted"
		case a.promises[host] != nil:
			return "promised"
		}
		return m.describeReport(host, a.reports[host])
	})
}
