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
	to := d.hubs(control)
	if d.self.Control {
		all := append([]claim.ControlHost{{Name: d.self.Name, FailureDomain: d.self.FailureDomain}}, control...)
		to = append(to, claim.Neighbours(d.self.Name, names(control))...)
		for domain := range d.domains() {
			hubs := claim.Hubs(domain, all)
			to = append(to, hubs...)
			if slices.Contains(hubs, d.self.Name) {
				to = append(to, names(control)...)
			}
		}
		d.followTeacher(control)
	}
	heard := 0
	for _, c := range control {
		if d.hears(c.Name) {
			heard++
		}
	}
	if heard < enoughControl {
		to = append(to, d.seedHosts()...)
	}
	for _, name := range to {
		out[name] = true
	}
}

// controlHosts returns the other control hosts, by name.
func (d *decisions) controlHosts() []claim.ControlHost {
	var out []claim.ControlHost
	for _, h := range d.roster.Hosts() {
		if h.Control {
			out = append(out, claim.ControlHost{Name: h.Name, FailureDomain: h.FailureDomain})
		}
	}
	return out
}

func names(control []claim.ControlHost) []string {
	out := make([]string, len(control))
	for i, c := range control {
		out[i] = c.Name
	}
	return out
}

// hubs returns the hubs of the own failure domain.
func (d *decisions) hubs(control []claim.ControlHost) []string {
	return claim.Hubs(d.self.FailureDomain, control)
}

// domains returns the failure domains of all listed hosts.
func (d *decisions) domains() map[string]bool {
	out := make(map[string]bool)
	for _, h := range d.roster.Hosts() {
		out[h.FailureDomain] = true
	}
	return out
}

// hears reports whether a host was heard lately.
func (d *decisions) hears(name string) bool {
	h := d.roster.Host(name)
	return h != nil && d.beatAt.Sub(h.HeardAt) < 2*controlEvery
}

// followTeacher chooses the hub whose log a control host reads in whole where
// there are many. A new one is read from its beginning.
func (d *decisions) followTeacher(control []claim.ControlHost) {
	few := claim.AreFew(control)
	if few && !d.readsAll {
		d.roster.ForgetPlaces(names(control)...)
	}
	d.readsAll = few
	if few || d.hears(d.teacher) {
		return
	}
	for _, hub := range d.hubs(control) {
		if d.hears(hub) {
			d.teacher = hub
			d.roster.ForgetPlaces(hub)
			return
		}
	}
}
