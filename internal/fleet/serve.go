package fleet

import (
	"context"
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/queue"
	"github.com/pkg/errors"
)

// ErrNoMajority is returned when no majority of the control hosts answered in time, so
// that the newest document, or whether a declared one is chosen, is unknown.
var ErrNoMajority = errors.New("no majority of the control hosts answered in time")

// Ready reports whether the host can serve callers: it has a document, knows a
// dispatcher and is not shutting down.
func (h *Host) Ready() bool { return h.ready.Load() }

// ShuttingDown reports whether a shutdown has begun.
func (h *Host) ShuttingDown() bool { return h.shuttingDown.Load() }

// firstDocumentPeriod is the time since the start of a process within which a control host
// sends it the first document, also when all machines start at the same time. Until then
// requests wait for it: most can still be served in time.
const firstDocumentPeriod = 1200 * time.Millisecond

// AwaitDocument returns the applied document. If there is none yet, it waits until
// firstDocumentPeriod since the start of the process and then returns nil; later it
// returns nil at once.
func (h *Host) AwaitDocument(ctx context.Context) *queue.Document {
	if d := h.document.Load(); d != nil {
		return d
	}
	wait := time.NewTimer(firstDocumentPeriod - time.Since(h.startedAt))
	defer wait.Stop()
	select {
	case <-h.documentKnown:
	case <-ctx.Done():
	case <-wait.C:
	}
	return h.document.Load()
}

// Job is a job that a caller submits.
type Job struct {
	ID       string
	Request  string // the caller's ID of this request, for logs
	Queue    *queue.Queue
	Payload  string
	Steps    []peer.TaskStep
	Deadline time.Time // when the caller stops waiting
}

// Submit runs a job and returns its outcome. ctx must end when the caller's
// connection does; if the job has not ended by then, it is cancelled.
func (h *Host) Submit(ctx context.Context, j *Job) entry.Outcome {
	o := peer.JobOffer{
		Job: j.ID, Queue: j.Queue.Name, Service: j.Queue.Service, Payload: j.Payload, Steps: j.Steps,
		Attempts: j.Queue.Attempts, StretchPct: j.Queue.StretchPct, AddMS: j.Queue.AddMS,
	}
	deadline := j.Deadline
	if end := h.shutdownDeadline.Load(); end != nil && end.Before(deadline) {
		deadline = *end // refuses jobs that would outlast the shutdown
	}
	if !time.Now().Before(deadline) {
		return h.Refuse(j.ID, j.Request, j.Queue.Name, "the host shuts down")
	}
	h.logEvent(event.EntryJobAccepted, slog.String("job", j.ID), slog.String("request", j.Request), slog.String("queue", j.Queue.Name),
		slog.Int64("left_ms", time.Until(deadline).Milliseconds()), slog.Uint64("document", h.control.View().Version))
	out := make(chan entry.Outcome, 1)
	var waiter uint64
	ok := h.enqueue(func(now time.Time) {
		waiter = h.core.submit(now, o, deadline, out)
	})
	if !ok {
		return h.Refuse(j.ID, j.Request, j.Queue.Name, "ring of the decisions is full")
	}
	begin := time.Now()
	select {
	case r := <-out:
		h.metrics.jobAnswered(j.Queue.Name, &r, time.Since(begin))
		return r
	case <-ctx.Done():
	case <-h.done:
	}
	h.enqueueWaiting(func(now time.Time) {
		h.core.callerDisconnected(now, j.ID, waiter)
	})
	return entry.Outcome{Outcome: peer.JobUnknown, Reason: "caller is gone"}
}

// Refuse refuses a job before it reaches the core; it logs and counts the refusal.
// queue is empty if it is not known.
func (h *Host) Refuse(job, request, queue, reason string) entry.Outcome {
	o := entry.Outcome{Outcome: peer.JobRefused, RetryMS: busyRetryAfter.Milliseconds(), Reason: reason}
	h.logEvent(event.EntryJobUnsuccessful, slog.String("job", job), slog.String("request", request), slog.String("queue", queue),
		slog.Int("outcome", int(o.Outcome)), slog.String("reason", reason), slog.Int64("retry_ms", o.RetryMS))
	h.metrics.jobAnswered(queue, &o, 0)
	return o
}

// busyRetryAfter is the delay after which a refused caller may retry.
const busyRetryAfter = 500 * time.Millisecond

// DeleteJob ends a job that its caller has deleted, at whatever entry host it is. It returns
// within deletionTimeout or when ctx ends.
func (h *Host) DeleteJob(ctx context.Context, id string) Deletion {
	out := make(chan Deletion, 1)
	ok := h.enqueue(func(now time.Time) {
		if !h.core.deleteJob(now, id, out) {
			out <- DeletionUnconfirmed
		}
	})
	if !ok {
		return DeletionUnconfirmed
	}
	select {
	case d := <-out:
		return d
	case <-ctx.Done():
	case <-h.done:
	}
	return DeletionUnconfirmed
}

// announceTimeout bounds how long Announce waits for the core.
const announceTimeout = 500 * time.Millisecond

// Announce passes on a minion's announcement. It returns false if it had no effect in time,
// for example because the input ring is full; the announcement must not be acknowledged then,
// because a draining minion relies on the acknowledgement.
func (h *Host) Announce(m peer.MinionRecord) bool {
	d := h.document.Load()
	named := d == nil || d.HasService(m.Service)
	out := make(chan bool, 1)
	if !h.enqueue(func(now time.Time) { out <- h.core.minionAnnounced(now, m, named) }) {
		return false
	}
	timer := time.NewTimer(announceTimeout)
	defer timer.Stop()
	select {
	case ok := <-out:
		return ok
	case <-timer.C:
	case <-h.done:
	}
	return false
}

// MinionLeft queues a minion's notice that it stops. It returns false if the input ring
// is full.
func (h *Host) MinionLeft(id string) bool {
	return h.enqueue(func(now time.Time) { h.core.minionLeft(now, id) })
}

// NewestDocument returns a document that was the newest at some time during the call, as
// confirmed by a majority of the control hosts; nil if none has been declared yet.
// It returns ErrNoMajority if no majority answers.
func (h *Host) NewestDocument(ctx context.Context) (*queue.Document, error) {
	v, ok := h.control.ReadNewest(ctx)
	if !ok {
		return nil, ErrNoMajority
	}
	if v.Record == nil {
		return nil, nil
	}
	d, err := queue.Decode(v.Record)
	if err != nil || !d.Declared() {
		return nil, err
	}
	return d, nil
}

// DeclareDocument proposes a document until it or a newer one is chosen. A document that is
// not newer than the newest known one changes nothing. It returns ErrNoMajority if the
// outcome is unknown: the document may be chosen later or not at all. The evacuations
// of the newest version stay in force.
func (h *Host) DeclareDocument(ctx context.Context, d *queue.Document) error {
	return changeDocument(ctx, h.control, h.self.Name, declaration(d))
}

// declaration returns the change that replaces an older document by d.
func declaration(d *queue.Document) func(known *queue.Document) *queue.Document {
	return func(known *queue.Document) *queue.Document {
		if known.Declared() && known.Version >= d.Version {
			return nil
		}
		next := *d
		next.Evacuations = known.Evacuations
		return &next
	}
}

// BeginShutdown begins the shutdown: another host takes over the minions, and Ready becomes
// false, so that callers connect to other hosts. New jobs get a deadline of at most
// bound from now, so that longer ones are refused.
func (h *Host) BeginShutdown(bound time.Duration) {
	end := time.Now().Add(bound)
	h.shutdownDeadline.Store(&end)
	h.shuttingDown.Store(true)
	h.ready.Store(false)
	h.logEvent(event.StopRequested, slog.String("host", h.self.Name))
	go h.enqueueWaiting(func(now time.Time) { h.core.beginShutdown(now) }) // the shutdown must not wait for a busy core
}

// Reload applies new seeds, the only setting that may change in a running process.
func (h *Host) Reload(seeds []string) {
	h.SetSeeds(seeds)
	h.logEvent(event.SettingsReloaded, slog.Any("seeds", seeds))
}

// LogSettingsRefused logs that a settings file is invalid and was not applied.
func (h *Host) LogSettingsRefused(err error) {
	h.logEvent(event.SettingsRefused, slog.String("error", err.Error()))
}

// UnstartedJobs returns the number of a queue's jobs that this host dispatches and of
// which no task has started.
func (h *Host) UnstartedJobs(queue string) int {
	if byQueue := h.unstartedJobs.Load(); byQueue != nil {
		return (*byQueue)[queue]
	}
	return 0
}

// abandonTimeout bounds how long AbandonJobs waits for the core.
const abandonTimeout = 50 * time.Millisecond

// AbandonJobs answers the callers that are still waiting at the end of a shutdown.
func (h *Host) AbandonJobs() {
	done := make(chan struct{})
	ok := h.enqueue(func(now time.Time) {
		h.core.jobTable.Abandon(now, "the host shut down")
		close(done)
	})
	if !ok {
		return
	}
	select {
	case <-done:
	case <-time.After(abandonTimeout):
	}
}
