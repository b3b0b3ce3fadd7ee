package api

import (
	"context"
	"encoding/json"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/laburnumwalk/laburnumwalk/internal/telemetry"
)

// Core is what the handlers need of a daemon.
type Core interface {
	// Submit admits a submission; with wait it returns the final answer.
	// A nil answer without an error means that the job is in progress.
	Submit(ctx context.Context, s *job.Submission, wait bool) (*job.Answer, *result.Error)
	// Fetch returns the answer of a known job, like Submit.
	Fetch(ctx context.Context, id job.ID, wait bool) (*job.Answer, *result.Error)
	// Cancel withdraws what has not started and returns the answer, like Submit.
	Cancel(ctx context.Context, id job.ID, wait bool) (*job.Answer, *result.Error)
	Announce(ctx context.Context, a minion.Announcement) (lease time.Duration, err *result.Error)
	Renew(ctx context.Context, name string, generation uint64) (lease time.Duration, err *result.Error)
	Leave(ctx context.Context, name string, generation uint64) *result.Error
	// Explain returns the answer of a job that ended here, with the time of
	// writing it to its caller.
	Explain(ctx context.Context, id job.ID) (*job.Answer, *result.Error)
	// Written tells how long encoding and writing a job's answer took.
	Written(id job.ID, encode, write time.Duration)
	Status(ctx context.Context) (StatusResponse, *result.Error)
	Jobs(ctx context.Context, limit int) ([]JobInfo, *result.Error)
	Ready() bool
	Control
}

// API serves a Core over HTTP.
type API struct {
	core           Core
	limits         Limits
	maxBodyBytes   int
	maxHeaderBytes int
	maxConnections int
	profiling      bool
	log            *slog.Logger

	// Spans makes the spans of callers' requests. It is set before serving; nil
	// makes none.
	Spans *telemetry.Spans
}

// New returns an API with the limits of the settings.
func New(core Core, s *settings.Settings, log *slog.Logger) *API {
	return &API{
		core: core,
		limits: Limits{
			MaxTasks:        s.Limits.MaxTasks,
			MaxPayloadBytes: s.Limits.MaxPayloadBytes,
			MaxDeadline:     settings.Millis(s.Timing.MaxDeadlineMS),
		},
		maxBodyBytes:   s.Limits.MaxBodyBytes,
		maxHeaderBytes: s.Limits.MaxHeaderBytes,
		maxConnections: s.Limits.MaxConnections,
		profiling:      s.Profiling,
		log:            log,
	}
}

const (
	controlBodyBytes = 1 << 20 // largest body of a minion's or operator's request
	idleTimeout      = 60 * time.Second
	readTimeout      = 30 * time.Second
)

func (a *API) server(l net.Listener, maxBody int) *server.Hertz {
	bounded := &boundedListener{Listener: l, bound: int64(a.maxConnections), refused: a.refuseConnection}
	h := server.New(
		server.WithTransport(standard.NewTransporter),
		server.WithListener(bounded),
		server.WithMaxRequestBodySize(maxBody),
		server.WithMaxHeaderBytes(a.maxHeaderBytes),
		server.WithIdleTimeout(idleTimeout),
		server.WithReadTimeout(readTimeout),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
		server.WithTracer(&stopwatch{a}),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	h.Use(a.receive, a.recover)
	h.NoRoute(a.noRoute)
	h.NoMethod(a.noRoute)
	return h
}

func (a *API) refuseConnection(remote net.Addr) {
	event.Log(context.Background(), a.log, event.ConnectionRefused, slog.String("remote", remote.String()))
}

// Callers returns the server of the callers' listener.
func (a *API) Callers(l net.Listener) *server.Hertz {
	h := a.server(l, a.maxBodyBytes)
	h.Use(a.retireConnection)
	h.POST("/v1/jobs", a.submit)
	h.GET("/v1/jobs/:team/:key", a.fetch)
	h.DELETE("/v1/jobs/:team/:key", a.cancel)
	a.health(h)
	return h
}

// Minions returns the server of the minions' listener.
func (a *API) Minions(l net.Listener) *server.Hertz {
	h := a.server(l, controlBodyBytes)
	h.POST("/v1/minions", a.announce)
	h.POST("/v1/minions/heartbeat", a.renew)
	h.POST("/v1/minions/leave", a.leave)
	a.health(h)
	return h
}

// Operators returns the server of the operators' listener.
func (a *API) Operators(l net.Listener) *server.Hertz {
	h := a.server(l, controlBodyBytes)
	h.GET("/v1/status", a.status)
	h.GET("/v1/jobs", a.jobs)
	h.GET("/v1/jobs/:team/:key", a.fetch)
	h.DELETE("/v1/jobs/:team/:key", a.cancel)
	h.GET("/v1/explain/:team/:key", a.explain)
	a.control(h)
	if a.profiling {
		a.profiles(h)
	}
	h.GET("/debug/vars", adaptor.HertzHandler(expvar.Handler()))
	a.health(h)
	return h
}

// PathHealth is the liveness check of every listener.
const PathHealth = "/healthz"

func (a *API) profiles(h *server.Hertz) {
	h.GET("/debug/pprof/profile", adaptor.HertzHandler(http.HandlerFunc(pprof.Profile)))
	for _, name := range []string{"heap", "allocs", "goroutine", "block", "mutex"} {
		h.GET("/debug/pprof/"+name, adaptor.HertzHandler(pprof.Handler(name)))
	}
}

// retireConnection closes a connection after its answer when the host is not
// ready, so that none is left open for a later request when it stops.
func (a *API) retireConnection(ctx context.Context, c *app.RequestContext) {
	c.Next(ctx)
	if !a.core.Ready() {
		c.SetConnectionClose()
	}
}

func (a *API) health(h *server.Hertz) {
	h.GET(PathHealth, func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	h.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if a.core.Ready() {
			c.String(200, "ready\n")
			return
		}
		c.String(503, "not ready\n")
	})
}

func (a *API) recover(ctx context.Context, c *app.RequestContext) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		event.Log(ctx, a.log, event.RequestPanicked, slog.Any("panic", p), slog.String("path", string(c.Path())))
		// A panic says nothing about what has started.
		a.fail(c, result.Errorf(result.StartUnknown, "internal error"))
	}()
	c.Next(ctx)
}

func (a *API) noRoute(_ context.Context, c *app.RequestContext) {
	a.fail(c, result.Errorf(result.UnsupportedRequest, "%s %s", c.Method(), c.Path()))
}

func (a *API) reply(c *app.RequestContext, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.String(500, "%v\n", err)
		return
	}
	c.Data(status, "application/json", body)
}

func (a *API) fail(c *app.RequestContext, e *result.Error) {
	a.reply(c, e.Code.HTTPStatus(), errorResponse(e))
}

func (a *API) respond(ctx context.Context, c *app.RequestContext, answer *job.Answer, err *result.Error) {
	switch {
	case err != nil:
		a.fail(c, err)
	case answer == nil:
		a.fail(c, &result.Error{Code: result.JobPending})
	default:
		a.respondJob(ctx, c, answer)
	}
}

func (a *API) respondJob(ctx context.Context, c *app.RequestContext, answer *job.Answer) {
	begin := time.Now()
	a.reply(c, answer.Code.HTTPStatus(), jobResponse(answer))
	if at := arrivalOf(ctx); at != nil {
		at.answer = answer
		at.encode = time.Since(begin)
	}
}

func waitWanted(c *app.RequestContext) bool { return c.Query("wait") != "false" }

func (a *API) submit(ctx context.Context, c *app.RequestContext) {
	s, err := ParseSubmission(time.Now(), c.Request.Body(), a.limits)
	if err != nil {
		a.fail(c, err)
		return
	}
	if at := arrivalOf(ctx); at != nil {
		s.Receive = at.received.Sub(at.firstByte)
		s.ReceivedAt = at.received
		at.span = a.Spans.StartRequest(string(c.GetHeader(telemetry.HeaderTraceparent)), at.firstByte)
		s.Trace = at.span.Traceparent()
	}
	answer, err := a.core.Submit(ctx, s, waitWanted(c))
	a.respond(ctx, c, answer, err)
}

func pathID(c *app.RequestContext) job.ID {
	return job.ID{Team: c.Param("team"), Key: c.Param("key")}
}

func (a *API) fetch(ctx context.Context, c *app.RequestContext) {
	answer, err := a.core.Fetch(ctx, pathID(c), waitWanted(c))
	a.respond(ctx, c, answer, err)
}

func (a *API) cancel(ctx context.Context, c *app.RequestContext) {
	answer, err := a.core.Cancel(ctx, pathID(c), waitWanted(c))
	a.respond(ctx, c, answer, err)
}

func (a *API) explain(ctx context.Context, c *app.RequestContext) {
	answer, err := a.core.Explain(ctx, pathID(c))
	if err != nil {
		a.fail(c, err)
		return
	}
	r := jobResponse(answer)
	r.Results = nil
	a.reply(c, 200, r)
}

func (a *API) lease(c *app.RequestContext, lease time.Duration, err *result.Error) {
	if err != nil {
		a.reply(c, err.Code.HTTPStatus(), LeaseResponse{Code: err.Code, Name: err.Code.String(), Detail: err.Detail})
		return
	}
	a.reply(c, 200, LeaseResponse{Name: result.OK.String(), LeaseMS: lease.Milliseconds()})
}

func (a *API) announce(ctx context.Context, c *app.RequestContext) {
	var m minion.Announcement
	if err := decodeStrict(c.Request.Body(), &m); err != nil {
		a.lease(c, 0, err)
		return
	}
	if err := settings.Validate(&m); err != nil {
		a.lease(c, 0, result.Errorf(result.InvalidField, "%v", err))
		return
	}
	lease, err := a.core.Announce(ctx, m)
	a.lease(c, lease, err)
}

func (a *API) renew(ctx context.Context, c *app.RequestContext) {
	var r HeartbeatRequest
	if err := decodeStrict(c.Request.Body(), &r); err != nil {
		a.lease(c, 0, err)
		return
	}
	lease, err := a.core.Renew(ctx, r.Name, r.Generation)
	a.lease(c, lease, err)
}

func (a *API) leave(ctx context.Context, c *app.RequestContext) {
	var r HeartbeatRequest
	if err := decodeStrict(c.Request.Body(), &r); err != nil {
		a.lease(c, 0, err)
		return
	}
	a.lease(c, 0, a.core.Leave(ctx, r.Name, r.Generation))
}

func (a *API) status(ctx context.Context, c *app.RequestContext) {
	s, err := a.core.Status(ctx)
	if err != nil {
		a.fail(c, err)
		return
	}
	a.reply(c, 200, s)
}

const jobListLimit = 1000

func (a *API) jobs(ctx context.Context, c *app.RequestContext) {
	list, err := a.core.Jobs(ctx, jobListLimit)
	if err != nil {
		a.fail(c, err)
		return
	}
	a.reply(c, 200, list)
}
