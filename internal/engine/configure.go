package engine

import (
	"log/slog"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/dispatch"
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
	quotas := make(map[string]dispatch.Quota, len(d.Teams))
	for _, t := range d.Teams {
		quotas[t.Name] = dispatch.Quota{Weight: t.Weight, MaxSlots: t.MaxSlots}
	}
	e.queue.SetQuotas(quotas)
	e.log(event.ConfigApplied, slog.Uint64("version", version))
}

// Document returns the configuration in force, or nil before the first.
func (e *Engine) Document() *config.Document { return e.document }

// admitTeam refuses teams that the configuration does not name. Before the
// first configuration every team is served.
func (e *Engine) admitTeam(s *job.Submission) *result.Error {
	if e.document == nil || e.document.Team(s.ID.Team) != nil {
		return nil
	}
	return result.Errorf(result.UnknownTeam, "team %q", s.ID.Team)
}
