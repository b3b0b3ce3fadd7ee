package engine

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/dispatch"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Apply puts a configuration version in force. Versions only grow; an older
// or equal one changes nothing.
func (e *Engine) Apply(now time.Time, version uint64, d *config.Document) {
	e.record(now, Input{Apply: &Applied{Version: version, Document: d}})
	if version <= e.configVersion {
		return
	}
	invariant.Check(d != nil, "version %d without a document", version)
	e.configVersion = version
	e.document = d
	e.setHosts(now, d)
	e.minions.SetDrains(d.Drains.Minions)
	quotas := make(map[string]dispatch.Quota, len(d.Teams))
	for _, t := range d.Teams {
		quotas[t.Name] = dispatch.Quota{Weight: t.Weight, MaxSlots: t.MaxSlots}
	}
	e.queue.SetQuotas(quotas)
	e.log(event.ConfigApplied, slog.Uint64("version", version))
}

// Document returns the configuration in force, or nil before the first.
func (e *Engine) Document() *config.Document { return e.document }

// Drained reports whether the configuration drains this host: it refuses new
// submissions, and jobs in progress go on.
func (e *Engine) Drained() bool {
	return e.document != nil && e.document.HostDrained(e.cfg.Host.Name)
}

// ToldToStop reports whether the configuration stops this very process.
func (e *Engine) ToldToStop() bool {
	return e.document != nil && e.document.StopsProcess(e.cfg.Host.Name, string(e.cfg.Incarnation))
}

// admitHost refuses new work on a host that stops or is drained.
func (e *Engine) admitHost() *result.Error {
	switch {
	case e.Stopping():
		return result.Errorf(result.Stopping, "host %s", e.cfg.Host.Name)
	case e.Drained():
		return result.Errorf(result.Stopping, "host %s is drained", e.cfg.Host.Name)
	}
	return nil
}

// admitTeam refuses teams that the configuration does not name. Before the
// first configuration every team is served.
func (e *Engine) admitTeam(s *job.Submission) *result.Error {
	if e.document == nil || e.document.Team(s.ID.Team) != nil {
		return nil
	}
	return result.Errorf(result.UnknownTeam, "team %q", s.ID.Team)
}

// setHosts follows the document's list of hosts. A document without hosts
// leaves the list of the settings in force.
func (e *Engine) setHosts(now time.Time, d *config.Document) {
	var hosts []membership.Host
	listed := false
	for _, f := range d.FailureDomains {
		for _, h := range f.Hosts {
			if h.Name == e.cfg.Host.Name {
				listed = true
				continue
			}
			hosts = append(hosts, membership.Host{Name: h.Name, FailureDomain: f.Name, Region: f.Region, Address: h.Address})
		}
	}
	if len(hosts) == 0 && !listed {
		return
	}
	if listed && e.listedIn == 0 {
		e.listedIn = e.configVersion
	}
	if e.members.SetHosts(now, hosts) {
		e.ready.Hosts = e.members.Hosts()
		e.log(event.HostsChanged, slog.Int("hosts", len(hosts)))
	}
}

// admitted reports whether repetitions at other hosts will ask this host. A
// host that was added to a running system waits until more than half of its
// region has the configuration that lists it: each host that looks for a key's
// owner then hears from one of them that its own list is old.
func (e *Engine) admitted() bool {
	if e.cfg.Joining && e.listedIn > 0 && e.members.RegionConfirms(e.cfg.Host.Region, e.listedIn) {
		e.cfg.Joining = false
	}
	return !e.cfg.Joining
}
