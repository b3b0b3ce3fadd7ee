package plan

import (
	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// checkControl refuses a plan that changes more than one control host, or
// after which the reachable control hosts are no majority.
func checkControl(before, wanted *config.Document, v View) *result.Error {
	changed := changedControl(before, wanted)
	if len(before.ControlHosts) > 0 && len(wanted.ControlHosts) == 0 {
		return result.Errorf(result.PlanRefused, "control_hosts: none would be left, and no change could be accepted again")
	}
	if len(before.ControlHosts) > 0 && len(changed) > 1 {
		return result.Errorf(result.PlanRefused, "control_hosts: %v would change; change one at a time", changed)
	}
	stopped := newStops(before, wanted)
	if len(changed) == 0 && len(stopped) == 0 {
		return nil
	}
	return checkMajority(wanted, v, stopped)
}

// changedControl returns the hosts that become or cease to be control hosts,
// or get another disk.
func changedControl(before, wanted *config.Document) []string {
	d := diff(before.ControlHosts, wanted.ControlHosts, controlName)
	var names []string
	for _, c := range append(d.added, d.removed...) {
		names = append(names, c.Host)
	}
	for _, c := range d.changed {
		names = append(names, c.to.Host)
	}
	return names
}

// newStops returns the hosts whose processes the plan stops.
func newStops(before, wanted *config.Document) map[string]bool {
	d := diff(before.Drains.Stops, wanted.Drains.Stops, stopName)
	hosts := make(map[string]bool)
	for _, s := range d.added {
		hosts[s.Host] = true
	}
	for _, c := range d.changed {
		hosts[c.to.Host] = true
	}
	return hosts
}

func checkMajority(wanted *config.Document, v View, stopped map[string]bool) *result.Error {
	if len(wanted.ControlHosts) == 0 {
		return nil
	}
	majority := len(wanted.ControlHosts)/2 + 1
	left := 0
	var missing []string
	for _, c := range wanted.ControlHosts {
		h := v.host(c.Host)
		if h != nil && h.Up && !stopped[c.Host] {
			left++
			continue
		}
		missing = append(missing, c.Host)
	}
	if left >= majority {
		return nil
	}
	return result.Errorf(result.PlanRefused, "no majority would be left: %d of %d control hosts are needed, %d would be reachable; without %v",
		majority, len(wanted.ControlHosts), left, missing)
}
