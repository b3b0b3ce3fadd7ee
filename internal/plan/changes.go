package plan

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
)

// maxChanges bounds a list of changes; the last line tells how many are left out.
const maxChanges = 200

// pair is an element of both documents that differs.
type pair[T any] struct{ from, to T }

// difference is what separates two lists.
type difference[T any] struct {
	added, removed []T
	changed        []pair[T]
}

// diff compares two lists by name.
func diff[T any](from, to []T, name func(T) string) difference[T] {
	var d difference[T]
	old := make(map[string]T, len(from))
	for _, x := range from {
		old[name(x)] = x
	}
	for _, x := range to {
		before, ok := old[name(x)]
		delete(old, name(x))
		switch {
		case !ok:
			d.added = append(d.added, x)
		case !reflect.DeepEqual(before, x):
			d.changed = append(d.changed, pair[T]{before, x})
		}
	}
	for _, x := range from {
		if _, ok := old[name(x)]; ok {
			d.removed = append(d.removed, x)
		}
	}
	return d
}

func serviceName(s config.Service) string      { return s.Name }
func teamName(t config.Team) string            { return t.Name }
func domainName(f config.FailureDomain) string { return f.Name }
func hostName(h config.Host) string            { return h.Name }
func controlName(c config.ControlHost) string  { return c.Host }
func stopName(s config.Stop) string            { return s.Host }
func itself(s string) string                   { return s }

// lines collects readable changes.
type lines []string

func (l *lines) add(format string, args ...any) { *l = append(*l, fmt.Sprintf(format, args...)) }

// Changes lists what separates two documents, one line per change. Nil stands
// for the empty document.
func Changes(from, to *config.Document) []string {
	from, to = normal(from), normal(to)
	var l lines
	l.services(diff(from.Services, to.Services, serviceName))
	l.teams(diff(from.Teams, to.Teams, teamName))
	l.domains(diff(from.FailureDomains, to.FailureDomains, domainName))
	l.control(diff(from.ControlHosts, to.ControlHosts, controlName))
	l.drains("minion", diff(from.Drains.Minions, to.Drains.Minions, itself))
	l.drains("host", diff(from.Drains.Hosts, to.Drains.Hosts, itself))
	l.stops(diff(from.Drains.Stops, to.Drains.Stops, stopName))
	if more := len(l) - maxChanges; more > 0 {
		l = append(slices.Clip(l[:maxChanges]), fmt.Sprintf("and %d more changes", more))
	}
	return l
}

// normal returns a normalized copy, of the empty document for nil.
func normal(d *config.Document) *config.Document {
	if d == nil {
		d = &config.Document{}
	}
	return d.Clone()
}

func (l *lines) services(d difference[config.Service]) {
	for _, s := range d.added {
		l.add("service %s added", s.Name)
	}
	for _, s := range d.removed {
		l.add("service %s removed", s.Name)
	}
}

func (l *lines) teams(d difference[config.Team]) {
	for _, t := range d.added {
		l.add("team %s added: weight %d, max_slots %d, max_queued %d", t.Name, t.Weight, t.MaxSlots, t.MaxQueued)
	}
	for _, t := range d.removed {
		l.add("team %s removed", t.Name)
	}
	for _, c := range d.changed {
		l.number("team "+c.to.Name, "weight", c.from.Weight, c.to.Weight)
		l.number("team "+c.to.Name, "max_slots", c.from.MaxSlots, c.to.MaxSlots)
		l.number("team "+c.to.Name, "max_queued", c.from.MaxQueued, c.to.MaxQueued)
	}
}

func (l *lines) number(what, key string, from, to int) {
	if from != to {
		l.add("%s: %s %d to %d", what, key, from, to)
	}
}

func (l *lines) domains(d difference[config.FailureDomain]) {
	for _, f := range d.added {
		l.add("failure domain %s added in region %s", f.Name, f.Region)
		l.hosts(f.Name, diff(nil, f.Hosts, hostName))
	}
	for _, f := range d.removed {
		l.add("failure domain %s removed", f.Name)
		l.hosts(f.Name, diff(f.Hosts, nil, hostName))
	}
	for _, c := range d.changed {
		if c.from.Region != c.to.Region {
			l.add("failure domain %s: region %s to %s", c.to.Name, c.from.Region, c.to.Region)
		}
		l.hosts(c.to.Name, diff(c.from.Hosts, c.to.Hosts, hostName))
	}
}

func (l *lines) hosts(domain string, d difference[config.Host]) {
	for _, h := range d.added {
		l.add("host %s added to failure domain %s at %s", h.Name, domain, h.Address)
	}
	for _, h := range d.removed {
		l.add("host %s removed from failure domain %s", h.Name, domain)
	}
	for _, c := range d.changed {
		l.add("host %s: address %s to %s", c.to.Name, c.from.Address, c.to.Address)
	}
}

func (l *lines) control(d difference[config.ControlHost]) {
	for _, c := range d.added {
		l.add("control host %s added with disk %s", c.Host, c.Disk)
	}
	for _, c := range d.removed {
		l.add("control host %s removed", c.Host)
	}
	for _, c := range d.changed {
		l.add("control host %s: disk %s to %s", c.to.Host, c.from.Disk, c.to.Disk)
	}
}

func (l *lines) drains(what string, d difference[string]) {
	for _, name := range d.added {
		l.add("%s %s drained", what, name)
	}
	for _, name := range d.removed {
		l.add("%s %s no longer drained", what, name)
	}
}

func (l *lines) stops(d difference[config.Stop]) {
	for _, s := range d.added {
		l.add("host %s: process %s stops", s.Host, s.Incarnation)
	}
	for _, s := range d.removed {
		l.add("host %s: stop of process %s ended", s.Host, s.Incarnation)
	}
	for _, c := range d.changed {
		l.add("host %s: process %s stops", c.to.Host, c.to.Incarnation)
	}
}
