package engine

import (
	"log/slog"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Apply puts a configuration version in force. Versions only grow; an older
// or equal one changes nothing.
func (e *Engine) Apply(version uint64, d *config.Document) {
	if version <= e.configVersion {
		return
	}
	invariant.Check(d != nil, "version %d without a document", version)
	e.configVersion = version
	e.document = d
	e.minions.SetDrains(d.Drains.Minions)
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
	case e.stopping:
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
