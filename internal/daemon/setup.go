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

// setup creates the components of the daemon and connects them.
func (d *Daemon) setup() error {
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
		engine:        engine.New(cfg),
		recorder:      recorder,
		requests:      ring.New[input](d.settings.Limits.RingSize),
		outcomes:      outcomes,
		messages:      newInbox(d.settings.Limits.RingSize, d.settings.Limits.MaxActiveBytes),
		waiters:       make(map[job.ID][]waiter),
		slowWrites:    newSlowWrites(),
		sender:        d.sender,
		model:         verdict.NewModel(cfg.Host.Name),
		metrics:       d.metrics,
		log:           d.log,
		tick:          settings.Millis(d.settings.Timing.TickMS),
		done:          make(chan struct{}),
		appliedConfig: newAppliedConfig(),
	}
	hello := peer.Hello{Version: peer.Version, Host: cfg.Host.Name, FailureDomain: cfg.Host.FailureDomain, Incarnation: inc}
	d.mesh = link.New(d.listeners.peers, hello, cfg.Peers, d.receiveMessage, d.logRejectedPeer)
	d.core.messenger = d.mesh
	if err := d.setupControl(cfg); err != nil {
		return err
	}
	d.api = api.New(d, &d.settings, d.log)
	a := d.api
	d.servers = []*server.Hertz{a.CallerServer(d.listeners.callers), a.MinionServer(d.listeners.minions), a.OperatorServer(d.listeners.operators)}
	return nil
}

// setupControl opens the data folder, creates the controller and applies the
// configuration version that is stored in the data folder.
func (d *Daemon) setupControl(cfg engine.Config) error {
	disk, err := register.OpenDisk(store.OS{}, d.settings.DataFolder, d.log)
	if err != nil {
		return err
	}
	timing := control.DefaultTiming()
	timing.ProposeTimeout = settings.Millis(d.settings.Timing.ProposeTimeoutMS)
	c := register.New(register.Options{
		Machine: control.Config{
			Self:            cfg.Host,
			Incarnation:     cfg.Incarnation,
			Peers:           cfg.Peers,
			Bootstrap:       d.settings.Control.Members,
			State:           disk.State,
			Unsaved:         disk.Unsaved,
			RelaysPerDomain: controlRelays,
			Seed:            rand.Uint64(),
			Timing:          timing,
		},
		Store:     disk.Store,
		Messenger: d.mesh,
		Apply:     d.applyRecord,
		GroupOf:   controlGroup,
		Log:       d.log,
	})
	d.control = c
	d.core.onHostsChanged = c.SetPeers
	d.proposer = c
	if disk.Store != nil {
		event.Log(context.Background(), d.log, event.DiskOpened, slog.String("disk", disk.State.Disk),
			slog.Uint64("version", disk.State.Version()), slog.Bool("voting", c.View().Voting))
	}
	if disk.State.Chosen != nil {
		d.applyStored(disk.State.Chosen)
	}
	return nil
}

// applyStored applies the configuration version that was read from the disk. It
// uses the engine directly, as the core goroutine is not running yet.
func (d *Daemon) applyStored(r *peer.ConfigRecord) {
	doc, err := decodeRecord(r)
	if err != nil {
		event.Log(context.Background(), d.log, event.ConfigUnreadable, slog.Uint64("version", r.Version), slog.String("error", err.Error()))
		return
	}
	d.core.engine.ApplyConfig(d.startedAt, r.Version, doc)
}

// applyRecord queues a configuration version for the core goroutine to apply. It
// blocks while the request ring is full, unless the core goroutine has ended.
func (d *Daemon) applyRecord(r *peer.ConfigRecord) {
	version := r.Version
	doc, err := decodeRecord(r)
	if err != nil {
		event.Log(context.Background(), d.log, event.ConfigUnreadable, slog.Uint64("version", version), slog.String("error", err.Error()))
		return
	}
	k := &coreCall{f: func(e *engine.Engine, now time.Time) { e.ApplyConfig(now, version, doc) }, done: make(chan struct{})}
	d.core.requests.Push(k, d.core.done)
}

// controlRelays is the number of hosts of each other failure domain to which a
// chosen configuration version is pushed. They relay it within their domain.
const controlRelays = 1

// engineConfig returns the configuration of the engine, from the settings.
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
		MinionLease:    d.minionLease,
		HeartbeatEvery: settings.Millis(s.Timing.HeartbeatMS),
		PeerTimeout:    settings.Millis(s.Timing.PeerTimeoutMS),
		RetryBudget:    s.Dispatch.RetryBudget,
		BusyPause:      settings.Millis(s.Timing.BusyPauseMS),
		LocateTimeout:  settings.Millis(s.Timing.LocateTimeoutMS),
		LocateResend:   settings.Millis(s.Timing.LocateTimeoutMS) / locateAttempts,
		FollowTimeout:  settings.Millis(s.Timing.MaxDeadlineMS),
		MaxSearches:    s.Limits.MaxSearches,
	}
	for _, p := range s.Peers {
		cfg.Peers = append(cfg.Peers, membership.Host(p))
	}
	return cfg
}

// locateAttempts is the number of times that a host is asked about a key, within
// the locate timeout, before it counts as unreachable.
const locateAttempts = 5

// receiveMessage passes a peer's message to the controller or to the inbox of the
// core goroutine. A heartbeat goes to both, because it also reports the
// peer's configuration version to the controller. The mesh calls receiveMessage.
func (d *Daemon) receiveMessage(from string, inc membership.Incarnation, b peer.Body) {
	if peer.IsControl(b.Kind()) {
		d.control.Receive(from, b)
		return
	}
	if h, ok := b.(*peer.Heartbeat); ok {
		d.control.ObserveVersion(from, h.ConfigVersion)
	}
	d.core.messages.push(&peerMessage{from: from, incarnation: inc, body: b})
}

func (d *Daemon) logRejectedPeer(remote string, err error) {
	event.Log(context.Background(), d.log, event.PeerRejected, slog.String("remote", remote), slog.String("error", err.Error()))
}

func (d *Daemon) reportInvariant(description string) {
	d.metrics.InvariantsBroken.Add(1)
	event.Log(context.Background(), d.log, event.InvariantBroken, slog.String("invariant", description))
}
