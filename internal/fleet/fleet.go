// Package fleet runs a host whose minions execute tasks under leases. An entry
// host accepts callers' jobs and dispatches their tasks to the minions that it has
// claimed; a control host receives minions' announcements and operators'
// documents. The packages entry, pool, claim, roster and control decide without
// doing I/O; this package combines them and delivers their messages and orders.
//
// The type core combines the decision packages. Its methods are grouped by file:
//
//	core.go                     state, ticks, received messages, pending output
//	inputs.go                   requests from callers and minions
//	claims.go                   which shards this host dispatches on
//	offers.go, offer_age.go,
//	offer_memory.go             job offers and results between hosts
//	heartbeats.go, relays.go,
//	hostgroups.go               which hosts get heartbeats
//	subscribers.go              which hosts get roster changes
//	incarnations.go             messages of restarted hosts
//	evacuated.go                evacuated failure domains
//
// Host (fleet.go, serve.go, evacuation.go) is the API; loop.go runs its core, orders.go sends
// orders to minions, and snapshots.go keeps a control host's roster on its disk. The files sim_*_test.go simulate whole failure domains in
// virtual time.
package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/link"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/laburnumwalk/laburnumwalk/internal/queue"
	"github.com/laburnumwalk/laburnumwalk/internal/register"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/laburnumwalk/laburnumwalk/internal/store"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
)

// Minions sends orders to minions. Each call returns in bounded time.
type Minions interface {
	// Start sends the order to the incarnation of the minion that it names and to no
	// other: its capacity counted. It returns the minion's answer, pool.AnswerOtherProcess
	// if a later incarnation is there, and the minion's clock in milliseconds, 0 if the
	// answer has none.
	Start(ctx context.Context, s *pool.Start) (pool.Answer, int64)
	// Stop returns the minion's answer.
	Stop(ctx context.Context, s *pool.Stop) pool.Answer
	// Poll lists the minion's runs and may extend its lease. The listing is nil
	// unless the answer is pool.AnswerOK.
	Poll(ctx context.Context, poll *pool.Poll) (pool.Answer, *pool.Listing)
}

const (
	tickInterval    = 20 * time.Millisecond
	inputRingSize   = 8192                   // inputs waiting for the core; when it is full, jobs are refused and messages dropped
	connectTimeout  = 200 * time.Millisecond // a machine without power does not answer at all
	linkAckTimeout  = time.Second            // a connection on which a heartbeat stays unacknowledged for longer is replaced
	linkIdleTimeout = 10 * time.Second       // a connection without messages for longer is closed
	redialDelay     = 100 * time.Millisecond
	// refusedLogInterval is the least time between two log lines about refused messages.
	refusedLogInterval = time.Second
	relaysPerDomain    = 2 // hosts of each other failure domain that a newly chosen document is pushed to; they relay it within their domain
)

// isBulk reports whether messages of a kind yield to others on a link: those that may be
// large and that nobody waits for.
func isBulk(k peer.Kind) bool { return k == peer.KindRosterUpdate || k == peer.KindControlChosen }

// messageLifetime returns how long messages of a kind may wait for a slow link; 0: without
// limit. The receiver ignores older offers, and older heartbeats say too little.
func messageLifetime(k peer.Kind) time.Duration {
	if k == peer.KindJobOffer || k == peer.KindFleetHeartbeat {
		return maxOfferAge
	}
	return 0
}

// Host is one running entry host, control host, or both.
type Host struct {
	settings  settings.Fleet
	self      peer.HostRecord
	startedAt time.Time
	log       *slog.Logger
	metrics   *metrics

	inputs            *ring.Ring[func(now time.Time)]
	mesh              *link.Mesh
	control           *register.Controller
	core              *core
	rosterStore       *store.Store // for the snapshot of the roster; nil: no disk
	orders            *orders
	document          atomic.Pointer[queue.Document]
	evacuated         atomic.Pointer[[]string] // failure domains that the applied version evacuates; nil: no version is applied
	documentKnown     chan struct{}            // closed when the first document is applied
	documentKnownOnce sync.Once                // closes documentKnown
	seeds             atomic.Pointer[[]string]
	ready             atomic.Bool
	shuttingDown      atomic.Bool
	shutdownDeadline  atomic.Pointer[time.Time]      // nil: no shutdown has begun
	refusedMessages   rate.Sometimes                 // limits the log lines about them
	unstartedJobs     atomic.Pointer[map[string]int] // by queue: jobs dispatched by this host without a started task
	gaugesAt          time.Time                      // when the gauges were last updated; of runCore
	bootTimeReadAt    time.Time                      // when bootTime was last read; of runCore
	wallOffset        time.Duration                  // at that time; of runCore
	done              chan struct{}
	wg                sync.WaitGroup
}

// New opens the listener for other hosts and the data folder. Run starts the
// host's goroutines.
func New(s settings.Fleet, minions Minions, log *slog.Logger) (*Host, error) {
	l, err := net.Listen("tcp", s.PeerListenAddress())
	if err != nil {
		return nil, errors.Wrap(err, "listen for other hosts")
	}
	h := &Host{
		settings: s, startedAt: time.Now(), log: log, metrics: newMetrics(), done: make(chan struct{}), documentKnown: make(chan struct{}),
		inputs: ring.New[func(time.Time)](inputRingSize), refusedMessages: rate.Sometimes{Interval: refusedLogInterval},
		self: peer.HostRecord{
			Name: s.IP, FailureDomain: s.FailureDomain, Region: s.Region, Incarnation: membership.Incarnation(uuid.NewString()),
			Entry: s.Entry, Control: s.Control,
		},
	}
	invariant.SetHandler(func(d string) { h.logEvent(event.InvariantBroken, slog.String("invariant", d)) })
	h.SetSeeds(s.Seeds)
	hello := peer.Hello{Version: peer.Version, Host: s.IP, FailureDomain: s.FailureDomain, Incarnation: h.self.Incarnation}
	h.mesh = link.NewDynamic(l, hello, link.DynamicOptions{
		Port: s.PeerPort, OnClosed: h.connectionClosed, OnRefused: h.messageRefused,
		DialTimeout: connectTimeout, AckTimeout: linkAckTimeout, IdleTimeout: linkIdleTimeout, RedialDelay: redialDelay,
		Bulk: isBulk, Lifetime: messageLifetime,
	}, h.receive, h.peerRejected)
	if err := h.openControl(); err != nil {
		l.Close()
		return nil, err
	}
	if h.orders, err = newOrders(h, minions); err != nil {
		l.Close()
		return nil, err
	}
	// Offer numbers begin at a random value, so that messages about offers of an
	// earlier process on this host match none of this one's.
	h.core = newCore(time.Now(), h.self, h.tokenID(), rand.Uint64()>>8, h)
	h.core.separateInterfering = s.SeparateInterfering
	h.core.minionsPerShard = claim.MinionsPerShard(s.LinkBytesPerSecond())
	if s.Entry {
		h.core.carries = claim.HostSize{Processors: s.Processors(), LinkBytesPerSecond: s.LinkBytesPerSecond(), MemoryMB: int64(s.MemoryMB)}.Carries()
	}
	if h.rosterStore != nil {
		h.restoreRoster(h.rosterStore)
	}
	return h, nil
}

// tokenID returns the number whose low bits claim.Token puts into this process's
// fencing tokens, to keep them apart from those of other processes.
func (h *Host) tokenID() uint64 { return xxhash.Sum64String(string(h.self.Incarnation)) }

// bootstrapFile holds the names of the hosts that choose the first document, in
// msgpack.
const bootstrapFile = "bootstrap"

// openControl opens the data folder and creates the controller. A host without a
// data folder learns documents but doesn't vote on them.
func (h *Host) openControl() error {
	disk, err := register.OpenDisk(store.OS{}, h.settings.DataFolder, h.log)
	if err != nil {
		return err
	}
	first, unsaved, err := h.bootstrapMembers(disk.Store)
	if err != nil {
		return err
	}
	h.control = register.New(register.Options{
		Machine: control.Config{
			Self:            membership.Host{Name: h.self.Name, FailureDomain: h.self.FailureDomain, Region: h.self.Region},
			Incarnation:     h.self.Incarnation,
			Bootstrap:       first,
			Contacts:        *h.seeds.Load(),
			State:           disk.State,
			Unsaved:         disk.Unsaved || len(unsaved) > 0,
			RelaysPerDomain: relaysPerDomain,
			Seed:            rand.Uint64(),
			Timing:          control.DefaultTiming(),
			GroupSize:       h.settings.ControlGroupSize(),
		},
		Store: disk.Store, Unsaved: unsaved, Messenger: h.mesh, Apply: h.apply, OnSaved: h.metrics.stateSaved, Log: h.log,
	})
	if disk.Store != nil {
		h.rosterStore = disk.Store
		h.logEvent(event.DiskOpened, slog.String("disk", disk.State.Disk), slog.Uint64("version", disk.State.Version()), slog.Bool("voting", h.control.View().Voting))
	}
	if disk.State.Chosen != nil {
		h.apply(disk.State.Chosen)
	}
	return nil
}

// bootstrapMembers returns the hosts that choose the first document: the seeds in
// the settings of the system's first start. A control host saves them then and
// reads them back after a restart. The result is nil on a host without a data
// folder, and on one that joins a running system. unsaved holds the file if it can't
// be written yet.
func (h *Host) bootstrapMembers(s *store.Store) (first []string, unsaved map[string][]byte, err error) {
	if s == nil {
		return nil, nil, nil
	}
	payload, err := s.Load(bootstrapFile)
	switch {
	case err == nil:
		return first, nil, errors.Wrap(msgpack.Unmarshal(payload, &first), bootstrapFile)
	case !errors.Is(err, os.ErrNotExist):
		return nil, nil, err
	case !h.settings.FirstStart:
		return nil, nil, nil
	}
	for _, seed := range h.settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "parse seed address %q", seed)
		}
		first = append(first, host)
	}
	payload, err = msgpack.Marshal(first)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	if err := s.Save(bootstrapFile, payload); err != nil {
		h.logEvent(event.StoreWriteError, slog.String("file", bootstrapFile), slog.String("error", err.Error()))
		return first, map[string][]byte{bootstrapFile: payload}, nil
	}
	return first, nil, nil
}

// Run serves until ctx ends. Call BeginShutdown some time before that, so that other
// hosts can take over and open jobs can end.
func (h *Host) Run(ctx context.Context) {
	h.wg.Go(func() { h.mesh.Run(ctx) })
	h.wg.Go(func() { h.control.Run(ctx) })
	if h.rosterStore != nil && h.self.Control {
		h.wg.Go(func() { h.saveRoster(ctx, h.rosterStore) })
	}
	h.logEvent(event.Started, slog.String("host", h.self.Name), slog.String("failure_domain", h.self.FailureDomain),
		slog.Bool("entry", h.self.Entry), slog.Bool("control", h.self.Control), slog.String("incarnation", string(h.self.Incarnation)))
	h.runCore(ctx)
	close(h.done)
	h.wg.Wait()
	h.orders.close()
	h.logEvent(event.Stopped, slog.String("host", h.self.Name))
}

// SetSeeds replaces the addresses at which this host looks for other hosts. It
// logs and skips those that can't be parsed.
func (h *Host) SetSeeds(addresses []string) {
	var hosts []string
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			h.logEvent(event.SettingsRefused, slog.String("seed", a), slog.String("error", err.Error()))
			continue
		}
		hosts = append(hosts, host)
	}
	h.seeds.Store(&hosts)
}

// apply applies the document of a chosen version. It logs a document that can't be
// decoded, and keeps the earlier one.
func (h *Host) apply(r *peer.ConfigRecord) {
	d, err := queue.Decode(r)
	if err != nil {
		h.logEvent(event.ConfigUnreadable, slog.Uint64("version", r.Version), slog.String("error", err.Error()))
		return
	}
	h.evacuated.Store(&d.Evacuations) // the core adopts it with its next tick
	if d.Declared() {
		h.document.Store(d)
		h.documentKnownOnce.Do(func() { close(h.documentKnown) })
	}
	h.logEvent(event.ConfigApplied, slog.Uint64("version", r.Version), slog.Uint64("document", d.Version), slog.Int("queues", len(d.Queues)),
		slog.Any("evacuations", d.Evacuations))
}

func (h *Host) logEvent(id event.ID, attrs ...slog.Attr) {
	event.Log(context.Background(), h.log, id, attrs...)
}

func (h *Host) peerRejected(remote string, err error) {
	h.logEvent(event.PeerRejected, slog.String("remote", remote), slog.String("error", err.Error()))
}

// messageRefused logs that a message of another host was dropped. The sender may repeat it
// many times a second.
func (h *Host) messageRefused(from string, err error) {
	h.refusedMessages.Do(func() {
		h.logEvent(event.MessageRefused, slog.String("host", from), slog.String("error", err.Error()))
	})
}

// enqueue queues f for the core's goroutine. It returns false if the input ring is
// full.
func (h *Host) enqueue(f func(now time.Time)) bool { return h.inputs.TryPush(h.timed(f)) }

// enqueueWaiting queues f for the core's goroutine, for inputs that nobody repeats. While
// the input ring is full, it waits, unless the host has stopped.
func (h *Host) enqueueWaiting(f func(now time.Time)) { h.inputs.Push(h.timed(f), h.done) }

// receive passes a message from another host to the controller or the core.
func (h *Host) receive(from string, inc membership.Incarnation, b peer.Body) {
	if peer.IsControl(b.Kind()) {
		h.control.Receive(from, b)
		return
	}
	if heartbeat, ok := b.(*peer.FleetHeartbeat); ok {
		h.control.ObserveVersion(from, heartbeat.ConfigVersion)
	}
	h.enqueue(func(now time.Time) { h.core.receive(now, from, inc, b) })
}

func (h *Host) connectionClosed(from string, inc membership.Incarnation) {
	h.enqueue(func(now time.Time) { h.core.connectionClosed(now, from, inc) })
}
