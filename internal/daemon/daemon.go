package daemon

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/google/uuid"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/backend"
	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/link"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/laburnumwalk/laburnumwalk/internal/store"
	"github.com/laburnumwalk/laburnumwalk/internal/telemetry"
	"github.com/laburnumwalk/laburnumwalk/internal/verdict"
	"github.com/pkg/errors"
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
	control   *controller
	servers   []*server.Hertz
	listeners listeners
	wg        sync.WaitGroup
}

// listeners are the open sockets of a daemon.
type listeners struct {
	callers, minions, operators, peers net.Listener
}

func listen(l settings.Listen) (listeners, error) {
	var out listeners
	for _, x := range []struct {
		address string
		into    *net.Listener
	}{{l.Callers, &out.callers}, {l.Minions, &out.minions}, {l.Operators, &out.operators}, {l.Peers, &out.peers}} {
		ln, err := net.Listen("tcp", x.address)
		if err != nil {
			out.close()
			return listeners{}, errors.Wrap(err, "listen")
		}
		*x.into = ln
	}
	return out, nil
}

func (l listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.minions, l.operators, l.peers} {
		if ln != nil {
			ln.Close()
		}
	}
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
		proposer:  noControl{},
		operators: newOperators(),
	}
	d.metrics.Answered.Init()
	if err := d.wire(); err != nil {
		ln.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) wire() error {
	inc := membership.Incarnation(uuid.NewString())
	outcomes := ring.New[input](d.settings.Limits.MaxInFlight)
	client, err := backend.NewClient(inc, d.settings.Limits.MaxResultBytes)
	if err != nil {
		return err
	}
	d.sender, err = newSender(client, d.settings.Limits.MaxInFlight, outcomes)
	if err != nil {
		return err
	}
	cfg := d.engineConfig(inc)
	cfg.Judge = func(a *job.Answer) { d.core.model.Answer(a) }
	recorder, err := newRecorder(d.settings.Traces.RecordFile, &cfg)
	if err != nil {
		return err
	}
	d.core = &core{
		engine:   engine.New(cfg),
		recorder: recorder,
		requests: ring.New[input](d.settings.Limits.RingSize),
		outcomes: outcomes,
		messages: newInbox(d.settings.Limits.RingSize, d.settings.Limits.MaxActiveBytes),
		waiters:  make(map[job.ID][]waiter),
		writes:   newWrites(),
		sender:   d.sender,
		model:    verdict.NewModel(cfg.Host.Name),
		metrics:  d.metrics,
		log:      d.log,
		tick:     settings.Millis(d.settings.Timing.TickMS),
		done:     make(chan struct{}),
		inForce:  newInForce(),
	}
	hello := peer.Hello{Version: peer.Version, Host: cfg.Host.Name, FailureDomain: cfg.Host.FailureDomain, Incarnation: inc}
	d.mesh = link.New(d.listeners.peers, hello, cfg.Peers, d.receive, d.rejectPeer)
	d.core.mesh = d.mesh
	if err := d.wireControl(cfg); err != nil {
		return err
	}
	d.api = api.New(d, &d.settings, d.log)
	a := d.api
	d.servers = []*server.Hertz{a.Callers(d.listeners.callers), a.Minions(d.listeners.minions), a.Operators(d.listeners.operators)}
	return nil
}

// wireControl opens the data folder, puts the version that it holds in force
// and prepares the controller.
func (d *Daemon) wireControl(cfg engine.Config) error {
	s, state, err := openStore(store.OS{}, d.settings.DataFolder, d.log)
	if err != nil {
		return err
	}
	timing := control.DefaultTiming()
	timing.Propose = settings.Millis(d.settings.Timing.ProposeMS)
	c := &controller{
		machine: control.New(control.Config{
			Self:        cfg.Host,
			Incarnation: cfg.Incarnation,
			Peers:       cfg.Peers,
			Bootstrap:   d.settings.Control.Members,
			State:       state,
			Relays:      controlRelays,
			Seed:        rand.Uint64(),
			Timing:      timing,
		}),
		store:   s,
		inputs:  ring.New[controlInput](controlRing),
		mesh:    d.mesh,
		apply:   d.applyConfig,
		waiters: make(map[uint64]chan control.Outcome),
		self:    cfg.Host.Name,
		log:     d.log,
		done:    make(chan struct{}),
		timeout: timing.Propose,
		members: len(d.settings.Control.Members),
	}
	c.publish()
	d.control = c
	d.core.hostsChanged = c.setPeers
	d.proposer = c
	if s != nil {
		event.Log(context.Background(), d.log, event.DiskOpened, slog.String("disk", state.Disk),
			slog.Uint64("version", state.Version()), slog.Bool("voting", c.machine.Voting()))
	}
	if state.Chosen != nil {
		d.applyFirst(state.Chosen)
	}
	return nil
}

// applyFirst puts the version of the disk in force before any duty runs.
func (d *Daemon) applyFirst(r *peer.ConfigRecord) {
	doc, err := decodeRecord(r)
	if err != nil {
		event.Log(context.Background(), d.log, event.ConfigUnreadable, slog.Uint64("version", r.Version), slog.String("error", err.Error()))
		return
	}
	d.core.engine.Apply(d.startedAt, r.Version, doc)
}

// applyConfig hands a version to the decision duty.
func (d *Daemon) applyConfig(version uint64, doc *config.Document) {
	k := &call{f: func(e *engine.Engine, now time.Time) { e.Apply(now, version, doc) }, out: make(chan struct{})}
	d.core.requests.Push(k, d.core.done)
}

// controlRelays is the number of hosts per failure domain that a chosen
// version is pushed to.
const controlRelays = 1

func (d *Daemon) engineConfig(inc membership.Incarnation) engine.Config {
	s := &d.settings
	cfg := engine.Config{
		Host:        membership.Host{Name: s.Host, FailureDomain: s.FailureDomain, Region: s.Region, Address: s.Listen.Peers},
		Incarnation: inc,
		StartedAt:   d.startedAt,
		Joining:     s.Joining,
		Jobs: job.Limits{
			MaxActive:      s.Limits.MaxActiveJobs,
			MaxRecords:     s.Limits.MaxRecords,
			MaxAnswerBytes: s.Limits.MaxAnswerBytes,
			MaxJobBytes:    s.Limits.MaxJobBytes,
			MaxActiveBytes: s.Limits.MaxActiveBytes,
			KeyLifetime:    settings.Millis(s.Timing.KeyLifetimeMS),
			ClockError:     settings.Millis(s.Timing.ClockErrorMS),
		},
		MinionLease:    d.lease,
		HeartbeatEvery: settings.Millis(s.Timing.HeartbeatMS),
		PeerTimeout:    settings.Millis(s.Timing.PeerTimeoutMS),
		RetryBudget:    s.Dispatch.RetryBudget,
		BusyPause:      settings.Millis(s.Timing.BusyPauseMS),
		LocateTimeout:  settings.Millis(s.Timing.LocateTimeoutMS),
		LocateResend:   settings.Millis(s.Timing.LocateTimeoutMS) / locateTries,
		FollowTimeout:  settings.Millis(s.Timing.MaxDeadlineMS),
		MaxSearches:    s.Limits.MaxSearches,
	}
	for _, p := range s.Peers {
		cfg.Peers = append(cfg.Peers, membership.Host(p))
	}
	return cfg
}

// locateTries is how often a host is asked about a key before it counts as
// unreachable.
const locateTries = 5

func (d *Daemon) receive(from string, inc membership.Incarnation, b peer.Body) {
	if peer.IsControl(b.Kind()) {
		d.control.receive(from, b)
		return
	}
	if h, ok := b.(*peer.Heartbeat); ok {
		d.control.hint(from, h.Config)
	}
	d.core.messages.push(&message{from: from, inc: inc, body: b})
}

func (d *Daemon) rejectPeer(remote string, err error) {
	event.Log(context.Background(), d.log, event.PeerRejected, slog.String("remote", remote), slog.String("error", err.Error()))
}

func (d *Daemon) reportInvariant(description string) {
	d.metrics.InvariantBroken.Add(1)
	event.Log(context.Background(), d.log, event.InvariantBroken, slog.String("invariant", description))
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
	d.wg.Go(func() { d.control.run(duties) })
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

// startServers returns when every server answers: the HTTP library forgets a
// shutdown that comes before its loop runs.
func (d *Daemon) startServers(duties context.Context) error {
	for _, s := range d.servers {
		d.wg.Go(func() { d.serve(duties, s) })
	}
	for _, l := range []net.Listener{d.listeners.callers, d.listeners.minions, d.listeners.operators} {
		if err := awaitAnswer(l.Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

const (
	answerTimeout = 10 * time.Second
	answerPoll    = time.Millisecond
)

// awaitAnswer waits until the server at the address answers its health check.
func awaitAnswer(address string) error {
	c, err := client.NewClient(client.WithDialTimeout(answerTimeout), client.WithKeepAlive(false))
	if err != nil {
		return errors.Wrap(err, "health check")
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	for {
		_, _, err = c.Get(ctx, nil, "http://"+address+api.PathHealth)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(err, "no answer at %s", address)
		}
		time.Sleep(answerPoll)
	}
}

func (d *Daemon) serve(duties context.Context, s *server.Hertz) {
	if err := s.Run(); err != nil && duties.Err() == nil {
		event.Log(duties, d.log, event.ServerFailed, slog.String("error", err.Error()))
	}
}

// shutdown stops the duties in the order of the path of a request.
func (d *Daemon) shutdown(stopDuties context.CancelFunc) {
	log := context.Background()
	event.Log(log, d.log, event.StopRequested, slog.String("host", d.settings.Host))
	d.ready.Store(false)
	deadline := time.Now().Add(settings.Millis(d.settings.Timing.StopTimeoutMS))
	_ = d.query(func(e *engine.Engine, _ time.Time) { e.Stop() })
	time.Sleep(settings.Millis(d.settings.Timing.StopLingerMS)) // the balancer notices
	if !d.waitIdle(deadline) {
		event.Log(log, d.log, event.StopTimedOut, slog.String("host", d.settings.Host))
	}
	ctx, cancel := context.WithTimeout(log, max(time.Until(deadline), time.Second))
	defer cancel()
	d.closeServers(ctx)
	stopDuties()
	d.wg.Wait()
	d.sender.close()
}

// closeServers closes all listeners at once: each waits for its idle
// connections for up to the HTTP library's exit wait.
func (d *Daemon) closeServers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range d.servers {
		wg.Go(func() { _ = s.Shutdown(ctx) }) // ctx bounds it; the process ends anyway
	}
	wg.Wait()
}

const idlePoll = 10 * time.Millisecond

func (d *Daemon) waitIdle(deadline time.Time) bool {
	for {
		idle := false
		if err := d.query(func(e *engine.Engine, _ time.Time) { idle = e.Idle() }); err == nil && idle {
			return true
		}
		if !time.Now().Before(deadline) {
			return false
		}
		time.Sleep(idlePoll)
	}
}
