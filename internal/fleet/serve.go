package fleet

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/queue"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/pkg/errors"
)

// ErrNotSure is returned when no majority of the control hosts could tell or
// choose the newest document in time.
var ErrNotSure = errors.New("no majority of the control hosts answered in time")

// Ready reports whether the host should get callers.
func (h *Host) Ready() bool { return h.ready.Load() }

// Leaving reports whether the host shuts down.
func (h *Host) Leaving() bool { return h.leaving.Load() }

// documentWait is how long a request waits for the first document of a process
// that has just started: a control host tells it within a few beats.
const documentWait = 300 * time.Millisecond

// AwaitDocument returns the document in force, or nil when none has come soon.
func (h *Host) AwaitDocument(ctx context.Context) *queue.Document {
	if d := h.document.Load(); d != nil {
		return d
	}
	select {
	case <-h.known:
	case <-ctx.Done():
	case <-time.After(documentWait):
	}
	return h.document.Load()
}

// Job is one job of a caller.
type Job struct {
	ID       string
	Request  string // the caller's name for this request, for logs
	Queue    *queue.Queue
	Payload  string
	Steps    []peer.TaskStep
	Deadline time.Time // when the caller stops waiting
}

// Submit runs a job and waits for its end. When ctx ends before, the caller is
// gone: the job is stopped.
func (h *Host) Submit(ctx context.Context, j *Job) entry.Outcome {
	o := peer.JobOffer{
		Job: j.ID, Queue: j.Queue.Name, Service: j.Queue.Service, Payload: j.Payload, Steps: j.Steps,
		Attempts: j.Queue.Attempts, StretchPct: j.Queue.StretchPct, AddMS: j.Queue.AddMS,
	}
	deadline := j.Deadline
	if end := h.closesAt.Load(); end != nil && end.Before(deadline) {
		deadline = *end // jobs that would take longer are refused
	}
	if !time.Now().Before(deadline) {
		return h.Refuse(j.ID, j.Request, j.Queue.Name, "the host shuts down")
	}
	h.note(event.EntryJobAccepted, slog.String("job", j.ID), slog.String("request", j.Request), slog.String("queue", j.Queue.Name),
		slog.Int64("left_ms", time.Until(deadline).Milliseconds()), slog.Uint64("document", h.control.View().Version))
	out := make(chan entry.Outcome, 1)
	var waiter uint64
	ok := h.push(func(now time.Time) {
		waiter = h.decisions.submit(now, o, deadline, out)
	})
	if !ok {
		return h.Refuse(j.ID, j.Request, j.Queue.Name, "ring of the decisions is full")
	}
	begin := time.Now()
	select {
	case r := <-out:
		h.metrics.answered(j.Queue.Name, &r, time.Since(begin))
		return r
	case <-ctx.Done():
	case <-h.done:
	}
	h.push(func(now time.Time) {
		h.decisions.callerLeft(now, j.ID, waiter)
	})
	return entry.Outcome{Outcome: peer.JobUnknown, Reason: "caller is gone"}
}

// Refuse refuses a job that no decision is made about, and logs it. queue is
// empty where it is not known.
func (h *Host) Refuse(job, request, queue, reason string) entry.Outcome {
	o := entry.Outcome{Outcome: peer.JobRefused, RetryMS: busyRetry.Milliseconds(), Reason: reason}
	h.note(event.EntryJobAnswered, slog.String("job", job), slog.String("request", request), slog.String("queue", queue),
		slog.Int("outcome", int(o.Outcome)), slog.String("reason", reason), slog.Int64("retry_ms", o.RetryMS))
	h.metrics.answered(queue, &o, 0)
	return o
}

// busyRetry is what a caller is told when the host is out of room for inputs.
const busyRetry = 500 * time.Millisecond

// Announce takes a minion's announcement and reports whether there was room: a
// minion that drains relies on its acknowledgement.
func (h *Host) Announce(m peer.MinionRecord) bool {
	return h.push(func(now time.Time) { h.decisions.announced(now, m) })
}

// Gone takes a minion's word that it ends and reports whether there was room.
func (h *Host) Gone(id string) bool {
	return h.push(func(now time.Time) { h.decisions.minionGone(now, id) })
}

// Newest returns a document that was certainly the newest at some moment since
// the call; nil: none was declared yet. The error is ErrNotSure.
func (h *Host) Newest(ctx context.Context) (*queue.Document, error) {
	v, ok := h.control.Newest(ctx)
	if !ok {
		return nil, ErrNotSure
	}
	if v.Record == nil {
		return nil, nil
	}
	return queue.Decode(v.Record)
}

// Declare gets a document accepted. One that is not newer than the document in
// force changes nothing. The error is ErrNotSure when it may be chosen or not.
func (h *Host) Declare(ctx context.Context, d *queue.Document) error {
	encoded, err := d.Encode()
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		v := h.control.View()
		if v.Record != nil {
			held, err := queue.Decode(v.Record)
			if err != nil {
				return err
			}
			if held.Version >= d.Version {
				_, err := h.Newest(ctx)
				return err
			}
		}
		o := h.control.Propose(ctx, control.Proposal{Command: uuid.NewString(), Operator: h.self.Name, Base: v.Version, Document: encoded})
		switch o.Code {
		case result.OK:
			return nil
		case result.VersionTaken, result.PlanStale:
			continue // others were first; the newest decides again
		default:
			return errors.WithMessage(ErrNotSure, o.Detail)
		}
	}
	return ErrNotSure
}

// Leave begins the shutdown: another host takes the minions over, and callers
// go elsewhere. Jobs that would not end within the bound are refused.
func (h *Host) Leave(bound time.Duration) {
	end := time.Now().Add(bound)
	h.closesAt.Store(&end)
	h.leaving.Store(true)
	h.ready.Store(false)
	h.note(event.StopRequested, slog.String("host", h.self.Name))
	h.push(func(now time.Time) { h.decisions.shutDown(now) })
}

// Reload takes over what may change in a running process: the seeds.
func (h *Host) Reload(seeds []string) {
	h.SetSeeds(seeds)
	h.note(event.Reloaded, slog.Any("seeds", seeds))
}

// SettingsRefused logs a settings file that was not taken over.
func (h *Host) SettingsRefused(err error) {
	h.note(event.SettingsRefused, slog.String("error", err.Error()))
}

// Pending returns the number of a queue's jobs that this host dispatches and
// for which no task has started.
func (h *Host) Pending(queue string) int {
	if byQueue := h.waiting.Load(); byQueue != nil {
		return (*byQueue)[queue]
	}
	return 0
}

// abandonWait bounds the wait for the decisions at the end of a shutdown.
const abandonWait = 50 * time.Millisecond

// AbandonJobs answers the callers that still wait, at the end of a shutdown.
func (h *Host) AbandonJobs() {
	done := make(chan struct{})
	ok := h.push(func(now time.Time) {
		h.decisions.table.Abandon(now, "the host shut down")
		close(done)
	})
	if !ok {
		return
	}
	select {
	case <-done:
	case <-time.After(abandonWait):
	}
}
