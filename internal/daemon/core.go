// Package daemon runs the process of an entry host. One goroutine, the core
// goroutine, owns the engine and makes all scheduling decisions. Goroutine pools
// send tasks to minions, a mesh of connections exchanges messages with peers, and
// HTTP servers handle callers, minions and operators. Bounded rings carry their
// inputs to the core goroutine.
package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/laburnumwalk/laburnumwalk/internal/telemetry"
	"github.com/laburnumwalk/laburnumwalk/internal/verdict"
)

// maxBatch is the maximum number of inputs that are applied before the outputs
// of the engine are handled.
const maxBatch = 64

// taskSender sends tasks and cancellations to minions. Start returns false, and
// sends nothing, when the maximum number of starts is in progress.
type taskSender interface {
	Start(s engine.Start) bool
	Cancel(c engine.Cancel)
}

// messenger sends messages to peers. Send reports whether the message was queued.
type messenger interface {
	Send(to string, b peer.Body) bool
	SetPeers(peers []membership.Host)
}

// core holds the state of the core goroutine, the only one that uses the engine.
type core struct {
	engine         *engine.Engine
	requests       *ring.Ring[input] // from HTTP handlers and the controller
	outcomes       *ring.Ring[input] // of started tasks; has room for every start in progress, so it is never full
	messages       *inbox            // from peers
	waiters        map[job.ID][]waiter
	sender         taskSender
	messenger      messenger
	metrics        *telemetry.Metrics
	recorder       *recorder
	log            *slog.Logger
	tick           time.Duration
	done           chan struct{}
	onHostsChanged func(hosts []membership.Host)
	appliedConfig  *appliedConfig
	slowWrites     slowWrites
	model          *verdict.Model
}

// input is an event that the core goroutine applies to the engine.
type input interface {
	apply(c *core, now time.Time)
}

// run is the loop of the core goroutine. It applies inputs and handles the
// outputs of the engine until ctx ends.
func (c *core) run(ctx context.Context) {
	defer close(c.done)
	defer func() { c.logRecorderError(ctx, c.recorder.close()) }()
	ticker := time.NewTicker(c.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.handleTick(time.Now())
		case in := <-c.outcomes.C():
			c.applyBatch(in, c.outcomes)
		case in := <-c.requests.C():
			c.applyBatch(in, c.requests)
		case in := <-c.messages.C():
			c.applyBatch(in, c.messages.Ring)
		}
		c.handleOutputs(ctx)
	}
}

func (c *core) handleTick(now time.Time) {
	c.model.RecordActivity(now)
	c.engine.Tick(now)
	c.logRecorderError(context.Background(), c.recorder.flush())
}

func (c *core) applyInput(in input) {
	now := time.Now()
	c.model.RecordActivity(now)
	in.apply(c, now)
}

// applyBatch applies first and the inputs queued in from, up to maxBatch inputs.
func (c *core) applyBatch(first input, from *ring.Ring[input]) {
	c.applyInput(first)
	for range maxBatch - 1 {
		select {
		case in := <-from.C():
			c.applyInput(in)
		default:
			return
		}
	}
}

// handleOutputs carries out the outputs of the engine. A start that the sender
// refuses is reported to the engine as disproved; that may produce further
// outputs, so it repeats until no start is refused.
func (c *core) handleOutputs(ctx context.Context) {
	c.appliedConfig.update(time.Now(), c.engine)
	for {
		r := c.engine.Ready()
		for _, e := range r.Events {
			event.Log(ctx, c.log, e.ID, e.Attrs...)
		}
		for _, a := range r.Answers {
			c.deliverAnswer(a)
		}
		for _, id := range r.Pending {
			c.deliverJobPending(id)
		}
		if r.Hosts != nil {
			c.messenger.SetPeers(r.Hosts)
			c.onHostsChanged(r.Hosts)
		}
		for _, m := range r.Messages {
			if c.messenger.Send(m.To, m.Body) {
				c.metrics.PeerMessagesSent.Add(1)
			}
		}
		for _, x := range r.Cancels {
			c.sender.Cancel(x)
		}
		refused := c.sendStarts(r.Starts)
		if !refused {
			return
		}
	}
}

func (c *core) sendStarts(starts []engine.Start) (refused bool) {
	for i := range starts {
		s := &starts[i]
		c.metrics.TaskStarts.Add(1)
		c.model.RecordStart(time.Now(), s.Service, s.Minion, s.Task)
		if c.sender.Start(*s) {
			continue
		}
		refused = true
		c.model.RecordDisprovedStart(s.Service, s.Task)
		c.engine.TaskDisproved(time.Now(), s.Task, s.Minion, result.Busy)
	}
	return refused
}

func (c *core) deliverAnswer(a *job.Answer) {
	c.metrics.JobsAnswered.Add(a.Code.String(), 1)
	for _, w := range c.waiters[a.ID] {
		w.out <- a // doesn't block: the channel is buffered and gets only one answer
	}
	delete(c.waiters, a.ID)
}

// deliverJobPending answers the requests that don't wait for the end of the job
// with JobPending: a search has found that the job is in progress on another
// host. The other requests remain registered.
func (c *core) deliverJobPending(id job.ID) {
	var kept []waiter
	for _, w := range c.waiters[id] {
		if w.untilEnd {
			kept = append(kept, w)
			continue
		}
		w.out <- &job.Answer{ID: id, Code: result.JobPending}
	}
	c.waiters[id] = kept
}

// waiter is a request that waits for the answer of a job.
type waiter struct {
	out      chan *job.Answer
	untilEnd bool // waits until the job has ended, not only until its owner is found
}

// submitInput is a caller's request to submit a job.
type submitInput struct {
	job  *job.Submission
	wait bool
	out  chan reply
}

// reply is the immediate reply to a submitInput or lookupInput. If deferred is
// not nil, answer and err are nil and deferred receives the answer later.
type reply struct {
	answer   *job.Answer
	err      *result.Error
	deferred chan *job.Answer
}

func (s *submitInput) apply(c *core, now time.Time) {
	c.metrics.JobsSubmitted.Add(1)
	answer, err := c.engine.Submit(now, s.job)
	if err != nil {
		c.metrics.JobsRefused.Add(1)
	}
	c.respond(s.job.ID, answer, err, s.wait, s.out)
}

// respond sends the reply to out. If there is neither an answer nor an error
// yet, it registers the request as a waiter: until the job ends if wait is set,
// otherwise only while a search for the owner of the key is in progress.
func (c *core) respond(id job.ID, answer *job.Answer, err *result.Error, wait bool, out chan reply) {
	r := reply{answer: answer, err: err}
	if answer == nil && err == nil && (wait || c.engine.Searching(id)) {
		r.deferred = make(chan *job.Answer, 1)
		c.waiters[id] = append(c.waiters[id], waiter{out: r.deferred, untilEnd: wait})
	}
	out <- r
}

// lookupInput is a request to fetch a job's answer or, if cancel is set, to cancel
// the job.
type lookupInput struct {
	id     job.ID
	cancel bool
	wait   bool
	out    chan reply
}

func (l *lookupInput) apply(c *core, now time.Time) {
	answer, err := c.engine.Lookup(now, l.id, l.cancel)
	c.respond(l.id, answer, err, l.wait, l.out)
}

// taskOutcome reports how the start of a task ended. If disproved is set, it is
// certain that the minion did not run the task.
type taskOutcome struct {
	task      job.TaskID
	service   string
	minion    string
	disproved bool
	outcome   job.Outcome
}

func (o *taskOutcome) apply(c *core, now time.Time) {
	if o.disproved {
		c.metrics.TaskStartsDisproved.Add(1)
		c.model.RecordDisprovedStart(o.service, o.task)
		c.engine.TaskDisproved(now, o.task, o.minion, o.outcome.Code)
		return
	}
	if o.outcome.Code.Class() == result.MayHaveRun {
		c.metrics.TaskStartsUnknown.Add(1)
	}
	c.model.RecordOutcome(o.service, o.minion, o.task, o.outcome)
	c.engine.TaskFinished(now, o.task, o.minion, o.outcome)
}

// peerMessage is a message received from a peer.
type peerMessage struct {
	from        string
	incarnation membership.Incarnation
	body        peer.Body
}

func (m *peerMessage) apply(c *core, now time.Time) {
	c.metrics.PeerMessagesReceived.Add(1)
	c.messages.release(m)
	c.engine.Receive(now, m.from, m.incarnation, m.body)
	if _, ok := m.body.(*peer.Heartbeat); ok {
		if p := c.engine.Members().Get(m.from); p != nil {
			c.model.RecordPeerRoundTrip(m.from, p.LastRoundTrip)
		}
	}
}

// coreCall runs f in the core goroutine and then closes done. It serves operations
// that are rare compared with submissions: requests of minions and operators, new
// configuration versions and the shutdown.
type coreCall struct {
	f    func(e *engine.Engine, now time.Time)
	done chan struct{}
}

func (k *coreCall) apply(c *core, now time.Time) {
	k.f(c.engine, now)
	close(k.done)
}
