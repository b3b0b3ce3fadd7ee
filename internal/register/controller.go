// Package register runs the control.Machine of one host: it keeps the state on
// the disk, carries messages, and hands chosen versions and outcomes over.
package register

import (
	"context"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
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

// Messenger sends messages to peers.
type Messenger interface {
	Send(to string, b peer.Body) bool
}

// Options are the parts of a Controller.
type Options struct {
	Machine control.Config
	Store   *store.Store // nil: the host has no disk
	Mesh    Messenger
	// Apply takes each version as it becomes known, in ascending order.
	Apply func(*peer.ConfigRecord)
	// GroupOf returns the control hosts that a proposed document names; nil:
	// documents name none.
	GroupOf func(document []byte) ([]peer.ControlMember, error)
	// Saved takes how long each synced write of the state took; nil: nobody asks.
	Saved func(took time.Duration)
	Log   *slog.Logger
}

// Controller is the duty that agrees on configuration versions, keeps them
// on the disk and spreads them. It is the only goroutine that touches the
// machine and the store.
type Controller struct {
	machine     *control.Machine
	store       *store.Store
	inputs      *ring.Ring[controlInput]
	mesh        Messenger
	apply       func(*peer.ConfigRecord)
	groupOf     func(document []byte) ([]peer.ControlMember, error)
	saved       func(took time.Duration)
	waiters     map[uint64]chan control.Outcome // by ticket
	readers     map[uint64]chan bool            // by ticket
	self        string
	log         *slog.Logger
	view        atomic.Pointer[View]
	hosts       atomic.Pointer[[]membership.Host] // new list of peers, until it is taken over
	done        chan struct{}
	timeout     time.Duration // bound on a proposal
	readTimeout time.Duration
	members     int // hosts that choose version 1
}

// New returns a Controller that continues from the machine's state; Run
// starts it.
func New(o Options) *Controller {
	c := &Controller{
		machine:     control.New(o.Machine),
		store:       o.Store,
		inputs:      ring.New[controlInput](controlRing),
		mesh:        o.Mesh,
		apply:       o.Apply,
		groupOf:     o.GroupOf,
		saved:       o.Saved,
		waiters:     make(map[uint64]chan control.Outcome),
		readers:     make(map[uint64]chan bool),
		self:        o.Machine.Self.Name,
		log:         o.Log,
		done:        make(chan struct{}),
		timeout:     o.Machine.Timing.Propose,
		readTimeout: 2 * o.Machine.Timing.Read,
		members:     len(o.Machine.Bootstrap),
	}
	c.publish()
	return c
}

// View is what other duties may know of the controller.
type View struct {
	Version uint64
	Disk    string // identity of the host's disk, or empty
	Voting  bool
	Since   time.Time          // when Version became known here
	Record  *peer.ConfigRecord // of Version; nil at 0; never changed
}

// View returns what the controller knew after its last input.
func (c *Controller) View() *View { return c.view.Load() }

// controlInput is one event for the controller.
type controlInput func(c *Controller, now time.Time)

// OpenStore opens the data folder and returns the state that it holds. A host
// whose state cannot be trusted goes on without a disk: it serves and learns,
// and does not vote.
func OpenStore(fs store.FS, folder string, log *slog.Logger) (*store.Store, control.State, error) {
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

// Run handles inputs until ctx ends.
func (c *Controller) Run(ctx context.Context) {
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
func (c *Controller) flush(ctx context.Context) {
	for {
		r := c.machine.Ready()
		if r.Save != nil && !c.save(ctx, r.Save) {
			r.Messages = nil
		}
		if r.Chosen != nil {
			c.apply(r.Chosen)
		}
		for _, d := range r.Decisions {
			c.decided(ctx, d)
		}
		c.publish()
		for _, x := range r.Reads {
			c.readEnded(x)
		}
		if !c.send(r.Messages) {
			return
		}
	}
}

// send hands messages over and reports whether the own machine got one.
func (c *Controller) send(messages []control.Outgoing) (own bool) {
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

func (c *Controller) save(ctx context.Context, state *control.State) bool {
	begin := time.Now()
	err := saveState(c.store, state)
	if err == nil {
		if c.saved != nil {
			c.saved(time.Since(begin))
		}
		return true
	}
	c.machine.StoreFailed()
	event.Log(ctx, c.log, event.StoreWriteError, slog.String("file", controlFile), slog.String("error", err.Error()))
	event.Log(ctx, c.log, event.VotingStopped, slog.String("disk", c.machine.Disk()))
	return false
}

func (c *Controller) decided(ctx context.Context, d control.Decision) {
	if d.Outcome.Code == result.OK {
		event.Log(ctx, c.log, event.ChangeAccepted, slog.Uint64("version", d.Outcome.Version), slog.String("command", d.Outcome.Command))
	}
	if w, ok := c.waiters[d.Ticket]; ok {
		w <- d.Outcome // has room for its one outcome
		delete(c.waiters, d.Ticket)
	}
}

func (c *Controller) publish() {
	v := View{Version: c.machine.Version(), Disk: c.machine.Disk(), Voting: c.machine.Voting(), Since: time.Now(), Record: c.machine.Record()}
	old := c.view.Load()
	if old != nil && old.Version == v.Version {
		v.Since = old.Since
	}
	if old == nil || *old != v {
		c.view.Store(&v)
	}
}

func (c *Controller) readEnded(r control.ReadResult) {
	if w, ok := c.readers[r.Ticket]; ok {
		w <- r.Certain // has room for its one outcome
		delete(c.readers, r.Ticket)
	}
}

// Newest returns a view that was certainly the newest at some moment since the
// call; false: no majority of the control hosts could tell in time.
func (c *Controller) Newest(ctx context.Context) (*View, bool) {
	out := make(chan bool, 1)
	ok := c.inputs.TryPush(func(c *Controller, now time.Time) {
		c.readers[c.machine.Read(now)] = out
	})
	if !ok {
		return nil, false
	}
	bound := time.NewTimer(c.readTimeout) // a disk that hangs stops the controller's timers
	defer bound.Stop()
	select {
	case certain := <-out:
		return c.View(), certain
	case <-ctx.Done():
	case <-c.done:
	case <-bound.C:
	}
	return nil, false
}

// Receive takes a peer's control message; false: the ring is full.
func (c *Controller) Receive(from string, b peer.Body) bool {
	return c.inputs.TryPush(func(c *Controller, now time.Time) { c.machine.Receive(now, from, b) })
}

// Hint takes the version that a peer's heartbeat reports.
func (c *Controller) Hint(from string, version uint64) {
	if version > c.view.Load().Version {
		c.inputs.TryPush(func(c *Controller, now time.Time) { c.machine.Hint(now, from, version) })
	}
}

// SetPeers takes the hosts that the configuration lists. It never waits: the
// caller is the duty that the controller itself waits for.
func (c *Controller) SetPeers(hosts []membership.Host) { c.hosts.Store(&hosts) }

// NoControlHosts is the detail of a refusal by a system without control hosts.
const NoControlHosts = "no control hosts are configured"

// Propose gets a change chosen, in bounded time. A document without control hosts keeps those
// of its base.
func (c *Controller) Propose(ctx context.Context, p control.Proposal) control.Outcome {
	if c.members == 0 && c.view.Load().Version == 0 {
		return control.Outcome{Command: p.Command, Code: result.NoMajority, Detail: NoControlHosts}
	}
	if c.groupOf != nil {
		group, err := c.groupOf(p.Document)
		if err != nil {
			return control.Outcome{Command: p.Command, Code: result.PlanRefused, Detail: err.Error()}
		}
		p.Group = group
	}
	out := make(chan control.Outcome, 1)
	ok := c.inputs.TryPush(func(c *Controller, now time.Time) {
		c.waiters[c.machine.Propose(now, p)] = out
	})
	if !ok {
		return control.Outcome{Command: p.Command, Code: result.Busy, Detail: "ring of the controller"}
	}
	return c.await(ctx, p.Command, out)
}

func (c *Controller) await(ctx context.Context, command string, out chan control.Outcome) control.Outcome {
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
