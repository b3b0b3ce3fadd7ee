package daemon

import (
	"context"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"time"
)

// Plan implements api.Control.
func (d *Daemon) Plan(context.Context, api.PlanRequest) (api.PlanResponse, *result.Error) {
	return api.PlanResponse{}, result.Errorf(result.PlanRefused, "no control hosts are configured")
}

// Confirm implements api.Control.
func (d *Daemon) Confirm(_ context.Context, plan string, _ api.ConfirmRequest) (api.ConfirmResponse, *result.Error) {
	return api.ConfirmResponse{}, result.Errorf(result.UnknownPlan, "plan %q", plan)
}

// Config implements api.Control.
func (d *Daemon) Config(context.Context) (api.ConfigResponse, *result.Error) {
	r := api.ConfigResponse{Name: result.OK.String()}
	err := d.query(func(e *engine.Engine, _ time.Time) { r.Version = e.ConfigVersion() })
	return r, err
}
