package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/laburnumwalk/laburnumwalk/internal/store"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// controlFile holds the control.State of the host.
	controlFile = "control"
	controlTick = 20 * time.Millisecond
	// controlRing bounds the inputs that wait for the controller. A message
	// that finds it full is dropped and repeated by its sender; a proposal is
	// refused as busy.
	controlRing = 1024
)

// controller is the duty that agrees on configuration versions, keeps them
// on the disk and spreads them. It is the only goroutine that touches the
// machine and the store.
type controller struct {
	machine *control.Machine
	store   *store.Store // nil: the host has no disk
	inputs  *ring.Ring[controlInput]
	mesh    messenger
	apply   func(version uint64, d *config.Document)
	waiters map[uint64]chan control.Outcome // by ticket
	self    string
	log     *slog.Logger
	view    atomic.Pointer[controlView]
	hosts   atomic.Pointer[[]membership.Host] // new list of peers, until it is taken over
	done    chan struct{}
	timeout time.Duration // bound on a proposal
	members int           // hosts that choose version 1
}

// controlView is what other duties may know of the controller.
type controlView struct {
	Version uint64
	Disk    string // identity of the host's disk, or empty
	Voting  bool
	Since   time.Time          // when Version became known here
	Record  *peer.ConfigRecord // of Version; nil at 0; never changed
}

// controlInput is one event for the controller.
type controlInput func(c *controller, now time.Time)

// openStore opens the data folder and returns the state that it holds. A host
// whose state cannot be trusted goes on without a disk: it serves and learns,
// and does not vote.
func openStore(fs store.FS, folder string, log *slog.Logger) (*store.Store, control.State, error) {
	if folder == "" {
		return nil, control.State{}, nil
	}
	s, err := store.Open(fs, folder)
	if err != nil {
		return nil, control.State{}, err
	}
	state, err := loadState(s)
	if err == nil {
		return s, state, nil
	}
	id := event.StoreWriteError
	if errors.Is(err, store.ErrCorrupt) {
		id = event.StoreCorrupt
	}
	attrs := []slog.Attr{slog.String("folder", folder), slog.String("error", err.Error())}
	event.Log(context.Background(), log, id, attrs...)
	event.Log(context.Background(), log, event.VotingStopped, attrs...)
	return nil, control.State{}, nil
}

// loadState reads the state, or makes that of a new disk. It is written again
// before it is used: after a failed sync the content of an earlier process may
// be readable and yet not durable.
func loadState(s *store.Store) (control.State, error) {
	var state control.State
	payload, err := s.Load(controlFile)
	switch {
	case errors.Is(err, os.ErrNotExist):
		state.Disk = uuid.NewString()
	case err != nil:
		return state, err
	default:
		if err := msgpack.Unmarshal(payload, &state); err != nil {
			return control.State{}, errors.Wrap(store.ErrCorrupt, err.Error())
		}
	}
	return state, saveState(s, &state)
}

func saveState(s *store.Store, state *control.State) error {
	payload, err := msgpack.Marshal(state)
	if err != nil {
		return errors.WithStack(err)
	}
	return s.Save(controlFile, payload)
}

// run handles inputs until ctx ends.
func (c *controller) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	if c.store != nil {
		defer c.store.Close()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.machine.Tick(time.Now())
		case in := <-c.inputs.C():
			in(c, time.Now())
		}
		if hosts := c.hosts.Swap(nil); hosts != nil {
			c.machine.SetPeers(*hosts)
		}
		c.flush(ctx)
	}
}

// flush carries out what the machine decided, in the order of its contract.
func (c *controller) flush(ctx context.Context) {
	for {
		r := c.machine.Ready()
		if r.Save != nil && !c.save(ctx, r.Save) {
			r.Messages = nil
		}
		if r.Chosen != nil {
			c.putInForce(ctx, r.Chosen)
		}
		for _, d := range r.Decisions {
			c.decided(ctx, d)
		}
		c.publish()
		if !c.send(r.Messages) {
			return
		}
	}
}

// send hands messages over and reports whether the own machine got one.
func (c *controller) send(messages []control.Outgoing) (own bool) {
	for _, m := range messages {
		if m.To == c.self {
			c.machine.Receive(time.Now(), c.self, m.Body)
			own = true
			continue
		}
		c.mesh.Send(m.To, m.Body)
	}
	return own
}

func (c *controller) save(ctx context.Context, state *control.State) bool {
	err := saveState(c.store, state)
	if err == nil {
		return true
	}
	c.machine.StoreFailed()
	event.Log(ctx, c.log, event.StoreWriteError, slog.String("file", controlFile), slog.String("error", err.Error()))
	event.Log(ctx, c.log, event.VotingStopped, slog.String("disk", c.machine.Disk()))
	return false
}

func (c *controller) putInForce(ctx context.Context, r *peer.ConfigRecord) {
	d, err := decodeRecord(r)
	if err != nil {
		event.Log(ctx, c.log, event.ConfigUnreadable, slog.Uint64("version", r.Version), slog.String("error", err.Error()))
		return
	}
	c.apply(r.Version, d)
}

// decodeRecord returns the document of a version, with the control hosts that
// choose the next one.
func decodeRecord(r *peer.ConfigRecord) (*config.Document, error) {
	document, err := control.Document(r)
	if err != nil {
		return nil, err
	}
	var d config.Document
	if err := json.Unmarshal(document, &d); err != nil {
		return nil, errors.WithStack(err)
	}
	d.ControlHosts = make([]config.ControlHost, len(r.Group))
	for i, g := range r.Group {
		d.ControlHosts[i] = config.ControlHost(g)
	}
	return &d, nil
}

func (c *controller) decided(ctx context.Context, d control.Decision) {
	if d.Outcome.Code == result.OK {
		event.Log(ctx, c.log, event.ChangeAccepted, slog.Uint64("version", d.Outcome.Version), slog.String("command", d.Outcome.Command))
	}
	if w, ok := c.waiters[d.Ticket]; ok {
		w <- d.Outcome // has room for its one outcome
		delete(c.waiters, d.Ticket)
	}
}

func (c *controller) publish() {
	v := controlView{Version: c.machine.Version(), Disk: c.machine.Disk(), Voting: c.machine.Voting(), Since: time.Now(), Record: c.machine.Record()}
	old := c.view.Load()
	if old != nil && old.Version == v.Version {
		v.Since = old.Since
	}
	if old == nil || *old != v {
		c.view.Store(&v)
	}
}

// receive takes a peer's control message; false: the ring is full.
func (c *controller) receive(from string, b peer.Body) bool {
	return c.inputs.TryPush(func(c *controller, now time.Time) { c.machine.Receive(now, from, b) })
}

// hint takes the version that a peer's heartbeat reports.
func (c *controller) hint(from string, version uint64) {
	if version > c.view.Load().Version {
		c.inputs.TryPush(func(c *controller, now time.Time) { c.machine.Hint(now, from, version) })
	}
}

// setPeers takes the hosts that the configuration lists. It never waits: the
// caller is the duty that the controller itself waits for.
func (c *controller) setPeers(hosts []membership.Host) { c.hosts.Store(&hosts) }

// Propose implements proposer. A document without control hosts keeps those
// of its base.
func (c *controller) Propose(ctx context.Context, p control.Proposal) control.Outcome {
	if c.members == 0 && c.view.Load().Version == 0 {
		return noControl{}.Propose(ctx, p)
	}
	group, err := groupOf(p.Document)
	if err != nil {
		return control.Outcome{Command: p.Command, Code: result.PlanRefused, Detail: err.Error()}
	}
	p.Group = group
	out := make(chan control.Outcome, 1)
	ok := c.inputs.TryPush(func(c *controller, now time.Time) {
		c.waiters[c.machine.Propose(now, p)] = out
	})
	if !ok {
		return control.Outcome{Command: p.Command, Code: result.Busy, Detail: "ring of the controller"}
	}
	return c.await(ctx, p.Command, out)
}

func (c *controller) await(ctx context.Context, command string, out chan control.Outcome) control.Outcome {
	open := control.Outcome{Command: command, Code: result.NoMajority, Detail: "the change may still be chosen; resend the command to learn its outcome"}
	bound := time.NewTimer(2 * c.timeout) // a disk that hangs stops the controller's timers
	defer bound.Stop()
	select {
	case o := <-out:
		return o
	case <-ctx.Done():
	case <-c.done:
	case <-bound.C:
	}
	return open
}

// groupOf returns the control hosts that a document names, or nil.
func groupOf(document []byte) ([]peer.ControlMember, error) {
	var d config.Document
	if err := json.Unmarshal(document, &d); err != nil {
		return nil, errors.Wrap(err, "document")
	}
	var group []peer.ControlMember
	for _, h := range d.ControlHosts {
		group = append(group, peer.ControlMember(h))
	}
	return group, nil
}
