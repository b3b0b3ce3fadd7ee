// Package fleet runs a host whose minions execute tasks under leases. An entry
// host takes callers' jobs and dispatches on the minions that it has claimed; a
// control host takes minions' announcements and operators' documents. Decisions
// are in pure packages (entry, pool, claim, roster, control); this one composes
// them and carries their messages and orders.
//
// decisions.go composes them, without I/O, clocks or goroutines; inputs.go is what
// callers and minions bring, beats.go, hubs.go and subscribers.go who is told
// what, claims.go which minions this host dispatches on, offers.go and fresh.go
// jobs on their way between hosts, lives.go processes that were replaced. duty.go
// feeds them and carries out what they ask for; the files named sim_*_test.go play
// whole failure domains of them in virtual time.
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
)

// Minions carries orders to minions. Each call returns in bounded time.
type Minions interface {
	// Start returns the answer, and the minion's clock in milliseconds or 0.
	Start(ctx context.Context, s *pool.Start) (pool.Answer, int64)
	Stop(ctx context.Context, s *pool.Stop) pool.Answer
	// Hold returns a listing with AnswerOK only.
	Hold(ctx context.Context, h *pool.Hold) (pool.Answer, *pool.Listing)
}

const (
	tick           = 20 * time.Millisecond
	inputRing      = 8192 // inputs that wait for the decisions; a full ring refuses jobs and drops messages
	connectTimeout = 400 * time.Millisecond
	silentLink     = time.Second      // without an answer to a beat, after which a connection is replaced
	idleLink       = 10 * time.Second // without a message, after which a connection is closed
	redialPause    = 200 * time.Millisecond
	relays         = 2 // hosts per failure domain that a chosen document is pushed to
)

// Host is one running entry or control host.
type Host struct {
	settings settings.Fleet
	self     peer.HostRecord
	log      *slog.Logger
	metrics  *metrics

	inputs    *ring.Ring[func(now time.Time)]
	mesh      *link.Mesh
	control   *register.Controller
	decisions *decisions
	orders    *orders
	document  atomic.Pointer[queue.Document]
	known     chan struct{} // closed when there is a document
	learned   sync.Once     // closes known
	seeds     atomic.Pointer[[]string]
	ready     atomic.Bool
	leaving   atomic.Bool
	closesAt  atomic.Pointer[time.Time]      // end of a shutdown; nil: none has begun
	waiting   atomic.Pointer[map[string]int] // jobs dispatched here without a start, by queue
	done      chan struct{}
	wg        sync.WaitGroup
}

// New opens the listener for other hosts and the data folder; Run starts the
// duties.
func New(s settings.Fleet, minions Minions, log *slog.Logger) (*Host, error) {
	l, err := net.Listen("tcp", s.PeerAddress())
	if err != nil {
		return nil, errors.Wrap(err, "listen for hosts")
	}
	h := &Host{
		settings: s, log: log, metrics: newMetrics(), done: make(chan struct{}), known: make(chan struct{}),
		inputs: ring.New[func(time.Time)](inputRing),
		self: peer.HostRecord{
			Name: s.IP, FailureDomain: s.FailureDomain, Region: s.Region, Incarnation: membership.Incarnation(uuid.NewString()),
			Entry: s.Entry, Control: s.Control,
		},
	}
	invariant.SetHandler(func(d string) { h.note(event.InvariantBroken, slog.String("invariant", d)) })
	h.SetSeeds(s.Seeds)
	hello := peer.Hello{Version: peer.Version, Host: s.IP, FailureDomain: s.FailureDomain, Incarnation: h.self.Incarnation}
	h.mesh = link.NewOpen(l, hello, link.OpenOptions{
		Port: s.PeerPort, Closed: h.connectionClosed,
		DialTimeout: connectTimeout, AnswerTimeout: silentLink, Idle: idleLink, Pause: redialPause,
	}, h.receive, h.rejected)
	if err := h.openControl(); err != nil {
		l.Close()
		return nil, err
	}
	if h.orders, err = newOrders(h, minions); err != nil {
		l.Close()
		return nil, err
	}
	// Offer numbers begin at random, so that those of an earlier process are
	// not taken for this one's.
	h.decisions = newDecisions(time.Now(), h.self, h.own(), rand.Uint64()>>8, h)
	return h, nil
}

// own returns the part of fencing tokens that is this process's.
func (h *Host) own() uint64 { return xxhash.Sum64String(string(h.self.Incarnation)) }

// bootstrapFile holds the hosts that choose the first document.
const bootstrapFile = "bootstrap"

// openControl opens the data folder and prepares the controller. Hosts without
// one only learn.
func (h *Host) openControl() error {
	s, state, err := register.OpenStore(store.OS{}, h.settings.DataFolder, h.log)
	if err != nil {
		return err
	}
	first, err := h.firstMembers(s)
	if err != nil {
		return err
	}
	h.control = register.New(register.Options{
		Machine: control.Config{
			Self:        membership.Host{Name: h.self.Name, FailureDomain: h.self.FailureDomain, Region: h.self.Region},
			Incarnation: h.self.Incarnation,
			Bootstrap:   first,
			State:       state,
			Relays:      relays,
			Seed:        rand.Uint64(),
			Timing:      control.DefaultTiming(),
			GroupSize:   h.settings.ControlGroup(),
		},
		Store: s, Mesh: h.mesh, Apply: h.apply, Saved: h.metrics.saved, Log: h.log,
	})
	if s != nil {
		h.note(event.DiskOpened, slog.String("disk", state.Disk), slog.Uint64("version", state.Version()), slog.Bool("voting", h.control.View().Voting))
	}
	if state.Chosen != nil {
		h.apply(state.Chosen)
	}
	return nil
}

// firstMembers returns the hosts that choose the first document: the seeds of
// the system's first start, which a restarted process reads from its disk.
func (h *Host) firstMembers(s *store.Store) ([]string, error) {
	if s == nil {
		return nil, nil
	}
	var first []string
	payload, err := s.Load(bootstrapFile)
	switch {
	case err == nil:
		return first, errors.Wrap(msgpack.Unmarshal(payload, &first), bootstrapFile)
	case !errors.Is(err, os.ErrNotExist):
		return nil, err
	case !h.settings.FirstStart:
		return nil, nil
	}
	for _, seed := range h.settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil, errors.Wrapf(err, "seed %q", seed)
		}
		first = append(first, host)
	}
	payload, err = msgpack.Marshal(first)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return first, s.Save(bootstrapFile, payload)
}

// Run serves until ctx ends; Leave should have been called before.
func (h *Host) Run(ctx context.Context) {
	h.wg.Go(func() { h.mesh.Run(ctx) })
	h.wg.Go(func() { h.control.Run(ctx) })
	h.note(event.Started, slog.String("host", h.self.Name), slog.String("failure_domain", h.self.FailureDomain),
		slog.Bool("entry", h.self.Entry), slog.Bool("control", h.self.Control), slog.String("incarnation", string(h.self.Incarnation)))
	h.decide(ctx)
	close(h.done)
	h.wg.Wait()
	h.orders.close()
	h.note(event.Stopped, slog.String("host", h.self.Name))
}

// SetSeeds replaces the addresses by which other hosts are found.
func (h *Host) SetSeeds(addresses []string) {
	var hosts []string
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			h.note(event.SettingsRefused, slog.String("seed", a), slog.String("error", err.Error()))
			continue
		}
		hosts = append(hosts, host)
	}
	h.seeds.Store(&hosts)
}

// apply puts a document in force.
func (h *Host) apply(r *peer.ConfigRecord) {
	d, err := queue.Decode(r)
	if err != nil {
		h.note(event.ConfigUnreadable, slog.Uint64("version", r.Version), slog.String("error", err.Error()))
		return
	}
	h.document.Store(d)
	h.learned.Do(func() { close(h.known) })
	h.note(event.ConfigApplied, slog.Uint64("version", r.Version), slog.Uint64("document", d.Version), slog.Int("queues", len(d.Queues)))
}

func (h *Host) note(id event.ID, attrs ...slog.Attr) {
	event.Log(context.Background(), h.log, id, attrs...)
}

func (h *Host) rejected(remote string, err error) {
	h.note(event.PeerRejected, slog.String("remote", remote), slog.String("error", err.Error()))
}

// push hands an input to the decisions and reports whether there was room.
func (h *Host) push(f func(now time.Time)) bool { return h.inputs.TryPush(f) }

// receive takes a message of another host.
func (h *Host) receive(from string, inc membership.Incarnation, b peer.Body) {
	if peer.IsControl(b.Kind()) {
		h.control.Receive(from, b)
		return
	}
	if beat, ok := b.(*peer.Beat); ok {
		h.control.Hint(from, beat.Config)
	}
	h.push(func(now time.Time) { h.decisions.receive(now, from, inc, b) })
}

func (h *Host) connectionClosed(from string, inc membership.Incarnation) {
	h.push(func(now time.Time) { h.decisions.roster.ConnectionClosed(now, from, inc) })
}
