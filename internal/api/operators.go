package api

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Intent is the kind of change that an operator plans.
type Intent = plan.Intent

// PlanRequest is the body of POST /v1/plans.
type PlanRequest struct {
	Intent   Intent   `json:"intent"`
	File     string   `json:"file,omitempty"`     // name of the document's file, used in messages
	Document string   `json:"document,omitempty"` // for plan.Change: JSON with comments
	Minions  []string `json:"minions,omitempty"`  // for plan.Drain and plan.Undrain
	Hosts    []string `json:"hosts,omitempty"`    // for plan.Drain, plan.Undrain and plan.Stop
}

// PlanResponse describes a plan. The plan has no effect until it is confirmed.
type PlanResponse struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Detail  string      `json:"detail,omitempty"`
	ID      string      `json:"id,omitempty"`
	Intent  Intent      `json:"intent,omitempty"`
	Base    uint64      `json:"base"`   // version applied when the plan was made
	Digest  string      `json:"digest"` // of the document that the plan proposes
	Changes []string    `json:"changes,omitempty"`
	Impact  Impact      `json:"touches"`

	Warnings  []string `json:"warnings,omitempty"`
	Host      string   `json:"host,omitempty"`       // host that stores the plan
	ExpiresMS int64    `json:"expires_ms,omitempty"` // time from this response until the plan expires
}

// Impact lists what a plan affects, as far as the answering host knows.
type Impact struct {
	Hosts       []string `json:"hosts,omitempty"`
	Minions     []string `json:"minions,omitempty"`
	Teams       []string `json:"teams,omitempty"`
	QueuedTasks int      `json:"queued_tasks"`
	Running     int      `json:"running_tasks"`
}

// ConfirmRequest is the body of POST /v1/plans/ID/confirm.
type ConfirmRequest struct {
	Command  string `json:"command"` // ID chosen by the operator; a resend with the same ID gets the first response
	Operator string `json:"operator"`
}

// ConfirmResponse is the result of confirming a plan.
type ConfirmResponse struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Detail  string      `json:"detail,omitempty"`
	Version uint64      `json:"version"`
	Winner  string      `json:"winner,omitempty"`  // operator whose change was chosen instead of the plan
	Changes []string    `json:"changes,omitempty"` // made by the winner to the base of the plan
}

// ConfigResponse is the answer to GET /v1/config.
type ConfigResponse struct {
	Code     result.Code `json:"code"`
	Name     string      `json:"name"`
	Version  uint64      `json:"version"`
	AgeMS    int64       `json:"age_ms"` // since this host applied the version
	Document string      `json:"document"`
}

// Control makes and confirms plans and returns the applied configuration. The
// operators' handlers call it.
type Control interface {
	Plan(ctx context.Context, r PlanRequest) (PlanResponse, *result.Error)
	Confirm(ctx context.Context, plan string, r ConfirmRequest) (ConfirmResponse, *result.Error)
	Config(ctx context.Context) (ConfigResponse, *result.Error)
}

func (a *API) addPlanRoutes(h *server.Hertz) {
	h.POST("/v1/plans", a.plan)
	h.POST("/v1/plans/:plan/confirm", a.confirm)
	h.GET("/v1/config", a.config)
}

func (a *API) plan(ctx context.Context, c *app.RequestContext) {
	var r PlanRequest
	if err := decodeStrict(c.Request.Body(), &r); err != nil {
		a.fail(c, err)
		return
	}
	p, err := a.daemon.Plan(ctx, r)
	if err != nil {
		a.fail(c, err)
		return
	}
	a.reply(c, p.Code.HTTPStatus(), p)
}

func (a *API) confirm(ctx context.Context, c *app.RequestContext) {
	var r ConfirmRequest
	if err := decodeStrict(c.Request.Body(), &r); err != nil {
		a.fail(c, err)
		return
	}
	if !validName(r.Command) || !validName(r.Operator) {
		a.fail(c, result.Errorf(result.InvalidField, "command and operator: want 1 to %d of A-Z a-z 0-9 . _ : -", maxNameBytes))
		return
	}
	p, err := a.daemon.Confirm(ctx, c.Param("plan"), r)
	if err != nil {
		a.fail(c, err)
		return
	}
	a.reply(c, p.Code.HTTPStatus(), p)
}

func (a *API) config(ctx context.Context, c *app.RequestContext) {
	r, err := a.daemon.Config(ctx)
	if err != nil {
		a.fail(c, err)
		return
	}
	a.reply(c, 200, r)
}
