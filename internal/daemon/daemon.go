package daemon

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/link"
	"github.com/laburnumwalk/laburnumwalk/internal/register"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/laburnumwalk/laburnumwalk/internal/telemetry"
)

// Daemon is the process of one entry host. It implements api.Daemon.
type Daemon struct {
	settings    settings.Settings
	log         *slog.Logger
	startedAt   time.Time
	minionLease time.Duration
	ready       atomic.Bool

	metrics   *telemetry.Metrics
	core      *core
	sender    *sender
	mesh      *link.Mesh
	proposer  proposer
	plans     *planRegistry
	api       *api.API
	control   *register.Controller
	servers   []*server.Hertz
	listeners listeners
	wg        sync.WaitGroup
}

// New opens the listeners and sets up all components. Run starts their goroutines.
func New(s settings.Settings, log *slog.Logger) (*Daemon, error) {
	hlog.SetOutput(io.Discard) // the HTTP library's log lines are not structured and have no event number
	ln, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:    s,
		log:         log,
		startedAt:   time.Now(),
		minionLease: settings.Millis(s.Timing.MinionLeaseMS),
		metrics:     &telemetry.Metrics{},
		listeners:   ln,
		plans:       newPlanRegistry(),
	}
	d.metrics.JobsAnswered.Init()
	if err := d.setup(); err != nil {
		ln.close()
		return nil, err
	}
	return d, nil
}

// Run serves until ctx ends or the configuration requests a stop, and then shuts
// down: the host reports that it is not ready, accepts no new jobs, and waits for
// the jobs in progress until the stop timeout of the settings has passed.
func (d *Daemon) Run(ctx context.Context) error {
	invariant.SetHandler(d.reportInvariant)
	d.publishMetrics()
	stopTracing, err := d.startTracing(ctx)
	if err != nil {
		d.listeners.close()
		return err
	}
	runCtx, stopRun := context.WithCancel(context.Background())
	defer stopRun()
	d.wg.Go(func() { d.core.run(runCtx) })
	d.wg.Go(func() { d.control.Run(runCtx) })
	d.wg.Go(func() { d.mesh.Run(runCtx) })
	if err := d.startServers(runCtx); err != nil {
		d.shutdown(stopRun)
		stopTracing()
		return err
	}
	d.ready.Store(true)
	event.Log(ctx, d.log, event.Started, slog.String("host", d.settings.Host), slog.String("failure_domain", d.settings.FailureDomain))
	select {
	case <-ctx.Done():
	case <-d.core.appliedConfig.stopRequested:
	}
	d.shutdown(stopRun)
	stopTracing()
	event.Log(context.Background(), d.log, event.Stopped, slog.String("host", d.settings.Host))
	return nil
}

// publishMetrics publishes the metrics in expvar, unless an earlier Daemon of
// this process did so: expvar panics when a name is published twice.
func (d *Daemon) publishMetrics() {
	if expvar.Get("laburnum") == nil {
		expvar.Publish("laburnum", d.metrics.Map())
	}
}

func (d *Daemon) logSpanExportError(err error) {
	event.Log(context.Background(), d.log, event.SpanExportFailed, slog.String("error", err.Error()))
}

// traceFlushTimeout limits the export of the remaining spans at shutdown.
const traceFlushTimeout = 3 * time.Second

// startTracing sets up the export of spans. The returned function exports the
// remaining spans and stops the exporter.
func (d *Daemon) startTracing(ctx context.Context) (func(), error) {
	t := d.settings.Traces
	provider, closeTraces, err := telemetry.NewTracerProvider(ctx, telemetry.TraceConfig{
		Host:          d.settings.Host,
		File:          t.File,
		Endpoint:      t.OTLPEndpoint,
		SampleRate:    t.SampleRate,
		OnExportError: d.logSpanExportError,
	})
	if err != nil {
		return nil, err
	}
	spans := telemetry.NewSpans(provider)
	d.api.Spans = spans
	d.sender.spans = spans
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer cancel()
		if err := closeTraces(ctx); err != nil {
			event.Log(ctx, d.log, event.SpanExportFailed, slog.String("error", err.Error()))
		}
	}, nil
}
