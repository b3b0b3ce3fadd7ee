package plan

import (
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// wantedDocument returns the document that the request asks for, given the
// document before the change. It does not modify before.
func wantedDocument(r Request, v View, before *config.Document) (*config.Document, *result.Error) {
	if r.Intent == Change {
		return applyChange(r, before)
	}
	if v.Document == nil {
		return nil, result.Errorf(result.PlanRefused, "no configuration is in force: plan a document first")
	}
	if len(r.Minions)+len(r.Hosts) == 0 {
		return nil, result.Errorf(result.InvalidField, "%s: no minion and no host is named", r.Intent)
	}
	if err := checkHostsKnown(r, before); err != nil {
		return nil, err
	}
	wanted := before.Clone()
	switch r.Intent {
	case Drain:
		applyDrain(r, wanted)
	case Undrain:
		applyUndrain(r, wanted)
	case Stop:
		return wanted, applyStop(r, v, wanted)
	default:
		return nil, result.Errorf(result.InvalidField, "intent %q: want change, drain, undrain or stop", r.Intent)
	}
	return wanted, nil
}

// applyChange returns the requested document. Lists that it omits are taken from
// before: a file without drains must not end the drains that operators have
// declared since it was written, and a file without control hosts must not
// declare that there are none. It drops inherited drains of hosts that the
// document no longer lists, and stops of hosts that are not drained.
func applyChange(r Request, before *config.Document) (*config.Document, *result.Error) {
	if r.Document == nil {
		return nil, result.Errorf(result.InvalidField, "document is missing")
	}
	d := r.Document.Drains
	wanted := r.Document.Clone()
	if r.Document.ControlHosts == nil {
		wanted.ControlHosts = before.ControlHosts
	}
	if d.Minions == nil {
		wanted.Drains.Minions = before.Drains.Minions
	}
	if d.Hosts == nil {
		wanted.Drains.Hosts = filter(before.Drains.Hosts, func(h string) bool { return wanted.HostDomain(h) != nil })
	}
	if d.Stops == nil {
		wanted.Drains.Stops = before.Drains.Stops
	}
	dropStopsOfUndrainedHosts(wanted)
	return wanted, nil
}

// dropStopsOfUndrainedHosts removes the stops of hosts that are not drained.
func dropStopsOfUndrainedHosts(d *config.Document) {
	d.Drains.Stops = filter(d.Drains.Stops, func(s config.Stop) bool { return d.HostDrained(s.Host) })
}

// filter returns a copy of list with the elements that wanted accepts.
func filter[T any](list []T, wanted func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return !wanted(x) })
}

// checkHostsKnown refuses hosts that belong to no failure domain. It accepts a
// host that is already drained, so that the drain of a removed host can be
// ended.
func checkHostsKnown(r Request, before *config.Document) *result.Error {
	for _, h := range r.Hosts {
		if before.HostDomain(h) == nil && !before.HostDrained(h) {
			return result.Errorf(result.HostUnknown, "host %q", h)
		}
	}
	return nil
}

func applyDrain(r Request, d *config.Document) {
	d.Drains.Minions = union(d.Drains.Minions, r.Minions)
	d.Drains.Hosts = union(d.Drains.Hosts, r.Hosts)
}

func applyUndrain(r Request, d *config.Document) {
	d.Drains.Minions = filter(d.Drains.Minions, func(m string) bool { return !slices.Contains(r.Minions, m) })
	d.Drains.Hosts = filter(d.Drains.Hosts, func(h string) bool { return !slices.Contains(r.Hosts, h) })
	dropStopsOfUndrainedHosts(d)
}

// applyStop drains the hosts and adds a stop for the current incarnation of
// each. It refuses a host that the planning host cannot reach or whose
// incarnation it does not know.
func applyStop(r Request, v View, d *config.Document) *result.Error {
	if len(r.Minions) > 0 {
		return result.Errorf(result.InvalidField, "stop: minions are drained, not stopped")
	}
	for _, name := range r.Hosts {
		h := v.host(name)
		if h == nil || !h.Reachable || h.Incarnation == "" {
			return result.Errorf(result.PlanRefused, "host %s cannot be reached from host %s: plan its stop at a host that reaches it", name, v.Host)
		}
		d.Drains.Stops = filter(d.Drains.Stops, func(s config.Stop) bool { return s.Host != name })
		d.Drains.Stops = append(d.Drains.Stops, config.Stop{Host: name, Incarnation: h.Incarnation})
	}
	d.Drains.Hosts = union(d.Drains.Hosts, r.Hosts)
	return nil
}

// union returns the elements of both lists, sorted and without duplicates.
func union(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}

// host returns the named host of the view, or nil.
func (v *View) host(name string) *Host {
	for i := range v.Hosts {
		if v.Hosts[i].Name == name {
			return &v.Hosts[i]
		}
	}
	return nil
}
