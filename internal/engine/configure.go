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

// ApplyConfig applies a configuration version. A version that is not newer than the
// applied one is ignored.
func (e *Engine) ApplyConfig(now time.Time, version uint64, d *config.Document) {
	e.recordInput(now, Input{Apply: &AppliedConfig{Version: version, Document: d}})
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

// Document returns the applied configuration document, or nil before the first.
func (e *Engine) Document() *config.Document { return e.document }

// Drained reports whether the configuration drains this host. A drained host
// refuses new submissions and finishes its jobs in progress.
func (e *Engine) Drained() bool {
	return e.document != nil && e.document.HostDrained(e.cfg.Host.Name)
}

// StopRequested reports whether the configuration asks this incarnation of the host
// to stop.
func (e *Engine) StopRequested() bool {
	return e.document != nil && e.document.StopsProcess(e.cfg.Host.Name, string(e.cfg.Incarnation))
}

// admitHost refuses new jobs while this host is stopping or drained.
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

// setHosts replaces the peers with the hosts that the document lists. If it lists
// none, the peers from the settings stay.
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
	if listed && e.listedVersion == 0 {
		e.listedVersion = e.configVersion
	}
	if e.members.SetHosts(now, hosts) {
		e.ready.Hosts = e.members.Hosts()
		e.log(event.HostsChanged, slog.Int("hosts", len(hosts)))
	}
}

// joined reports whether other hosts take this host into account when they
// search for the owner of a key. A host that was added to a running system has
// joined once more than half of its region has applied a configuration that
// lists it. From then on, a host with an older configuration that searches for an
// owner gets a reply with a newer version from at least one host of the region, and
// fails the search.
func (e *Engine) joined() bool {
	if e.cfg.Joining && e.listedVersion > 0 && e.members.RegionConfirms(e.cfg.Host.Region, e.listedVersion) {
		e.cfg.Joining = false
	}
	return !e.cfg.Joining
}
