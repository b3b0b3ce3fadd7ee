package plan

import (
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// want returns the document that the request asks for.
func want(r Request, v View, before *config.Document) (*config.Document, *result.Error) {
	if r.Intent == Change {
		return wantChange(r, before)
	}
	if v.Document == nil {
		return nil, result.Errorf(result.PlanRefused, "no configuration is in force: plan a document first")
	}
	if len(r.Minions)+len(r.Hosts) == 0 {
		return nil, result.Errorf(result.InvalidField, "%s: no minion and no host is named", r.Intent)
	}
	if err := knownHosts(r, before); err != nil {
		return nil, err
	}
	wanted := before.Clone()
	switch r.Intent {
	case Drain:
		wantDrain(r, wanted)
	case Undrain:
		wantUndrain(r, wanted)
	case Stop:
		return wanted, wantStop(r, v, wanted)
	default:
		return nil, result.Errorf(result.InvalidField, "intent %q: want change, drain, undrain or stop", r.Intent)
	}
	return wanted, nil
}

// wantChange keeps the drains in force where the document does not list them,
// so that a file without drains does not end those that operators declared
// since. The control hosts stay in the same way.
func wantChange(r Request, before *config.Document) (*config.Document, *result.Error) {
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
		wanted.Drains.Hosts = keep(before.Drains.Hosts, func(h string) bool { return wanted.HostDomain(h) != nil })
	}
	if d.Stops == nil {
		wanted.Drains.Stops = before.Drains.Stops
	}
	dropStops(wanted)
	return wanted, nil
}

// dropStops ends the stops of hosts that are not drained.
func dropStops(d *config.Document) {
	d.Drains.Stops = keep(d.Drains.Stops, func(s config.Stop) bool { return d.HostDrained(s.Host) })
}

func keep[T any](list []T, wanted func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return !wanted(x) })
}

// knownHosts refuses hosts of no failure domain. One that is already drained
// may be named, so that the drain of a removed host can be ended.
func knownHosts(r Request, before *config.Document) *result.Error {
	for _, h := range r.Hosts {
		if before.HostDomain(h) == nil && !before.HostDrained(h) {
			return result.Errorf(result.HostUnknown, "host %q", h)
		}
	}
	return nil
}

func wantDrain(r Request, d *config.Document) {
	d.Drains.Minions = union(d.Drains.Minions, r.Minions)
	d.Drains.Hosts = union(d.Drains.Hosts, r.Hosts)
}

func wantUndrain(r Request, d *config.Document) {
	d.Drains.Minions = keep(d.Drains.Minions, func(m string) bool { return !slices.Contains(r.Minions, m) })
	d.Drains.Hosts = keep(d.Drains.Hosts, func(h string) bool { return !slices.Contains(r.Hosts, h) })
	dropStops(d)
}

// wantStop drains the hosts and names the processes that run on them now.
func wantStop(r Request, v View, d *config.Document) *result.Error {
	if len(r.Minions) > 0 {
		return result.Errorf(result.InvalidField, "stop: minions are drained, not stopped")
	}
	for _, name := range r.Hosts {
		h := v.host(name)
		if h == nil || !h.Up || h.Incarnation == "" {
			return result.Errorf(result.PlanRefused, "host %s cannot be reached from host %s: plan its stop at a host that reaches it", name, v.Host)
		}
		d.Drains.Stops = keep(d.Drains.Stops, func(s config.Stop) bool { return s.Host != name })
		d.Drains.Stops = append(d.Drains.Stops, config.Stop{Host: name, Incarnation: h.Incarnation})
	}
	d.Drains.Hosts = union(d.Drains.Hosts, r.Hosts)
	return nil
}

func union(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}

func (v *View) host(name string) *Host {
	for i := range v.Hosts {
		if v.Hosts[i].Name == name {
			return &v.Hosts[i]
		}
	}
	return nil
}
