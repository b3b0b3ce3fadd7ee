// Package engine makes the scheduling decisions of one entry host. It combines
// the job table, the dispatch queue, the minion registry and the membership view.
//
// An Engine is a pure state machine. Its user passes in inputs with the current
// time and collects the resulting outputs with Ready: task starts and
// cancellations to send to minions, answers for callers, messages to peers and
// log events. It does no I/O, starts no goroutine and reads no clock, and it
// is not safe for concurrent use.
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

// Config holds the parameters of an Engine.
type Config struct {
	Host        membership.Host
	Incarnation membership.Incarnation
	Peers       []membership.Host
	Joining     bool // the host was added to a running system: it refuses jobs until most of its region knows it
	StartedAt   time.Time

	Jobs           job.Limits
	MinionLease    time.Duration
	HeartbeatEvery time.Duration
	PeerTimeout    time.Duration
	RetryBudget    int           // disproved starts allowed per job, besides one per task and those earned by its age
	BusyPause      time.Duration // delay before a minion that refused a task is tried again; grows with repeated refusals

	LocateTimeout time.Duration // limit on the search for the owner of a key
	LocateResend  time.Duration // interval at which unanswered requests of a search are repeated
	FollowTimeout time.Duration // limit on waiting for the owner's answer to a fetch
	MaxSearches   int           // owner searches in progress at a time

	// SetVerdict, if not nil, sets the verdict of each final answer before the answer is sent.
	SetVerdict func(a *job.Answer) `json:"-"`

	// Observer, if not nil, receives every input and output, for recording.
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

// OutgoingMessage is a message to a peer.
type OutgoingMessage struct {
	To   string
	Body peer.Body
}

// LogEvent is an event to write to the log.
type LogEvent struct {
	ID    event.ID
	Attrs []slog.Attr
}

// Ready holds the outputs since the last call of Engine.Ready.
type Ready struct {
	Starts   []Start
	Cancels  []Cancel
	Answers  []*job.Answer
	Pending  []job.ID // jobs in progress that a search has found, here or on another host, or has made this host accept
	Messages []OutgoingMessage
	Hosts    []membership.Host // if not nil, the peers to connect to from now on
	Events   []LogEvent
}

// Engine is the state machine of one entry host.
type Engine struct {
	cfg                Config
	jobs               *job.Table
	queue              *dispatch.Queue
	minions            *minion.Registry
	members            *membership.View
	configVersion      uint64
	document           *config.Document
	listedVersion      uint64 // first configuration version applied here that lists this host
	shutdown           shutdown
	nextHeartbeat      time.Time
	heartbeatIntervals int // since the start
	searches           map[job.ID]*search
	attached           map[job.ID]map[string]attachment // by job of this host and name of the attached host
	lastRound          uint64                           // latest round number given to a search
	stall              stallDetector
	forwarding
	lending
	arrivals  dispatch.Arrivals
	cancelled map[job.ID]bool         // jobs in progress whose started tasks were asked to stop
	sizes     map[job.TaskID]job.Size // declared sizes of the tasks in progress, if not zero
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
		stall:   stallDetector{lastInput: cfg.StartedAt},

		searches:   make(map[job.ID]*search),
		attached:   make(map[job.ID]map[string]attachment),
		shutdown:   shutdown{echoedAt: make(map[string]time.Duration)},
		sizes:      make(map[job.TaskID]job.Size),
		forwarding: newForwarding(),
		lending:    newLending(),
		cancelled:  make(map[job.ID]bool),
	}
}

// Ready returns and clears the outputs that have accumulated since the last call.
func (e *Engine) Ready() Ready {
	r := e.ready
	e.ready = Ready{}
	if e.cfg.Observer != nil {
		e.cfg.Observer.Output(&r)
	}
	return r
}

// Jobs returns the job table, which the caller must not change.
func (e *Engine) Jobs() *job.Table { return e.jobs }

// Minions returns the minion registry, which the caller must not change.
func (e *Engine) Minions() *minion.Registry { return e.minions }

// Members returns the view of the other hosts, which the caller must not change.
func (e *Engine) Members() *membership.View { return e.members }

// Host returns the host's own identity.
func (e *Engine) Host() membership.Host { return e.cfg.Host }

// Incarnation returns the identity of this process start.
func (e *Engine) Incarnation() membership.Incarnation { return e.cfg.Incarnation }

func (e *Engine) log(id event.ID, attrs ...slog.Attr) {
	e.ready.Events = append(e.ready.Events, LogEvent{ID: id, Attrs: attrs})
}

func (e *Engine) send(to string, b peer.Body) {
	e.shutdown.observeSent(b)
	e.ready.Messages = append(e.ready.Messages, OutgoingMessage{To: to, Body: b})
}

// answer outputs the final answer of a job, deletes the state that only a job in
// progress needs, and asks minions to stop the job's started tasks. It does nothing
// if a is nil.
func (e *Engine) answer(a *job.Answer) {
	if a == nil {
		return
	}
	if e.cfg.SetVerdict != nil {
		e.cfg.SetVerdict(a)
	}
	e.ready.Answers = append(e.ready.Answers, a)
	e.queue.Remove(a.ID)
	delete(e.forwards, a.ID)
	delete(e.cancelled, a.ID)
	e.removeSmallJob(a.ID)
	e.answerAttached(a)
	e.log(event.JobEnded, slog.String("job", a.ID.String()), slog.Int("code", int(a.Code)))
	e.cancelStarted(a.ID)
}

// cancelStarted asks the minions that run tasks of the job to stop them. If the
// job was forwarded, the request goes to the host that dispatches it.
func (e *Engine) cancelStarted(id job.ID) {
	e.cancelForward(id)
	j := e.jobs.Get(id)
	if j == nil {
		return
	}
	if !j.Ended() {
		e.cancelled[id] = true
	}
	j.EachStarted(func(index int, name string) {
		m := e.minions.Get(name)
		if m == nil {
			return
		}
		e.ready.Cancels = append(e.ready.Cancels, Cancel{Task: job.TaskID{Job: id, Index: index}, Address: m.Address})
	})
}

// Submit accepts a new job, attaches a repeated submission to its job, or refuses
// the submission. The answer of a job that has ended is returned at once;
// otherwise the answer follows in Ready.Answers.
func (e *Engine) Submit(now time.Time, s *job.Submission) (*job.Answer, *result.Error) {
	e.recordInput(now, Input{Submit: s})
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

// accept admits a submission whose key no host has accepted before. located is
// true for a repetition whose key every host of the region has fenced.
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
	e.enqueueOrForward(now, j)
	e.dispatch(now)
	return nil
}

// cancel withdraws the queued tasks of a job of this host and stops its started ones.
func (e *Engine) cancel(now time.Time, id job.ID) {
	a := e.jobs.Cancel(now, id)
	e.cancelStarted(id)
	e.answer(a)
}

// dispatch starts every queued task for which a minion has a free slot.
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
		e.ready.Starts = append(e.ready.Starts, e.newStart(a))
	}
}

func (e *Engine) newStart(a dispatch.Assignment) Start {
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

// TaskFinished records the outcome of a start that reached its minion, or may
// have reached it.
func (e *Engine) TaskFinished(now time.Time, id job.TaskID, name string, o job.Outcome) {
	e.recordInput(now, Input{Finished: &FinishedStart{Task: id, Minion: name, Outcome: o}})
	switch o.Code {
	case result.AnswerMismatch:
		e.log(event.AnswerMismatch, slog.String("job", id.Job.String()), slog.Int("task", id.Index), slog.String("minion", name))
	case result.StartUnknown:
		e.log(event.TaskStartUnknown, slog.String("job", id.Job.String()), slog.Int("task", id.Index),
			slog.String("minion", name), slog.String("detail", o.Detail))
	}
	e.observeOutcome(now, id, name, o)
	a := e.jobs.Finish(now, id, o)
	e.minions.Release(name, e.takeSize(id))
	e.queue.TaskEnded(id)
	if o.Code != result.OK && a == nil {
		e.cancelStarted(id.Job)
	}
	e.answer(a)
	e.dispatch(now)
}

// TaskDisproved records a disproved start: the task certainly did not start,
// because it was never sent to the minion or the minion refused it.
func (e *Engine) TaskDisproved(now time.Time, id job.TaskID, name string, reason result.Code) {
	e.recordInput(now, Input{Disproved: &DisprovedStart{Task: id, Minion: name, Reason: reason}})
	a := e.jobs.Disprove(now, id)
	e.minions.ReleaseRefused(now, name, e.takeSize(id), e.cfg.BusyPause)
	e.queue.TaskEnded(id)
	e.log(event.TaskStartRefused, slog.String("job", id.Job.String()), slog.Int("task", id.Index),
		slog.String("minion", name), slog.Int("code", int(reason)))
	e.answer(a)
	if j := e.jobs.Get(id.Job); j != nil && !j.Ended() && j.Retries() > e.cfg.RetryBudget+len(j.Tasks)+dispatch.TrialsEarned(now, j) {
		e.log(event.RetryBudgetExhausted, slog.String("job", id.Job.String()))
		e.answer(e.jobs.Refuse(now, id.Job, result.TaskNotStarted, "retry budget used up"))
	}
	e.dispatch(now)
}

// takeSize returns the declared size of a task in progress and deletes it.
func (e *Engine) takeSize(id job.TaskID) job.Size {
	size := e.sizes[id]
	delete(e.sizes, id)
	return size
}

// Tick advances time: it ends jobs whose deadline has passed, removes minions whose
// lease has expired, marks timed-out peers as down, repeats unanswered requests and
// sends heartbeats.
func (e *Engine) Tick(now time.Time) {
	e.recordInput(now, Input{Tick: true})
	e.stall.observeInput(now)
	for _, a := range e.jobs.Tick(now) {
		e.answer(a)
	}
	for _, m := range e.minions.RemoveExpired(now) {
		e.log(event.MinionExpired, slog.String("minion", m.Name))
	}
	for _, c := range e.members.Tick(now) {
		e.log(event.PeerDown, slog.String("host", c.Peer.Name))
		e.failForwards(now, c.Peer)
	}
	e.updateShare(now)
	e.forwardQueued(now)
	e.tickSearches(now)
	e.tickShutdown(now)
	e.members.ForgetRemovals(now.Add(-e.cfg.Jobs.KeyLifetime - 2*e.cfg.Jobs.ClockError))
	if !now.Before(e.nextHeartbeat) {
		e.nextHeartbeat = now.Add(e.cfg.HeartbeatEvery)
		e.sendHeartbeats(now)
		e.resendForwards(now)
	}
	e.dispatch(now)
}

// ConfigVersion returns the applied configuration version, or 0 before the first.
func (e *Engine) ConfigVersion() uint64 { return e.configVersion }
