package daemon

import (
	"context"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// maxWrites bounds the slow writes that are remembered for explanations.
const maxWrites = 4096

// writes remembers the most recent answers that were slow to encode or write.
type writes struct {
	times map[job.ID]written
	ring  []job.ID
	next  int
}

// written is how long encoding and writing an answer took. It is an input of
// the decision duty.
type written struct {
	id            job.ID
	encode, write time.Duration
}

func newWrites() writes { return writes{times: make(map[job.ID]written)} }

func (w *writes) add(x written) {
	if _, known := w.times[x.id]; !known {
		if len(w.ring) < maxWrites {
			w.ring = append(w.ring, x.id)
		} else {
			delete(w.times, w.ring[w.next])
			w.ring[w.next] = x.id
			w.next = (w.next + 1) % maxWrites
		}
	}
	w.times[x.id] = x
}

func (w *written) apply(c *core, _ time.Time) { c.writes.add(*w) }

// Written implements api.Core. A full ring drops it: only an explanation gets
// poorer.
func (d *Daemon) Written(id job.ID, encode, write time.Duration) {
	d.core.requests.TryPush(&written{id: id, encode: encode, write: write})
}

// Explain implements api.Core.
func (d *Daemon) Explain(_ context.Context, id job.ID) (*job.Answer, *result.Error) {
	var a *job.Answer
	var err *result.Error
	queryErr := d.query(func(e *engine.Engine, _ time.Time) { a, err = d.core.explain(e, id) })
	if queryErr != nil {
		return nil, queryErr
	}
	return a, err
}

// explain returns a copy of the job's answer, without results, that counts the
// time of writing it.
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
	if w, ok := c.writes.times[id]; ok {
		a.Breakdown.Encode, a.Breakdown.Write = w.encode, w.write
		if w.write > time.Duration(a.Breakdown.Verdict.Share*float64(a.Breakdown.Total)) {
			c.model.SetVerdict(&a)
		}
	}
	return &a, nil
}
