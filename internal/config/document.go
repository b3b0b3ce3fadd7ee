// Package config defines the configuration document that operators declare and
// that all hosts of the system agree on. A document is parsed from JSON with
// comments and checked before it becomes part of a plan.
package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/pkg/errors"
)

// Document is the content of one configuration version.
type Document struct {
	Services       []Service       `json:"services" msgpack:"s" validate:"max=1024,unique=Name,dive"`
	Teams          []Team          `json:"teams" msgpack:"t" validate:"max=1024,unique=Name,dive"`
	FailureDomains []FailureDomain `json:"failure_domains" msgpack:"d" validate:"max=256,unique=Name,dive"`
	ControlHosts   []ControlHost   `json:"control_hosts" msgpack:"c" validate:"max=7,unique=Host,dive"`
	Drains         Drains          `json:"drains" msgpack:"r"`
}

// Service is a kind of task. Each minion announces the services that it runs.
type Service struct {
	Name string `json:"name" msgpack:"n" validate:"required,max=128"`
}

// Team is a group of callers with a weight and quotas. The quotas apply per
// failure domain.
type Team struct {
	Name      string `json:"name" msgpack:"n" validate:"required,max=128"`
	Weight    int    `json:"weight" msgpack:"w" validate:"min=1,max=1000"`
	MaxSlots  int    `json:"max_slots" msgpack:"s" validate:"min=0"`  // running tasks; 0: unlimited
	MaxQueued int    `json:"max_queued" msgpack:"q" validate:"min=0"` // queued tasks; 0: unlimited
}

// FailureDomain lists the entry hosts of one failure domain.
type FailureDomain struct {
	Name   string `json:"name" msgpack:"n" validate:"required,max=64"`
	Region string `json:"region" msgpack:"r" validate:"required,max=64"`
	Hosts  []Host `json:"hosts" msgpack:"h" validate:"max=64,unique=Name,dive"`
}

// Host is one entry host.
type Host struct {
	Name    string `json:"name" msgpack:"n" validate:"required,max=64"`
	Address string `json:"address" msgpack:"a" validate:"required,hostname_port"` // of the peer listener
}

// ControlHost is an entry host that votes on configuration versions. Disk is an
// identity stored in its data folder: a replaced disk has a different identity
// and votes only after a configuration change has admitted it.
type ControlHost struct {
	Host string `json:"host" msgpack:"h" validate:"required,max=64"`
	Disk string `json:"disk" msgpack:"d" validate:"required,max=64"`
}

// Drains lists the minions and hosts that get no new work, and the processes
// that shut down.
type Drains struct {
	Minions []string `json:"minions" msgpack:"m" validate:"max=100000,unique,dive,required,max=128"`
	Hosts   []string `json:"hosts" msgpack:"h" validate:"max=1024,unique,dive,required,max=64"`
	Stops   []Stop   `json:"stops" msgpack:"s" validate:"max=1024,unique=Host,dive"`
}

// Stop asks one process of a drained host to shut down gracefully. It names the
// incarnation so that a process started later on the host is not stopped.
type Stop struct {
	Host        string `json:"host" msgpack:"h" validate:"required,max=64"`
	Incarnation string `json:"incarnation" msgpack:"i" validate:"required,max=64"`
}

// Parse decodes and checks a document. The file name is used in errors only.
// The error is settings.Problems and names file, line and key.
func Parse(file string, text []byte) (*Document, error) {
	var d Document
	if err := settings.Decode(file, text, &d); err != nil {
		return nil, err
	}
	if key, problem := d.checkReferences(); problem != "" {
		return nil, settings.ProblemAt(file, text, key, problem)
	}
	return &d, nil
}

// checkReferences checks names that occur under several keys. It returns the
// first key that conflicts with another one and a description, or empty strings.
func (d *Document) checkReferences() (key, problem string) {
	for i, c := range d.ControlHosts {
		if len(d.FailureDomains) > 0 && d.HostDomain(c.Host) == nil { // without failure domains, the hosts are those of the settings
			return fmt.Sprintf("control_hosts[%d].host", i), fmt.Sprintf("host %q is in no failure domain", c.Host)
		}
	}
	for i, s := range d.Drains.Stops {
		if !d.HostDrained(s.Host) {
			return fmt.Sprintf("drains.stops[%d].host", i), fmt.Sprintf("host %q is not in drains.hosts", s.Host)
		}
	}
	domainOf := make(map[string]string)
	for i, f := range d.FailureDomains {
		for k, h := range f.Hosts {
			if other, ok := domainOf[h.Name]; ok {
				return fmt.Sprintf("failure_domains[%d].hosts[%d].name", i, k), fmt.Sprintf("host %q is in %q and %q", h.Name, other, f.Name)
			}
			domainOf[h.Name] = f.Name
		}
	}
	return "", ""
}

// HostDomain returns the failure domain of the named host, or nil.
func (d *Document) HostDomain(host string) *FailureDomain {
	for i := range d.FailureDomains {
		f := &d.FailureDomains[i]
		if slices.ContainsFunc(f.Hosts, func(h Host) bool { return h.Name == host }) {
			return f
		}
	}
	return nil
}

// HostDrained reports whether the named host is drained, that is, accepts no new
// submissions.
func (d *Document) HostDrained(host string) bool { return slices.Contains(d.Drains.Hosts, host) }

// StopsProcess reports whether the document asks this incarnation of the host to
// shut down.
func (d *Document) StopsProcess(host, incarnation string) bool {
	return slices.Contains(d.Drains.Stops, Stop{Host: host, Incarnation: incarnation})
}

// Team returns the named team, or nil.
func (d *Document) Team(name string) *Team {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return &d.Teams[i]
		}
	}
	return nil
}

// Normalize sorts every list by name and replaces nil lists with empty ones, so
// that equivalent documents have the same encoding.
func (d *Document) Normalize() {
	d.Services = sorted(d.Services, func(s Service) string { return s.Name })
	d.Teams = sorted(d.Teams, func(t Team) string { return t.Name })
	d.FailureDomains = sorted(d.FailureDomains, func(f FailureDomain) string { return f.Name })
	for i := range d.FailureDomains {
		f := &d.FailureDomains[i]
		f.Hosts = sorted(f.Hosts, func(h Host) string { return h.Name })
	}
	d.ControlHosts = sorted(d.ControlHosts, func(c ControlHost) string { return c.Host })
	d.Drains.Minions = sorted(d.Drains.Minions, func(s string) string { return s })
	d.Drains.Hosts = sorted(d.Drains.Hosts, func(s string) string { return s })
	d.Drains.Stops = sorted(d.Drains.Stops, func(s Stop) string { return s.Host })
}

// sorted returns a copy of list sorted by name. The copy is never nil.
func sorted[T any](list []T, name func(T) string) []T {
	out := append(make([]T, 0, len(list)), list...)
	slices.SortFunc(out, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return out
}

// Clone returns a normalized deep copy of d.
func (d *Document) Clone() *Document {
	c := *d
	c.Normalize()
	return &c
}

// Encode returns the document as compact JSON. Equal documents have the same
// encoding.
func (d *Document) Encode() ([]byte, error) {
	text, err := json.Marshal(d)
	return text, errors.WithStack(err)
}
