// Package register runs the control.Machine of one host: it saves the state to
// disk, sends and receives messages, applies chosen versions, and delivers the
// outcomes of proposals and reads.
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
	// stateFile is the name of the file that holds the host's control.State.
	stateFile           = "control"
	tickInterval        = 20 * time.Millisecond
	learnerTickInterval = 100 * time.Millisecond // of a host without a disk, which only repeats its requests for versions
	// inputRingSize is the maximum number of queued inputs. When the ring is
	// full, a message is dropped (its sender repeats it) and a proposal is
	// refused as busy.
	inputRingSize = 1024
)

// Messenger sends messages to peers. Send reports whether the message was
// accepted for sending.
type Messenger interface {
	Send(to string, b peer.Body) bool
}

// Options configures a Controller.
type Options struct {
	Machine   control.Config
	Store     *store.Store // nil: the host has no disk
	Messenger Messenger
	// Apply is called with each version that the host learns, in ascending
	// order, on the controller's goroutine.
	Apply func(*peer.ConfigRecord)
	// GroupOf returns the control hosts that a proposed document lists. It is
	// nil if documents don't list control hosts.
	GroupOf func(document []byte) ([]peer.ControlMember, error)
	// Unsaved holds the contents of other files that could not be written to the
	// disk yet, by name. They are written before the state.
	Unsaved map[string][]byte
	// OnSaved, if not nil, is called with the duration and the error of each
	// synced write of the state.
	OnSaved func(took time.Duration, err error)
	Log     *slog.Logger
}

// Controller agrees on configuration versions with the other control hosts,
// saves them to disk and distributes them. Its goroutine, Run, is the only one
// that uses the machine and the store.
type Controller struct {
	machine         *control.Machine
	store           *store.Store
	inputs          *ring.Ring[input]
	messenger       Messenger
	apply           func(*peer.ConfigRecord)
	groupOf         func(document []byte) ([]peer.ControlMember, error)
	unsaved         map[string][]byte // see Options.Unsaved; a file is removed once it is written
	onSaved         func(took time.Duration, err error)
	storeFailedAt   time.Time                       // when the first of the latest writes in a row failed; zero: the latest one succeeded
	proposalWaiters map[uint64]chan control.Outcome // by ticket
	readWaiters     map[uint64]chan bool            // by ticket
	self            string
	log             *slog.Logger
	view            atomic.Pointer[View]
	newPeers        atomic.Pointer[[]membership.Host] // new list of peers that Run has not passed to the machine yet; nil: none
	done            chan struct{}
	proposeTimeout  time.Duration // Timing.ProposeTimeout of the machine; Propose waits up to twice as long
	readTimeout     time.Duration // twice Timing.ReadTimeout of the machine; limits the wait of ReadNewest
	bootstrapCount  int           // number of hosts that choose version 1
}

// New returns a Controller that continues from o.Machine.State. The caller
// starts it with Run.
func New(o Options) *Controller {
	c := &Controller{
		machine:         control.New(o.Machine),
		store:           o.Store,
		inputs:          ring.New[input](inputRingSize),
		messenger:       o.Messenger,
		apply:           o.Apply,
		groupOf:         o.GroupOf,
		unsaved:         o.Unsaved,
		onSaved:         o.OnSaved,
		proposalWaiters: make(map[uint64]chan control.Outcome),
		readWaiters:     make(map[uint64]chan bool),
		self:            o.Machine.Self.Name,
		log:             o.Log,
		done:            make(chan struct{}),
		proposeTimeout:  o.Machine.Timing.ProposeTimeout,
		readTimeout:     2 * o.Machine.Timing.ReadTimeout,
		bootstrapCount:  len(o.Machine.Bootstrap),
	}
	if o.Machine.Unsaved {
		c.storeFailedAt = time.Now()
	}
	c.publishView()
	return c
}

// View is an immutable snapshot of the controller's state for other goroutines.
type View struct {
	Version   uint64             // latest known version
	Disk      string             // identity of the host's disk; empty: no disk
	Voting    bool               // the host is an acceptor for the next version
	LearnedAt time.Time          // when this host learned Version
	Record    *peer.ConfigRecord // record of Version, nil at version 0; must not be modified
	Settled   bool               // see control.Machine.Settled
}

// View returns the snapshot taken after the last input.
func (c *Controller) View() *View { return c.view.Load() }

// input is one event for the controller, run on its goroutine.
type input func(c *Controller, now time.Time)

// Disk is an open data folder with the state that it holds.
type Disk struct {
	Store   *store.Store // nil: the host runs without a disk
	State   control.State
	Unsaved bool // State could not be written; pass it on as control.Config.Unsaved
}

// OpenDisk opens the data folder and reads the state. If the state can't be read or
// decoded, OpenDisk logs the error and returns no store: the host then runs without
// a disk, that is, it serves and learns versions but does not vote. The store is
// also nil if folder is empty. An error is returned only if the folder can't be
// opened.
//
// The state is written again, because after a failed sync of an earlier process the
// file may be readable without being durable. If that fails, the host does not vote
// until the controller has written it.
func OpenDisk(fs store.FS, folder string, log *slog.Logger) (Disk, error) {
	if folder == "" {
		return Disk{}, nil
	}
	s, err := store.Open(fs, folder)
	if err != nil {
		return Disk{}, err
	}
	state, err := loadState(s)
	if err != nil {
		id := event.StoreUnreadable
		if errors.Is(err, store.ErrCorrupt) {
			id = event.StoreCorrupt
		}
		logVotingStopped(context.Background(), log, id, slog.String("folder", folder), slog.String("error", err.Error()))
		return Disk{}, nil
	}
	if err := saveState(s, &state); err != nil {
		logVotingStopped(context.Background(), log, event.StoreWriteError, slog.String("folder", folder), slog.String("error", err.Error()))
		return Disk{Store: s, State: state, Unsaved: true}, nil
	}
	return Disk{Store: s, State: state}, nil
}

// logVotingStopped logs a fault of the disk and that the host does not vote.
func logVotingStopped(ctx context.Context, log *slog.Logger, fault event.ID, attrs ...slog.Attr) {
	event.Log(ctx, log, fault, attrs...)
	event.Log(ctx, log, event.VotingStopped, attrs...)
}

// loadState reads the state, or creates it for a new disk.
func loadState(s *store.Store) (control.State, error) {
	var state control.State
	payload, err := s.Load(stateFile)
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
	return state, nil
}

func saveState(s *store.Store, state *control.State) error {
	payload, err := msgpack.Marshal(state)
	if err != nil {
		return errors.WithStack(err)
	}
	return s.Save(stateFile, payload)
}

// Run handles inputs until ctx is done, then closes the store.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	interval := tickInterval
	if c.store == nil {
		interval = learnerTickInterval
	}
	ticker := time.NewTicker(interval)
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
		if hosts := c.newPeers.Swap(nil); hosts != nil {
			c.machine.SetPeers(*hosts)
		}
		c.carryOut(ctx)
	}
}

// carryOut carries out the machine's Ready work, and the work that results from
// messages to this host itself. It saves the state before it sends messages, as
// package control requires.
func (c *Controller) carryOut(ctx context.Context) {
	for {
		r := c.machine.Ready()
		if r.Save != nil && !c.persist(ctx, r.Save) {
			r.Messages = nil
		}
		if r.Chosen != nil {
			c.apply(r.Chosen)
		}
		for _, d := range r.Decisions {
			c.deliverOutcome(ctx, d)
		}
		c.publishView()
		for _, x := range r.Reads {
			c.deliverReadResult(ctx, x)
		}
		if !c.sendMessages(r.Messages) {
			return
		}
	}
}

// sendMessages sends messages to peers, passes messages to this host directly to
// the machine, and reports whether there were any of the latter.
func (c *Controller) sendMessages(messages []control.OutgoingMessage) (toSelf bool) {
	for _, m := range messages {
		if m.To == c.self {
			c.machine.Receive(time.Now(), c.self, m.Body)
			toSelf = true
			continue
		}
		c.messenger.Send(m.To, m.Body)
	}
	return toSelf
}

// persist writes the state to the store and reports whether that succeeded. If it
// failed, the host does not vote until a later write succeeds. Of several failures
// in a row only the first is logged.
func (c *Controller) persist(ctx context.Context, state *control.State) bool {
	started := time.Now()
	err := c.saveFiles(state)
	if c.onSaved != nil {
		c.onSaved(time.Since(started), err)
	}
	if err != nil {
		c.machine.StoreFailed(time.Now())
		if c.storeFailedAt.IsZero() {
			c.storeFailedAt = started
			logVotingStopped(ctx, c.log, event.StoreWriteError, slog.String("disk", state.Disk), slog.String("error", err.Error()))
		}
		return false
	}
	if c.machine.HasStoreFailed() {
		c.machine.StoreRecovered()
		event.Log(ctx, c.log, event.StoreRecovered, slog.String("disk", state.Disk), slog.Uint64("version", state.Version()),
			slog.Bool("voting", c.machine.Voting()), slog.Int64("failed_ms", time.Since(c.storeFailedAt).Milliseconds()))
		c.storeFailedAt = time.Time{}
	}
	return true
}

// saveFiles writes the files that are still unsaved, then the state.
func (c *Controller) saveFiles(state *control.State) error {
	for name, payload := range c.unsaved {
		if err := c.store.Save(name, payload); err != nil {
			return err
		}
		delete(c.unsaved, name)
	}
	return saveState(c.store, state)
}

func (c *Controller) deliverOutcome(ctx context.Context, d control.Decision) {
	switch d.Outcome.Code {
	case result.OK:
		event.Log(ctx, c.log, event.ChangeAccepted, slog.Uint64("version", d.Outcome.Version), slog.String("command", d.Outcome.Command))
	case result.NoMajority, result.StoreUnavailable: // its proposer may have left already
		c.logNoMajority(ctx, "change", d.Outcome.Detail)
	}
	if w, ok := c.proposalWaiters[d.Ticket]; ok {
		w <- d.Outcome // never blocks: the channel is buffered for its only value
		delete(c.proposalWaiters, d.Ticket)
	}
}

func (c *Controller) publishView() {
	v := View{Version: c.machine.Version(), Disk: c.machine.Disk(), Voting: c.machine.Voting(), LearnedAt: time.Now(), Record: c.machine.Record(), Settled: c.machine.Settled(time.Now())}
	old := c.view.Load()
	if old != nil && old.Version == v.Version {
		v.LearnedAt = old.LearnedAt
	}
	if old == nil || *old != v {
		c.view.Store(&v)
	}
}

// logNoMajority logs which answers a change or a read of this host lacked.
func (c *Controller) logNoMajority(ctx context.Context, what, detail string) {
	event.Log(ctx, c.log, event.MajorityMissing, slog.String("for", what), slog.Uint64("version", c.machine.Version()),
		slog.String("disk", c.machine.Disk()), slog.Bool("voting", c.machine.Voting()), slog.String("answers", detail))
}

func (c *Controller) deliverReadResult(ctx context.Context, r control.ReadResult) {
	if !r.Verified {
		c.logNoMajority(ctx, "read", r.Detail)
	}
	if w, ok := c.readWaiters[r.Ticket]; ok {
		w <- r.Verified // never blocks: the channel is buffered for its only value
		delete(c.readWaiters, r.Ticket)
	}
}

// ReadNewest performs a linearizable read: it returns a view whose version was the
// newest at some time since the call. It returns false if no majority of the
// control hosts confirmed this in time, if ctx is done, if the controller has
// stopped, or if the input ring is full.
func (c *Controller) ReadNewest(ctx context.Context) (*View, bool) {
	resultCh := make(chan bool, 1)
	ok := c.inputs.TryPush(func(c *Controller, now time.Time) {
		c.readWaiters[c.machine.Read(now)] = resultCh
	})
	if !ok {
		return nil, false
	}
	timer := time.NewTimer(c.readTimeout) // needed because a hanging disk blocks the controller's goroutine and its timers
	defer timer.Stop()
	select {
	case verified := <-resultCh:
		return c.View(), verified
	case <-ctx.Done():
	case <-c.done:
	case <-timer.C:
	}
	return nil, false
}

// Receive enqueues a control message from a peer. It returns false if the input
// ring is full and the message is dropped.
func (c *Controller) Receive(from string, b peer.Body) bool {
	return c.inputs.TryPush(func(c *Controller, now time.Time) { c.machine.Receive(now, from, b) })
}

// ObserveVersion enqueues the version that a peer's heartbeat reports, if it is
// newer than the known one. It is dropped if the input ring is full.
func (c *Controller) ObserveVersion(from string, version uint64) {
	if version > c.view.Load().Version {
		c.inputs.TryPush(func(c *Controller, now time.Time) { c.machine.ObserveVersion(now, from, version) })
	}
}

// SetPeers replaces the list of peers with the hosts that the configuration
// lists. It never blocks: its caller may be the goroutine that Options.Apply
// waits for, and blocking would deadlock.
func (c *Controller) SetPeers(hosts []membership.Host) { c.newPeers.Store(&hosts) }

// NoControlHosts is the outcome's detail if a proposal is made while no control
// hosts are configured and no version is known.
const NoControlHosts = "no control hosts are configured"

// Propose proposes a change and waits for its outcome, for at most twice
// Timing.ProposeTimeout. If Options.GroupOf is set, its result replaces p.Group;
// a document that lists no control hosts keeps the current group. After a
// NoMajority or StoreUnavailable outcome the change may still be chosen; to learn
// the final outcome, propose the same command again.
func (c *Controller) Propose(ctx context.Context, p control.Proposal) control.Outcome {
	if c.bootstrapCount == 0 && c.view.Load().Version == 0 {
		return control.Outcome{Command: p.Command, Code: result.NoMajority, Detail: NoControlHosts}
	}
	if c.groupOf != nil {
		group, err := c.groupOf(p.Document)
		if err != nil {
			return control.Outcome{Command: p.Command, Code: result.PlanRefused, Detail: err.Error()}
		}
		p.Group = group
	}
	outcomeCh := make(chan control.Outcome, 1)
	ok := c.inputs.TryPush(func(c *Controller, now time.Time) {
		c.proposalWaiters[c.machine.Propose(now, p)] = outcomeCh
	})
	if !ok {
		return control.Outcome{Command: p.Command, Code: result.Busy, Detail: "ring of the controller"}
	}
	return c.awaitOutcome(ctx, p.Command, outcomeCh)
}

func (c *Controller) awaitOutcome(ctx context.Context, command string, outcomeCh chan control.Outcome) control.Outcome {
	undecided := control.Outcome{Command: command, Code: result.NoMajority, Detail: "the change may still be chosen; resend the command to learn its outcome"}
	timer := time.NewTimer(2 * c.proposeTimeout) // needed because a hanging disk blocks the controller's goroutine and its timers
	defer timer.Stop()
	select {
	case o := <-outcomeCh:
		return o
	case <-ctx.Done():
	case <-c.done:
	case <-timer.C:
	}
	return undecided
}
