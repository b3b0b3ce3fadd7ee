package plan

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
)

// maxChanges is the maximum number of lines that Changes returns, apart from a
// last line with the number of omitted changes.
const maxChanges = 200

// changedPair holds the old and the new value of an element that is in both
// lists.
type changedPair[T any] struct{ from, to T }

// listDiff holds the differences between two lists.
type listDiff[T any] struct {
	added, removed []T
	changed        []changedPair[T]
}

// diff compares two lists whose elements are identified by name. The results
// are in the order of their list.
func diff[T any](from, to []T, name func(T) string) listDiff[T] {
	var d listDiff[T]
	unmatched := make(map[string]T, len(from))
	for _, x := range from {
		unmatched[name(x)] = x
	}
	for _, x := range to {
		before, ok := unmatched[name(x)]
		delete(unmatched, name(x))
		switch {
		case !ok:
			d.added = append(d.added, x)
		case !reflect.DeepEqual(before, x):
			d.changed = append(d.changed, changedPair[T]{before, x})
		}
	}
	for _, x := range from {
		if _, ok := unmatched[name(x)]; ok {
			d.removed = append(d.removed, x)
		}
	}
	return d
}

func serviceName(s config.Service) string         { return s.Name }
func teamName(t config.Team) string               { return t.Name }
func domainName(f config.FailureDomain) string    { return f.Name }
func hostName(h config.Host) string               { return h.Name }
func controlHostName(c config.ControlHost) string { return c.Host }
func stopName(s config.Stop) string               { return s.Host }
func identity(s string) string                    { return s }

// textLines collects changes or warnings as lines of text for the operator.
type textLines []string

func (l *textLines) add(format string, args ...any) { *l = append(*l, fmt.Sprintf(format, args...)) }

// Changes describes the differences between two documents, one line per change.
// A nil document is treated as an empty one.
func Changes(from, to *config.Document) []string {
	from, to = normalizedClone(from), normalizedClone(to)
	var l textLines
	l.addServices(diff(from.Services, to.Services, serviceName))
	l.addTeams(diff(from.Teams, to.Teams, teamName))
	l.addDomains(diff(from.FailureDomains, to.FailureDomains, domainName))
	l.addControlHosts(diff(from.ControlHosts, to.ControlHosts, controlHostName))
	l.addDrains("minion", diff(from.Drains.Minions, to.Drains.Minions, identity))
	l.addDrains("host", diff(from.Drains.Hosts, to.Drains.Hosts, identity))
	l.addStops(diff(from.Drains.Stops, to.Drains.Stops, stopName))
	if more := len(l) - maxChanges; more > 0 {
		l = append(slices.Clip(l[:maxChanges]), fmt.Sprintf("and %d more changes", more))
	}
	return l
}

// normalizedClone returns a normalized copy of d, or an empty document if d is
// nil.
func normalizedClone(d *config.Document) *config.Document {
	if d == nil {
		d = &config.Document{}
	}
	return d.Clone()
}

func (l *textLines) addServices(d listDiff[config.Service]) {
	for _, s := range d.added {
		l.add("service %s added", s.Name)
	}
	for _, s := range d.removed {
		l.add("service %s removed", s.Name)
	}
}

func (l *textLines) addTeams(d listDiff[config.Team]) {
	for _, t := range d.added {
		l.add("team %s added: weight %d, max_slots %d, max_queued %d", t.Name, t.Weight, t.MaxSlots, t.MaxQueued)
	}
	for _, t := range d.removed {
		l.add("team %s removed", t.Name)
	}
	for _, c := range d.changed {
		l.addNumber("team "+c.to.Name, "weight", c.from.Weight, c.to.Weight)
		l.addNumber("team "+c.to.Name, "max_slots", c.from.MaxSlots, c.to.MaxSlots)
		l.addNumber("team "+c.to.Name, "max_queued", c.from.MaxQueued, c.to.MaxQueued)
	}
}

func (l *textLines) addNumber(what, key string, from, to int) {
	if from != to {
		l.add("%s: %s %d to %d", what, key, from, to)
	}
}

func (l *textLines) addDomains(d listDiff[config.FailureDomain]) {
	for _, f := range d.added {
		l.add("failure domain %s added in region %s", f.Name, f.Region)
		l.addHosts(f.Name, diff(nil, f.Hosts, hostName))
	}
	for _, f := range d.removed {
		l.add("failure domain %s removed", f.Name)
		l.addHosts(f.Name, diff(f.Hosts, nil, hostName))
	}
	for _, c := range d.changed {
		if c.from.Region != c.to.Region {
			l.add("failure domain %s: region %s to %s", c.to.Name, c.from.Region, c.to.Region)
		}
		l.addHosts(c.to.Name, diff(c.from.Hosts, c.to.Hosts, hostName))
	}
}

func (l *textLines) addHosts(domain string, d listDiff[config.Host]) {
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

func (l *textLines) addControlHosts(d listDiff[config.ControlHost]) {
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

func (l *textLines) addDrains(what string, d listDiff[string]) {
	for _, name := range d.added {
		l.add("%s %s drained", what, name)
	}
	for _, name := range d.removed {
		l.add("%s %s no longer drained", what, name)
	}
}

func (l *textLines) addStops(d listDiff[config.Stop]) {
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
