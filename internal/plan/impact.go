package plan

import (
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
)

// documentDiff lists the names of the elements that differ between two documents.
type documentDiff struct {
	hosts    []string // drained, undrained, stopped, added, removed or changed, also as control hosts
	minions  []string // drained or undrained
	teams    []string // added, removed or with another weight or quota
	services []string // removed

	// Subsets of the lists above that stop getting work.
	drainedMinions []string // newly drained
	drainedHosts   []string // newly drained
	removedTeams   []string
}

func diffDocuments(before, wanted *config.Document) documentDiff {
	var d documentDiff
	minions := diff(before.Drains.Minions, wanted.Drains.Minions, identity)
	hosts := diff(before.Drains.Hosts, wanted.Drains.Hosts, identity)
	teams := diff(before.Teams, wanted.Teams, teamName)
	d.drainedMinions = minions.added
	d.drainedHosts = hosts.added
	d.removedTeams = names(teams.removed, teamName)
	d.minions = union(minions.added, minions.removed)
	d.teams = union(names(teams.added, teamName), d.removedTeams)
	d.teams = union(d.teams, names(newValues(teams.changed), teamName))
	d.services = names(diff(before.Services, wanted.Services, serviceName).removed, serviceName)
	d.hosts = union(hosts.added, hosts.removed)
	d.hosts = union(d.hosts, changedNames(diff(before.Drains.Stops, wanted.Drains.Stops, stopName), stopName))
	d.hosts = union(d.hosts, changedNames(diff(before.ControlHosts, wanted.ControlHosts, controlHostName), controlHostName))
	d.hosts = union(d.hosts, changedNames(diff(allHosts(before), allHosts(wanted), hostName), hostName))
	return d
}

func allHosts(d *config.Document) []config.Host {
	var all []config.Host
	for _, f := range d.FailureDomains {
		all = append(all, f.Hosts...)
	}
	return all
}

// newValues returns the new value of each pair.
func newValues[T any](pairs []changedPair[T]) []T {
	out := make([]T, len(pairs))
	for i, p := range pairs {
		out[i] = p.to
	}
	return out
}

func names[T any](list []T, name func(T) string) []string {
	out := make([]string, len(list))
	for i, x := range list {
		out[i] = name(x)
	}
	return out
}

// changedNames returns the names of all added, removed and changed elements.
func changedNames[T any](d listDiff[T], name func(T) string) []string {
	all := append(slices.Clone(d.added), d.removed...)
	return names(append(all, newValues(d.changed)...), name)
}

// estimateImpact returns what a change affects. If the plan drains the planning
// host, it counts all of this host's tasks. Otherwise it counts the tasks that the
// host runs on newly drained minions, its queued tasks for the services of these
// minions, and all its tasks of removed teams and services.
func estimateImpact(before, wanted *config.Document, v View) Impact {
	d := diffDocuments(before, wanted)
	impact := Impact{Hosts: d.hosts, Minions: d.minions, Teams: d.teams}
	drainsThisHost := slices.Contains(d.drainedHosts, v.Host)
	var drainedServices []string
	for _, m := range v.Minions {
		if !slices.Contains(d.drainedMinions, m.Name) {
			continue
		}
		drainedServices = union(drainedServices, m.Services)
		if !drainsThisHost {
			impact.Running += m.Running
		}
	}
	for _, c := range v.TaskCounts {
		affected := drainsThisHost || slices.Contains(d.removedTeams, c.Team) || slices.Contains(d.services, c.Service)
		if affected {
			impact.Running += c.Running
		}
		if affected || slices.Contains(drainedServices, c.Service) {
			impact.QueuedTasks += c.Queued
			impact.Teams = union(impact.Teams, []string{c.Team})
		}
	}
	return impact
}

// warnings lists consequences of the plan that the operator may not intend:
// drains of unknown minions, services without a ready minion, failure domains
// without an undrained host, and an even number of control hosts.
func warnings(before, wanted *config.Document, v View) []string {
	d := diffDocuments(before, wanted)
	var l textLines
	for _, name := range d.drainedMinions {
		if !slices.ContainsFunc(v.Minions, func(m Minion) bool { return m.Name == name }) {
			l.add("minion %s is not announced in failure domain %s", name, v.FailureDomain)
		}
	}
	l.warnUnservedServices(wanted, v)
	l.warnDrainedDomains(d, wanted)
	if len(wanted.ControlHosts)%2 == 0 && len(changedControlHosts(before, wanted)) > 0 {
		l.add("%d control hosts survive no more failures than %d", len(wanted.ControlHosts), len(wanted.ControlHosts)-1)
	}
	return l
}

// warnUnservedServices adds a warning for each service that has a ready minion
// now and none once the plan is applied.
func (l *textLines) warnUnservedServices(wanted *config.Document, v View) {
	readyNow, readyAfter := make(map[string]bool), make(map[string]bool)
	for _, m := range v.Minions {
		for _, s := range m.Services {
			readyNow[s] = readyNow[s] || m.Ready
			readyAfter[s] = readyAfter[s] || m.Ready && !slices.Contains(wanted.Drains.Minions, m.Name)
		}
	}
	var unserved []string
	for s := range readyNow {
		if readyNow[s] && !readyAfter[s] {
			unserved = append(unserved, s)
		}
	}
	slices.Sort(unserved)
	for _, s := range unserved {
		l.add("service %s would have no ready minion in failure domain %s", s, v.FailureDomain)
	}
}

// warnDrainedDomains adds a warning for each failure domain in which the plan
// drains hosts and leaves none undrained.
func (l *textLines) warnDrainedDomains(d documentDiff, wanted *config.Document) {
	for _, f := range wanted.FailureDomains {
		if len(f.Hosts) == 0 || !slices.ContainsFunc(f.Hosts, func(h config.Host) bool { return slices.Contains(d.drainedHosts, h.Name) }) {
			continue
		}
		if !slices.ContainsFunc(f.Hosts, func(h config.Host) bool { return !wanted.HostDrained(h.Name) }) {
			l.add("failure domain %s would take no new work: every host is drained", f.Name)
		}
	}
}
