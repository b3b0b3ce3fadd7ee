package daemon

import (
	"context"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// maxSlowWrites is the number of answers whose write times are kept for Explain.
const maxSlowWrites = 4096

// slowWrites keeps the write times of the latest maxSlowWrites answers that were
// slow to encode or write. It evicts the oldest one when it is full.
type slowWrites struct {
	byJob  map[job.ID]writeTimes
	order  []job.ID // keys of byJob; a ring buffer of maxSlowWrites entries
	oldest int      // index of the oldest entry, once order is full
}

// writeTimes holds the time that encoding and writing a job's answer took. It is
// an input of the core goroutine.
type writeTimes struct {
	id            job.ID
	encode, write time.Duration
}

func newSlowWrites() slowWrites { return slowWrites{byJob: make(map[job.ID]writeTimes)} }

func (w *slowWrites) add(x writeTimes) {
	if _, known := w.byJob[x.id]; !known {
		if len(w.order) < maxSlowWrites {
			w.order = append(w.order, x.id)
		} else {
			delete(w.byJob, w.order[w.oldest])
			w.order[w.oldest] = x.id
			w.oldest = (w.oldest + 1) % maxSlowWrites
		}
	}
	w.byJob[x.id] = x
}

func (w *writeTimes) apply(c *core, _ time.Time) { c.slowWrites.add(*w) }

// RecordWriteTimes implements api.Daemon. The times are dropped when the request ring is
// full; Explain then returns the answer without them.
func (d *Daemon) RecordWriteTimes(id job.ID, encode, write time.Duration) {
	d.core.requests.TryPush(&writeTimes{id: id, encode: encode, write: write})
}

// Explain implements api.Daemon.
func (d *Daemon) Explain(_ context.Context, id job.ID) (*job.Answer, *result.Error) {
	var a *job.Answer
	var err *result.Error
	queryErr := d.runInCore(func(e *engine.Engine, _ time.Time) { a, err = d.core.explain(e, id) })
	if queryErr != nil {
		return nil, queryErr
	}
	return a, err
}

// explain returns a copy of the job's answer without the results. If the answer
// was slow to write, the copy includes the write times, and its verdict is
// recomputed when writing took longer than the part that the verdict names.
func (c *core) explain(e *engine.Engine, id job.ID) (*job.Answer, *result.Error) {
	j := e.Jobs().Get(id)
	switch {
	case j == nil:
		return nil, result.Errorf(result.JobUnknown, "job %s is not owned by this host", id)
	case !j.Ended():
		return nil, &result.Error{Code: result.JobPending}
	}
	a := *j.Answer()
	a.Results = nil
	if w, ok := c.slowWrites.byJob[id]; ok {
		a.Breakdown.Encode, a.Breakdown.Write = w.encode, w.write
		if w.write > time.Duration(a.Breakdown.Verdict.Share*float64(a.Breakdown.Total)) {
			c.model.SetVerdict(&a)
		}
	}
	return &a, nil
}
