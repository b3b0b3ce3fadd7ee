package plan

import (
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
)

// effect is what separates two documents, by what it affects.
type effect struct {
	hosts    []string // drained, undrained, stopped, added, removed or changed
	minions  []string // drained or undrained
	teams    []string // added, removed or with other quotas
	services []string // removed

	drainedMinions []string
	drainedHosts   []string
	removedTeams   []string
}

func newEffect(before, wanted *config.Document) effect {
	var e effect
	minions := diff(before.Drains.Minions, wanted.Drains.Minions, itself)
	hosts := diff(before.Drains.Hosts, wanted.Drains.Hosts, itself)
	teams := diff(before.Teams, wanted.Teams, teamName)
	e.drainedMinions = minions.added
	e.drainedHosts = hosts.added
	e.removedTeams = names(teams.removed, teamName)
	e.minions = union(minions.added, minions.removed)
	e.teams = union(names(teams.added, teamName), e.removedTeams)
	e.teams = union(e.teams, names(after(teams.changed), teamName))
	e.services = names(diff(before.Services, wanted.Services, serviceName).removed, serviceName)
	e.hosts = union(hosts.added, hosts.removed)
	e.hosts = union(e.hosts, changedNames(diff(before.Drains.Stops, wanted.Drains.Stops, stopName), stopName))
	e.hosts = union(e.hosts, changedNames(diff(before.ControlHosts, wanted.ControlHosts, controlName), controlName))
	e.hosts = union(e.hosts, changedNames(diff(allHosts(before), allHosts(wanted), hostName), hostName))
	return e
}

func allHosts(d *config.Document) []config.Host {
	var all []config.Host
	for _, f := range d.FailureDomains {
		all = append(all, f.Hosts...)
	}
	return all
}

func after[T any](pairs []pair[T]) []T {
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

func changedNames[T any](d difference[T], name func(T) string) []string {
	all := append(slices.Clone(d.added), d.removed...)
	return names(append(all, after(d.changed)...), name)
}

// touches counts the work that a change affects: all work of the planning host
// when that is drained, tasks in progress on drained minions and what waits
// for their services, and the work of removed teams and services.
func touches(before, wanted *config.Document, v View) Touches {
	e := newEffect(before, wanted)
	t := Touches{Hosts: e.hosts, Minions: e.minions, Teams: e.teams}
	self := slices.Contains(e.drainedHosts, v.Host)
	var offered []string
	for _, m := range v.Minions {
		if !slices.Contains(e.drainedMinions, m.Name) {
			continue
		}
		offered = union(offered, m.Services)
		if !self {
			t.Running += m.Running
		}
	}
	for _, w := range v.Work {
		gone := self || slices.Contains(e.removedTeams, w.Team) || slices.Contains(e.services, w.Service)
		if gone {
			t.Running += w.Running
		}
		if gone || slices.Contains(offered, w.Service) {
			t.QueuedTasks += w.Queued
			t.Teams = union(t.Teams, []string{w.Team})
		}
	}
	return t
}

// warnings tells what an operator may not have meant.
func warnings(before, wanted *config.Document, v View) []string {
	e := newEffect(before, wanted)
	var l lines
	for _, name := range e.drainedMinions {
		if !slices.ContainsFunc(v.Minions, func(m Minion) bool { return m.Name == name }) {
			l.add("minion %s is not announced in failure domain %s", name, v.FailureDomain)
		}
	}
	l.lostServices(wanted, v)
	l.lostDomains(e, wanted)
	if len(wanted.ControlHosts)%2 == 0 && len(changedControl(before, wanted)) > 0 {
		l.add("%d control hosts survive no more failures than %d", len(wanted.ControlHosts), len(wanted.ControlHosts)-1)
	}
	return l
}

// lostServices warns of services that have a ready minion now and will have none.
func (l *lines) lostServices(wanted *config.Document, v View) {
	now, then := make(map[string]bool), make(map[string]bool)
	for _, m := range v.Minions {
		for _, s := range m.Services {
			now[s] = now[s] || m.Ready
			then[s] = then[s] || m.Ready && !slices.Contains(wanted.Drains.Minions, m.Name)
		}
	}
	var lost []string
	for s := range now {
		if now[s] && !then[s] {
			lost = append(lost, s)
		}
	}
	slices.Sort(lost)
	for _, s := range lost {
		l.add("service %s would have no ready minion in failure domain %s", s, v.FailureDomain)
	}
}

// lostDomains warns of failure domains whose hosts would all be drained.
func (l *lines) lostDomains(e effect, wanted *config.Document) {
	for _, f := range wanted.FailureDomains {
		if len(f.Hosts) == 0 || !slices.ContainsFunc(f.Hosts, func(h config.Host) bool { return slices.Contains(e.drainedHosts, h.Name) }) {
			continue
		}
		if !slices.ContainsFunc(f.Hosts, func(h config.Host) bool { return !wanted.HostDrained(h.Name) }) {
			l.add("failure domain %s would take no new work: every host is drained", f.Name)
		}
	}
}
