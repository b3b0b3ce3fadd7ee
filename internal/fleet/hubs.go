package fleet

import (
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
)

// enoughControl is how many control hosts must be heard for the seeds to be left
// alone: a failure domain's hubs outlive the loss of two.
const enoughControl = 4

// addControl adds the control hosts that this host keeps in touch with.
func (d *decisions) addControl(out map[string]bool) {
	control := d.controlHosts()
	domains := make(map[string]bool)
	heard := 0
	for _, h := range d.roster.Hosts() {
		if h.Control && d.beatAt.Sub(h.HeartbeatAt) < 2*controlEvery {
			heard++
		}
		domains[h.FailureDomain] = true
	}
	var to []string
	if d.self.Control {
		all := append([]string{d.self.Name}, control...)
		to = append(to, d.neighbours()...)
		for domain := range domains {
			hubs := claim.RelayHosts(domain, all)
			to = append(to, hubs...)
			if slices.Contains(hubs, d.self.Name) {
				to = append(to, control...)
			}
		}
	}
	if d.self.Entry {
		to = append(to, claim.RelayHosts(d.self.FailureDomain, control)...)
	}
	if heard < enoughControl {
		to = append(to, d.seedHosts()...)
	}
	for _, name := range to {
		out[name] = true
	}
}

// neighbours returns the control hosts that this one passes everything on to.
func (d *decisions) neighbours() []string { return claim.Neighbours(d.self.Name, d.controlHosts()) }

// controlHosts returns the other control hosts, by name.
func (d *decisions) controlHosts() []string {
	var out []string
	for _, h := range d.roster.Hosts() {
		if h.Control {
			out = append(out, h.Name)
		}
	}
	return out
}
