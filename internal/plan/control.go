package plan

import (
	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// checkControlHosts refuses a plan that removes all control hosts, changes more
// than one of them, or changes or stops hosts such that no majority of the
// control hosts would be reachable.
func checkControlHosts(before, wanted *config.Document, v View) *result.Error {
	changed := changedControlHosts(before, wanted)
	if len(before.ControlHosts) > 0 && len(wanted.ControlHosts) == 0 {
		return result.Errorf(result.PlanRefused, "control_hosts: none would be left, and no change could be accepted again")
	}
	if len(before.ControlHosts) > 0 && len(changed) > 1 {
		return result.Errorf(result.PlanRefused, "control_hosts: %v would change; change one at a time", changed)
	}
	stopped := newlyStoppedHosts(before, wanted)
	if len(changed) == 0 && len(stopped) == 0 {
		return nil
	}
	return checkMajority(wanted, v, stopped)
}

// changedControlHosts returns the control hosts that are added, removed or get
// another disk.
func changedControlHosts(before, wanted *config.Document) []string {
	d := diff(before.ControlHosts, wanted.ControlHosts, controlHostName)
	var names []string
	for _, c := range append(d.added, d.removed...) {
		names = append(names, c.Host)
	}
	for _, c := range d.changed {
		names = append(names, c.to.Host)
	}
	return names
}

// newlyStoppedHosts returns the hosts whose processes the plan stops.
func newlyStoppedHosts(before, wanted *config.Document) map[string]bool {
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

// checkMajority refuses a plan after which fewer than a majority of the control
// hosts would be reachable from the planning host.
func checkMajority(wanted *config.Document, v View, stopped map[string]bool) *result.Error {
	if len(wanted.ControlHosts) == 0 {
		return nil
	}
	majority := len(wanted.ControlHosts)/2 + 1
	reachable := 0
	var unreachable []string
	for _, c := range wanted.ControlHosts {
		h := v.host(c.Host)
		if h != nil && h.Reachable && !stopped[c.Host] {
			reachable++
			continue
		}
		unreachable = append(unreachable, c.Host)
	}
	if reachable >= majority {
		return nil
	}
	return result.Errorf(result.PlanRefused, "no majority would be left: %d of %d control hosts are needed, %d would be reachable; without %v",
		majority, len(wanted.ControlHosts), reachable, unreachable)
}
