// Package engine composes the decisions of one entry host: jobs, dispatch,
// minions and membership.
//
// An Engine is a pure state machine. The caller feeds it inputs with the
// current time, and takes what follows from them by Ready: task starts and
// cancellations to send to minions, answers for callers, messages to peers and
// log events. It does no I/O, starts no goroutine and reads no clock, and it
// isn't safe for concurrent use.
package engine

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/dispatch"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Config is the fixed part of an Engine.
type Config struct {
	Host        membership.Host
	Incarnation membership.Incarnation
	Peers       []membership.Host
	Joining     bool // added to a running system: no work before the region knows the host
	StartedAt   time.Time

	Jobs           job.Limits
	MinionLease    time.Duration
	HeartbeatEvery time.Duration
	PeerTimeout    time.Duration
	RetryBudget    int           // disproved starts per job
	BusyPause      time.Duration // rest of a minion that refused for lack of slots

	LocateTimeout time.Duration // bound on finding the owner of a key
	LocateResend  time.Duration // interval of repeated questions
	FollowTimeout time.Duration // bound on a fetch from the owner
	MaxSearches   int           // keys looked for at a time

	// Judge, if not nil, sets the verdict of a final answer before it is sent.
	Judge func(a *job.Answer) `json:"-"`

	// Observer, when set, is told of every input and output, for recording.
	Observer Observer `json:"-"`

	Slots SlotPolicy
}

// Start is a task to send to a minion.
type Start struct {
	Task     job.TaskID
	Service  string
	Payload  []byte
	Size     job.Size
	NoRepeat bool
	Minion   string
	Address  string
	Deadline time.Time
	Trace    string // W3C trace context, when sampled
}

// Cancel is a request to a minion to stop a task.
type Cancel struct {
	Task    job.TaskID
	Address string
}

// Outgoing is a message to a peer.
type Outgoing struct {
	To   string
	Body peer.Body
}

// Record is a log event.
type Record struct {
	ID    event.ID
	Attrs []slog.Attr
}

// Ready is what follows from the inputs since the last call.
type Ready struct {
	Starts   []Start
	Cancels  []Cancel
	Answers  []*job.Answer
	Pending  []job.ID // jobs in progress whose owner is another host
	Messages []Outgoing
	Hosts    []membership.Host // when not nil, the peers to be connected from now on
	Events   []Record
}

// Engine is the decision core of one host.
type Engine struct {
	cfg           Config
	jobs          *job.Table
	queue         *dispatch.Queue
	minions       *minion.Registry
	members       *membership.View
	configVersion uint64
	document      *config.Document
	listedIn      uint64 // first version in force here that lists this host
	shutdown      shutdown
	nextBeat      time.Time
	beats         int // heartbeat intervals so far
	searches      map[job.ID]*search
	followers     map[job.ID]map[string]follower // hosts that attached to a job of this host
	round         uint64
	stall         stall
	sharing
	lending
	arrivals  dispatch.Arrivals
	cancelled map[job.ID]bool         // jobs in progress whose started tasks were asked to stop
	sizes     map[job.TaskID]job.Size // declared sizes of the tasks in progress, where not zero
	ready     Ready
}

// New returns an Engine with no jobs and no minions.
func New(cfg Config) *Engine {
	return &Engine{
		cfg:     cfg,
		jobs:    job.NewTable(cfg.Jobs, cfg.StartedAt),
		queue:   dispatch.NewQueue(cfg.RetryBudget / 2),
		minions: minion.NewRegistry(cfg.MinionLease),
		members: membership.NewView(cfg.PeerTimeout, cfg.Peers),
		stall:   stall{last: cfg.StartedAt},

		searches:  make(map[job.ID]*search),
		followers: make(map[job.ID]map[string]follower),
		shutdown:  shutdown{echoes: make(map[string]time.Duration)},
		sizes:     make(map[job.TaskID]job.Size),
		sharing:   newSharing(),
		lending:   newLending(),
		cancelled: make(map[job.ID]bool),
	}
}

// Ready returns and clears what is to be done.
func (e *Engine) Ready() Ready {
	r := e.ready
	e.ready = Ready{}
	if e.cfg.Observer != nil {
		e.cfg.Observer.Output(&r)
	}
	return r
}

// Jobs returns the job table, for reading.
func (e *Engine) Jobs() *job.Table { return e.jobs }

// Minions returns the minion registry, for reading.
func (e *Engine) Minions() *minion.Registry { return e.minions }

// Members returns the view of the other hosts, for reading.
func (e *Engine) Members() *membership.View { return e.members }

// Host returns the host's own identity.
func (e *Engine) Host() membership.Host { return e.cfg.Host }

// Incarnation returns the identity of this process start.
func (e *Engine) Incarnation() membership.Incarnation { return e.cfg.Incarnation }

func (e *Engine) log(id event.ID, attrs ...slog.Attr) {
	e.ready.Events = append(e.ready.Events, Record{ID: id, Attrs: attrs})
}

func (e *Engine) send(to string, b peer.Body) {
	e.shutdown.noteSent(b)
	e.ready.Messages = append(e.ready.Messages, Outgoing{To: to, Body: b})
}

func (e *Engine) answer(a *job.Answer) {
	if a == nil {
		return
	}
	if e.cfg.Judge != nil {
		e.cfg.Judge(a)
	}
	e.ready.Answers = append(e.ready.Answers, a)
	e.queue.Remove(a.ID)
	delete(e.forwards, a.ID)
	delete(e.cancelled, a.ID)
	e.forgetSmall(a.ID)
	e.notifyFollowers(a)
	e.log(event.JobEnded, slog.String("job", a.ID.String()), slog.Int("code", int(a.Code)))
	e.cancelStarted(a.ID)
}

// cancelStarted asks the minions of a job's tasks in progress to stop them.
func (e *Engine) cancelStarted(id job.ID) {
	e.cancelForward(id)
	j := e.jobs.Get(id)
	if j == nil {
		return
	}
	if !j.Ended() {
		e.cancelled[id] = true
	}
	j.Started(func(index int, name string) {
		m := e.minions.Get(name)
		if m == nil {
			return
		}
		e.ready.Cancels = append(e.ready.Cancels, Cancel{Task: job.TaskID{Job: id, Index: index}, Address: m.Address})
	})
}

// Submit admits, attaches or refuses a submission. A final answer is returned
// at once; otherwise it follows in Ready.Answers.
func (e *Engine) Submit(now time.Time, s *job.Submission) (*job.Answer, *result.Error) {
	e.record(now, Input{Submit: s})
	a, err := e.submit(now, s)
	if err != nil && e.cfg.Observer != nil {
		e.cfg.Observer.Refused(s.ID, err.Code)
	}
	return a, err
}

func (e *Engine) submit(now time.Time, s *job.Submission) (*job.Answer, *result.Error) {
	if j := e.jobs.Get(s.ID); j != nil {
		_, _, err := e.jobs.Submit(now, s, false)
		return j.Answer(), err
	}
	if s.Attempt != 1 {
		return nil, e.locate(now, s)
	}
	return nil, e.accept(now, s, false)
}

// accept admits a submission whose key no host has accepted before.
func (e *Engine) accept(now time.Time, s *job.Submission, located bool) *result.Error {
	err := e.admit(now, s)
	if err != nil {
		e.log(event.JobRefused, slog.String("job", s.ID.String()), slog.Int("code", int(err.Code)))
		return err
	}
	j, _, err := e.jobs.Submit(now, s, located)
	if err != nil {
		e.log(event.JobRefused, slog.String("job", s.ID.String()), slog.Int("code", int(err.Code)))
		return err
	}
	e.place(now, j)
	e.dispatch(now)
	return nil
}

// cancel withdraws a known job's queued tasks and stops its started ones.
func (e *Engine) cancel(now time.Time, id job.ID) {
	a := e.jobs.Cancel(now, id)
	e.cancelStarted(id)
	e.answer(a)
}

// dispatch starts every task that a free minion can take.
func (e *Engine) dispatch(now time.Time) {
	defer e.recordContention(now)
	for {
		a, ok := e.queue.Next(now, e.minions)
		if !ok {
			return
		}
		if !e.jobs.Start(now, a.Task, a.Minion.Name) {
			return
		}
		e.minions.Acquire(now, a.Minion, a.Size)
		if a.Size != (job.Size{}) {
			e.sizes[a.Task] = a.Size
		}
		e.ready.Starts = append(e.ready.Starts, e.start(a))
	}
}

func (e *Engine) start(a dispatch.Assignment) Start {
	j := e.jobs.Get(a.Task.Job)
	t := &j.Tasks[a.Task.Index]
	return Start{
		Task:     a.Task,
		Service:  j.Service,
		Payload:  t.Payload,
		Size:     t.Size,
		NoRepeat: t.NoRepeat,
		Minion:   a.Minion.Name,
		Address:  a.Minion.Address,
		Deadline: j.Deadline,
		Trace:    j.Trace,
	}
}

// TaskFinished records the outcome of a start that reached its minion.
func (e *Engine) TaskFinished(now time.Time, id job.TaskID, name string, o job.Outcome) {
	e.record(now, Input{Finished: &Finished{Task: id, Minion: name, Outcome: o}})
	switch o.Code {
	case result.AnswerMismatch:
		e.log(event.AnswerMismatch, slog.String("job", id.Job.String()), slog.Int("task", id.Index), slog.String("minion", name))
	case result.StartUnknown:
		e.log(event.TaskStartUnknown, slog.String("job", id.Job.String()), slog.Int("task", id.Index),
			slog.String("minion", name), slog.String("detail", o.Detail))
	}
	e.observe(now, id, name, o)
	a := e.jobs.Finish(now, id, o)
	e.minions.Release(name, e.takeSize(id))
	e.queue.Finished(id)
	if o.Code != result.OK && a == nil {
		e.cancelStarted(id.Job)
	}
	e.answer(a)
	e.dispatch(now)
}

// TaskDisproved records a start that certainly did not happen.
func (e *Engine) TaskDisproved(now time.Time, id job.TaskID, name string, reason result.Code) {
	e.record(now, Input{Disproved: &Disproved{Task: id, Minion: name, Reason: reason}})
	a := e.jobs.Disprove(now, id)
	e.minions.Refuse(now, name, e.takeSize(id), e.cfg.BusyPause)
	e.queue.Finished(id)
	e.log(event.TaskStartRefused, slog.String("job", id.Job.String()), slog.Int("task", id.Index),
		slog.String("minion", name), slog.Int("code", int(reason)))
	e.answer(a)
	if j := e.jobs.Get(id.Job); j != nil && !j.Ended() && j.Retries() > e.cfg.RetryBudget+len(j.Tasks)+dispatch.Earned(now, j) {
		e.log(event.TaskStartsStopped, slog.String("job", id.Job.String()))
		e.answer(e.jobs.Refuse(now, id.Job, result.TaskNotStarted, "retry budget used up"))
	}
	e.dispatch(now)
}

// takeSize returns and forgets the declared size of a task in progress.
func (e *Engine) takeSize(id job.TaskID) job.Size {
	size := e.sizes[id]
	delete(e.sizes, id)
	return size
}

// Tick advances time: deadlines, leases, heartbeats.
func (e *Engine) Tick(now time.Time) {
	e.record(now, Input{Tick: true})
	e.stall.observe(now)
	for _, a := range e.jobs.Tick(now) {
		e.answer(a)
	}
	for _, m := range e.minions.Tick(now) {
		e.log(event.MinionExpired, slog.String("minion", m.Name))
	}
	for _, c := range e.members.Tick(now) {
		e.log(event.PeerDown, slog.String("host", c.Peer.Name))
		e.failForwards(now, c.Peer)
	}
	e.reshare(now)
	e.forwardWaiting(now)
	e.tickSearches(now)
	e.tickShutdown(now)
	e.members.ForgetDepartures(now.Add(-e.cfg.Jobs.KeyLifetime - 2*e.cfg.Jobs.ClockError))
	if !now.Before(e.nextBeat) {
		e.nextBeat = now.Add(e.cfg.HeartbeatEvery)
		e.heartbeat(now)
		e.resendForwards(now)
	}
	e.dispatch(now)
}

// ConfigVersion returns the configuration version in force.
func (e *Engine) ConfigVersion() uint64 { return e.configVersion }
