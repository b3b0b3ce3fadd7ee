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

// Daemon has the methods of a daemon that the HTTP handlers call.
type Daemon interface {
	// Submit admits a submission. If wait is set, it blocks until the job has its
	// final answer. A nil answer without an error means that the job is in
	// progress.
	Submit(ctx context.Context, s *job.Submission, wait bool) (*job.Answer, *result.Error)
	// Fetch returns the answer of a job that was submitted before. wait and the
	// return values have the same meaning as for Submit.
	Fetch(ctx context.Context, id job.ID, wait bool) (*job.Answer, *result.Error)
	// Cancel withdraws the queued tasks of a job and asks the minions to stop the
	// started ones. wait and the return values have the same meaning as for Submit.
	Cancel(ctx context.Context, id job.ID, wait bool) (*job.Answer, *result.Error)
	// Announce registers a minion and returns the duration of its lease.
	Announce(ctx context.Context, a minion.Announcement) (lease time.Duration, err *result.Error)
	// Renew renews the lease of a minion and returns its duration.
	Renew(ctx context.Context, name string, generation uint64) (lease time.Duration, err *result.Error)
	// Leave marks a minion that stops as leaving: it gets no new tasks.
	Leave(ctx context.Context, name string, generation uint64) *result.Error
	// Explain returns the answer of a job that ended on this host, with the times
	// reported to RecordWriteTimes in its breakdown.
	Explain(ctx context.Context, id job.ID) (*job.Answer, *result.Error)
	// RecordWriteTimes records how long it took to encode a job's answer and to
	// write it to the caller's connection.
	RecordWriteTimes(id job.ID, encode, write time.Duration)
	// Status returns the state of the host and its view of peers and minions.
	Status(ctx context.Context) (StatusResponse, *result.Error)
	// Jobs returns at most limit jobs that this host knows.
	Jobs(ctx context.Context, limit int) ([]JobInfo, *result.Error)
	// Ready reports whether the host accepts jobs.
	Ready() bool
	Control
}

// API serves a Daemon over HTTP.
type API struct {
	daemon         Daemon
	limits         Limits
	maxBodyBytes   int
	maxHeaderBytes int
	maxConnections int
	profiling      bool
	log            *slog.Logger

	// Spans creates the spans of callers' requests. It must be set before the
	// servers run; nil disables spans.
	Spans *telemetry.Spans
}

// New returns an API that serves d with the limits of s.
func New(d Daemon, s *settings.Settings, log *slog.Logger) *API {
	return &API{
		daemon: d,
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
	maxControlBodyBytes = 1 << 20 // largest request body of minions and operators
	idleTimeout         = 60 * time.Second
	readTimeout         = 30 * time.Second
)

func (a *API) server(l net.Listener, maxBody int) *server.Hertz {
	bounded := &boundedListener{Listener: l, maxOpen: int64(a.maxConnections), onRefused: a.refuseConnection}
	h := server.New(
		server.WithTransport(standard.NewTransporter),
		server.WithListener(bounded),
		server.WithMaxRequestBodySize(maxBody),
		server.WithMaxHeaderBytes(a.maxHeaderBytes),
		server.WithIdleTimeout(idleTimeout),
		server.WithReadTimeout(readTimeout),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
		server.WithTracer(&requestTimer{a}),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	h.Use(a.recordReceipt, a.recover)
	h.NoRoute(a.noRoute)
	h.NoMethod(a.noRoute)
	return h
}

func (a *API) refuseConnection(remote net.Addr) {
	event.Log(context.Background(), a.log, event.ConnectionRefused, slog.String("remote", remote.String()))
}

// CallerServer returns the server for callers, which accepts connections on l.
func (a *API) CallerServer(l net.Listener) *server.Hertz {
	h := a.server(l, a.maxBodyBytes)
	h.Use(a.closeIfNotReady)
	h.POST("/v1/jobs", a.submit)
	h.GET("/v1/jobs/:team/:key", a.fetch)
	h.DELETE("/v1/jobs/:team/:key", a.cancel)
	a.addHealthChecks(h)
	return h
}

// MinionServer returns the server for minions, which accepts connections on l.
func (a *API) MinionServer(l net.Listener) *server.Hertz {
	h := a.server(l, maxControlBodyBytes)
	h.POST("/v1/minions", a.announce)
	h.POST("/v1/minions/heartbeat", a.renew)
	h.POST("/v1/minions/leave", a.leave)
	a.addHealthChecks(h)
	return h
}

// OperatorServer returns the server for operators, which accepts connections on l.
func (a *API) OperatorServer(l net.Listener) *server.Hertz {
	h := a.server(l, maxControlBodyBytes)
	h.GET("/v1/status", a.status)
	h.GET("/v1/jobs", a.jobs)
	h.GET("/v1/jobs/:team/:key", a.fetch)
	h.DELETE("/v1/jobs/:team/:key", a.cancel)
	h.GET("/v1/explain/:team/:key", a.explain)
	a.addPlanRoutes(h)
	if a.profiling {
		a.addProfiling(h)
	}
	h.GET("/debug/vars", adaptor.HertzHandler(expvar.Handler()))
	a.addHealthChecks(h)
	return h
}

// PathHealth is the path of the liveness check on every listener.
const PathHealth = "/healthz"

func (a *API) addProfiling(h *server.Hertz) {
	h.GET("/debug/pprof/profile", adaptor.HertzHandler(http.HandlerFunc(pprof.Profile)))
	for _, name := range []string{"heap", "allocs", "goroutine", "block", "mutex"} {
		h.GET("/debug/pprof/"+name, adaptor.HertzHandler(pprof.Handler(name)))
	}
}

// closeIfNotReady closes a connection after the response while the host is not
// ready, so that callers do not send further requests on a connection that ends
// when the host stops.
func (a *API) closeIfNotReady(ctx context.Context, c *app.RequestContext) {
	c.Next(ctx)
	if !a.daemon.Ready() {
		c.SetConnectionClose()
	}
}

func (a *API) addHealthChecks(h *server.Hertz) {
	h.GET(PathHealth, func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	h.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if a.daemon.Ready() {
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
		// The job may have been submitted before the panic, so the code promises
		// nothing about its execution.
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

func (a *API) replyAnswer(ctx context.Context, c *app.RequestContext, answer *job.Answer, err *result.Error) {
	switch {
	case err != nil:
		a.fail(c, err)
	case answer == nil:
		a.fail(c, &result.Error{Code: result.JobPending})
	default:
		a.replyJob(ctx, c, answer)
	}
}

func (a *API) replyJob(ctx context.Context, c *app.RequestContext, answer *job.Answer) {
	begin := time.Now()
	a.reply(c, answer.Code.HTTPStatus(), jobResponse(answer))
	if times := requestTimesOf(ctx); times != nil {
		times.answer = answer
		times.encode = time.Since(begin)
	}
}

func wantsWait(c *app.RequestContext) bool { return c.Query("wait") != "false" }

func (a *API) submit(ctx context.Context, c *app.RequestContext) {
	s, err := ParseSubmission(time.Now(), c.Request.Body(), a.limits)
	if err != nil {
		a.fail(c, err)
		return
	}
	if times := requestTimesOf(ctx); times != nil {
		s.Receive = times.received.Sub(times.firstByte)
		s.ReceivedAt = times.received
		times.span = a.Spans.StartRequest(string(c.GetHeader(telemetry.HeaderTraceparent)), times.firstByte)
		s.Trace = times.span.Traceparent()
	}
	answer, err := a.daemon.Submit(ctx, s, wantsWait(c))
	a.replyAnswer(ctx, c, answer, err)
}

func jobIDFromPath(c *app.RequestContext) job.ID {
	return job.ID{Team: c.Param("team"), Key: c.Param("key")}
}

func (a *API) fetch(ctx context.Context, c *app.RequestContext) {
	answer, err := a.daemon.Fetch(ctx, jobIDFromPath(c), wantsWait(c))
	a.replyAnswer(ctx, c, answer, err)
}

func (a *API) cancel(ctx context.Context, c *app.RequestContext) {
	answer, err := a.daemon.Cancel(ctx, jobIDFromPath(c), wantsWait(c))
	a.replyAnswer(ctx, c, answer, err)
}

func (a *API) explain(ctx context.Context, c *app.RequestContext) {
	answer, err := a.daemon.Explain(ctx, jobIDFromPath(c))
	if err != nil {
		a.fail(c, err)
		return
	}
	r := jobResponse(answer)
	r.Results = nil
	a.reply(c, 200, r)
}

func (a *API) replyLease(c *app.RequestContext, lease time.Duration, err *result.Error) {
	if err != nil {
		a.reply(c, err.Code.HTTPStatus(), LeaseResponse{Code: err.Code, Name: err.Code.String(), Detail: err.Detail})
		return
	}
	a.reply(c, 200, LeaseResponse{Name: result.OK.String(), LeaseMS: lease.Milliseconds()})
}

func (a *API) announce(ctx context.Context, c *app.RequestContext) {
	var m minion.Announcement
	if err := decodeStrict(c.Request.Body(), &m); err != nil {
		a.replyLease(c, 0, err)
		return
	}
	if err := settings.Validate(&m); err != nil {
		a.replyLease(c, 0, result.Errorf(result.InvalidField, "%v", err))
		return
	}
	lease, err := a.daemon.Announce(ctx, m)
	a.replyLease(c, lease, err)
}

func (a *API) renew(ctx context.Context, c *app.RequestContext) {
	var r HeartbeatRequest
	if err := decodeStrict(c.Request.Body(), &r); err != nil {
		a.replyLease(c, 0, err)
		return
	}
	lease, err := a.daemon.Renew(ctx, r.Name, r.Generation)
	a.replyLease(c, lease, err)
}

func (a *API) leave(ctx context.Context, c *app.RequestContext) {
	var r HeartbeatRequest
	if err := decodeStrict(c.Request.Body(), &r); err != nil {
		a.replyLease(c, 0, err)
		return
	}
	a.replyLease(c, 0, a.daemon.Leave(ctx, r.Name, r.Generation))
}

func (a *API) status(ctx context.Context, c *app.RequestContext) {
	s, err := a.daemon.Status(ctx)
	if err != nil {
		a.fail(c, err)
		return
	}
	a.reply(c, 200, s)
}

const jobListLimit = 1000

func (a *API) jobs(ctx context.Context, c *app.RequestContext) {
	list, err := a.daemon.Jobs(ctx, jobListLimit)
	if err != nil {
		a.fail(c, err)
		return
	}
	a.reply(c, 200, list)
}
