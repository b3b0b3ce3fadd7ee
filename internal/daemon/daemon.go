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

// Daemon is one running entry host.
type Daemon struct {
	settings  settings.Settings
	log       *slog.Logger
	startedAt time.Time
	lease     time.Duration
	ready     atomic.Bool

	metrics   *telemetry.Metrics
	core      *core
	sender    *sender
	mesh      *link.Mesh
	proposer  proposer
	operators *operators
	api       *api.API
	control   *register.Controller
	servers   []*server.Hertz
	listeners listeners
	wg        sync.WaitGroup
}

// New opens the listeners and prepares every duty; Run starts them.
func New(s settings.Settings, log *slog.Logger) (*Daemon, error) {
	hlog.SetOutput(io.Discard) // its lines are neither numbered nor structured
	ln, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:  s,
		log:       log,
		startedAt: time.Now(),
		lease:     settings.Millis(s.Timing.MinionLeaseMS),
		metrics:   &telemetry.Metrics{},
		listeners: ln,
		operators: newOperators(),
	}
	d.metrics.Answered.Init()
	if err := d.wire(); err != nil {
		ln.close()
		return nil, err
	}
	return d, nil
}

// Run serves until ctx ends or the configuration stops the process, then shuts
// down: not ready, no new work, jobs in
// progress finish within the bound of the settings.
func (d *Daemon) Run(ctx context.Context) error {
	invariant.SetHandler(d.reportInvariant)
	d.publish()
	stopTraces, err := d.startTraces(ctx)
	if err != nil {
		d.listeners.close()
		return err
	}
	duties, stop := context.WithCancel(context.Background())
	defer stop()
	d.wg.Go(func() { d.core.run(duties) })
	d.wg.Go(func() { d.control.Run(duties) })
	d.wg.Go(func() { d.mesh.Run(duties) })
	if err := d.startServers(duties); err != nil {
		d.shutdown(stop)
		stopTraces()
		return err
	}
	d.ready.Store(true)
	event.Log(ctx, d.log, event.Started, slog.String("host", d.settings.Host), slog.String("failure_domain", d.settings.FailureDomain))
	select {
	case <-ctx.Done():
	case <-d.core.inForce.stop:
	}
	d.shutdown(stop)
	stopTraces()
	event.Log(context.Background(), d.log, event.Stopped, slog.String("host", d.settings.Host))
	return nil
}

func (d *Daemon) publish() {
	if expvar.Get("laburnum") == nil {
		expvar.Publish("laburnum", d.metrics.Map())
	}
}

func (d *Daemon) reportSpans(err error) {
	event.Log(context.Background(), d.log, event.SpanExportFailed, slog.String("error", err.Error()))
}

const traceFlushTimeout = 3 * time.Second

func (d *Daemon) startTraces(ctx context.Context) (func(), error) {
	t := d.settings.Traces
	provider, closeTraces, err := telemetry.NewTracerProvider(ctx, telemetry.TraceConfig{
		Host:       d.settings.Host,
		File:       t.File,
		Endpoint:   t.OTLP,
		SampleRate: t.SampleRate,
		Failed:     d.reportSpans,
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
