// Package daemon runs the duties of an entry host: one goroutine for the
// decisions, pools for sending, connections to peers and HTTP listeners,
// joined by bounded rings.
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

// maxBatch is how many inputs are handled before their consequences are sent.
const maxBatch = 64

// starter sends tasks to minions. Start reports false, and does nothing, when
// the sender has no room.
type starter interface {
	Start(s engine.Start) bool
	Cancel(c engine.Cancel)
}

// messenger sends messages to peers.
type messenger interface {
	Send(to string, b peer.Body) bool
	SetPeers(peers []membership.Host)
}

// core is the decision duty: the only goroutine that touches the engine.
type core struct {
	engine       *engine.Engine
	requests     *ring.Ring[input] // from HTTP handlers
	outcomes     *ring.Ring[input] // of started tasks; sized so that it is never full
	messages     *inbox            // from peers
	waiters      map[job.ID][]waiter
	sender       starter
	mesh         messenger
	metrics      *telemetry.Metrics
	recorder     *recorder
	log          *slog.Logger
	tick         time.Duration
	done         chan struct{}
	hostsChanged func(hosts []membership.Host)
	inForce      *inForce
	writes       writes
	model        *verdict.Model
}

// input is one event for the decision duty.
type input interface {
	apply(c *core, now time.Time)
}

// run handles inputs until ctx ends.
func (c *core) run(ctx context.Context) {
	defer close(c.done)
	defer func() { c.reportRecorder(ctx, c.recorder.close()) }()
	ticker := time.NewTicker(c.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tickNow(time.Now())
		case in := <-c.outcomes.C():
			c.batch(in, c.outcomes)
		case in := <-c.requests.C():
			c.batch(in, c.requests)
		case in := <-c.messages.C():
			c.batch(in, c.messages.Ring)
		}
		c.flush(ctx)
	}
}

func (c *core) tickNow(now time.Time) {
	c.model.RecordActivity(now)
	c.engine.Tick(now)
	c.reportRecorder(context.Background(), c.recorder.flush())
}

func (c *core) apply(in input) {
	now := time.Now()
	c.model.RecordActivity(now)
	in.apply(c, now)
}

// batch applies first and what else the ring holds, up to maxBatch inputs.
func (c *core) batch(first input, from *ring.Ring[input]) {
	c.apply(first)
	for range maxBatch - 1 {
		select {
		case in := <-from.C():
			c.apply(in)
		default:
			return
		}
	}
}

// flush carries out what the engine decided. A start that finds no room in
// the sender is disproved, which may lead to further decisions.
func (c *core) flush(ctx context.Context) {
	c.inForce.update(time.Now(), c.engine)
	for {
		r := c.engine.Ready()
		for _, e := range r.Events {
			event.Log(ctx, c.log, e.ID, e.Attrs...)
		}
		for _, a := range r.Answers {
			c.deliver(a)
		}
		for _, id := range r.Pending {
			c.deliverPending(id)
		}
		if r.Hosts != nil {
			c.mesh.SetPeers(r.Hosts)
			c.hostsChanged(r.Hosts)
		}
		for _, m := range r.Messages {
			if c.mesh.Send(m.To, m.Body) {
				c.metrics.PeerSent.Add(1)
			}
		}
		for _, x := range r.Cancels {
			c.sender.Cancel(x)
		}
		refused := c.start(r.Starts)
		if !refused {
			return
		}
	}
}

func (c *core) start(starts []engine.Start) (refused bool) {
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

func (c *core) deliver(a *job.Answer) {
	c.metrics.Answered.Add(a.Code.String(), 1)
	for _, w := range c.waiters[a.ID] {
		w.out <- a // each has room for its one answer
	}
	delete(c.waiters, a.ID)
}

// deliverPending answers the requesters who do not want to wait for the end
// of a job in progress on another host.
func (c *core) deliverPending(id job.ID) {
	var kept []waiter
	for _, w := range c.waiters[id] {
		if w.patient {
			kept = append(kept, w)
			continue
		}
		w.out <- &job.Answer{ID: id, Code: result.JobPending}
	}
	c.waiters[id] = kept
}

// waiter is a request that waits for an answer.
type waiter struct {
	out     chan *job.Answer
	patient bool // until the job has ended, not only until its owner is found
}

// submission is a caller's request.
type submission struct {
	job  *job.Submission
	wait bool
	out  chan submitted
}

// submitted is the immediate reply to a submission or fetch. When answer and
// err are nil and the requester waits, wait gets the answer later.
type submitted struct {
	answer *job.Answer
	err    *result.Error
	wait   chan *job.Answer
}

func (s *submission) apply(c *core, now time.Time) {
	c.metrics.Submitted.Add(1)
	answer, err := c.engine.Submit(now, s.job)
	if err != nil {
		c.metrics.Refused.Add(1)
	}
	c.respond(s.job.ID, answer, err, s.wait, s.out)
}

// respond replies at once, or registers the requester as a waiter. One who
// does not want to wait still waits for the search of the key's owner.
func (c *core) respond(id job.ID, answer *job.Answer, err *result.Error, wait bool, out chan submitted) {
	r := submitted{answer: answer, err: err}
	if answer == nil && err == nil && (wait || c.engine.Searching(id)) {
		r.wait = make(chan *job.Answer, 1)
		c.waiters[id] = append(c.waiters[id], waiter{out: r.wait, patient: wait})
	}
	out <- r
}

// lookup is a fetch of a job's answer, or a cancellation.
type lookup struct {
	id     job.ID
	cancel bool
	wait   bool
	out    chan submitted
}

func (l *lookup) apply(c *core, now time.Time) {
	answer, err := c.engine.Lookup(now, l.id, l.cancel)
	c.respond(l.id, answer, err, l.wait, l.out)
}

// outcome is the end of a start.
type outcome struct {
	task      job.TaskID
	service   string
	minion    string
	disproved bool
	outcome   job.Outcome
}

func (o *outcome) apply(c *core, now time.Time) {
	if o.disproved {
		c.metrics.TaskDisproved.Add(1)
		c.model.RecordDisprovedStart(o.service, o.task)
		c.engine.TaskDisproved(now, o.task, o.minion, o.outcome.Code)
		return
	}
	if o.outcome.Code.Class() == result.MayHaveRun {
		c.metrics.TaskUnknown.Add(1)
	}
	c.model.RecordOutcome(o.service, o.minion, o.task, o.outcome)
	c.engine.TaskFinished(now, o.task, o.minion, o.outcome)
}

// message is a peer's message.
type message struct {
	from string
	inc  membership.Incarnation
	body peer.Body
}

func (m *message) apply(c *core, now time.Time) {
	c.metrics.PeerReceived.Add(1)
	c.messages.taken(m)
	c.engine.Receive(now, m.from, m.inc, m.body)
	if _, ok := m.body.(*peer.Heartbeat); ok {
		if p := c.engine.Members().Get(m.from); p != nil {
			c.model.RecordPeerRoundTrip(m.from, p.LastRoundTrip)
		}
	}
}

// call runs a function in the decision duty, for the rare requests of minions
// and operators.
type call struct {
	f   func(e *engine.Engine, now time.Time)
	out chan struct{}
}

func (k *call) apply(c *core, now time.Time) {
	k.f(c.engine, now)
	close(k.out)
}
