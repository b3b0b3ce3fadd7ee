package fleet

import (
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
)

// minControlHosts is the number of control hosts with a recent heartbeat below which
// this host sends heartbeats to the seeds, too. An entry host exchanges heartbeats with
// the five relay hosts of its failure domain (claim.RelayHosts), so it contacts the
// seeds after the loss of two of them, while the others still connect it to the other
// hosts.
const minControlHosts = 4

// addControlTargets adds the control hosts that get heartbeats from this host. An
// entry host sends them to the relay hosts of its failure domain. A control host
// sends them to its neighbours and to the relay hosts of all failure domains; if it
// is a relay host itself, to all control hosts.
func (c *core) addControlTargets(out map[string]time.Duration) {
	control := c.otherControlHosts()
	domains := make(map[string]bool)
	inContact := 0
	for _, h := range c.roster.Hosts() {
		if h.Control && c.heartbeatAt.Sub(h.HeartbeatAt) < 2*c.controlInterval(c.heartbeatAt) {
			inContact++
		}
		domains[h.FailureDomain] = true
	}
	var to []string
	if c.self.Control {
		all := append([]string{c.self.Name}, control...)
		to = append(to, c.controlNeighbours()...)
		for domain := range domains {
			relays := claim.RelayHosts(domain, all)
			to = append(to, relays...)
			if slices.Contains(relays, c.self.Name) {
				to = append(to, control...)
			}
		}
	}
	if c.self.Entry {
		to = append(to, claim.RelayHosts(c.self.FailureDomain, control)...)
	}
	if inContact < minControlHosts {
		to = append(to, c.seedHosts()...)
	}
	for _, name := range to {
		out[name] = c.controlInterval(c.heartbeatAt)
	}
}

// controlNeighbours returns the control hosts to which this one forwards all minion
// records, including those that it received from other control hosts.
func (c *core) controlNeighbours() []string {
	return claim.Neighbours(c.self.Name, c.otherControlHosts())
}

// otherControlHosts returns the names of the other control hosts, sorted.
func (c *core) otherControlHosts() []string {
	var out []string
	for _, h := range c.roster.Hosts() {
		if h.Control {
			out = append(out, h.Name)
		}
	}
	return out
}
