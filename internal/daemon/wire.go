package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/google/uuid"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/backend"
	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/link"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/register"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/laburnumwalk/laburnumwalk/internal/store"
	"github.com/laburnumwalk/laburnumwalk/internal/verdict"
)

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
	cfg.SetVerdict = func(a *job.Answer) { d.core.model.SetVerdict(a) }
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
	s, state, err := register.OpenStore(store.OS{}, d.settings.DataFolder, d.log)
	if err != nil {
		return err
	}
	timing := control.DefaultTiming()
	timing.ProposeTimeout = settings.Millis(d.settings.Timing.ProposeMS)
	c := register.New(register.Options{
		Machine: control.Config{
			Self:            cfg.Host,
			Incarnation:     cfg.Incarnation,
			Peers:           cfg.Peers,
			Bootstrap:       d.settings.Control.Members,
			State:           state,
			RelaysPerDomain: controlRelays,
			Seed:            rand.Uint64(),
			Timing:          timing,
		},
		Store:     s,
		Messenger: d.mesh,
		Apply:     d.applyRecord,
		GroupOf:   groupOf,
		Log:       d.log,
	})
	d.control = c
	d.core.hostsChanged = c.SetPeers
	d.proposer = c
	if s != nil {
		event.Log(context.Background(), d.log, event.DiskOpened, slog.String("disk", state.Disk),
			slog.Uint64("version", state.Version()), slog.Bool("voting", c.View().Voting))
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
	d.core.engine.ApplyConfig(d.startedAt, r.Version, doc)
}

// applyRecord hands a version to the decision duty.
func (d *Daemon) applyRecord(r *peer.ConfigRecord) {
	version := r.Version
	doc, err := decodeRecord(r)
	if err != nil {
		event.Log(context.Background(), d.log, event.ConfigUnreadable, slog.Uint64("version", version), slog.String("error", err.Error()))
		return
	}
	k := &call{f: func(e *engine.Engine, now time.Time) { e.ApplyConfig(now, version, doc) }, out: make(chan struct{})}
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
		d.control.Receive(from, b)
		return
	}
	if h, ok := b.(*peer.Heartbeat); ok {
		d.control.ObserveVersion(from, h.ConfigVersion)
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
