package daemon

import (
	"context"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// answerGrace is how long Submit waits for the job's answer after the deadline of
// the submission. The engine produces that answer by its next tick.
const answerGrace = 100 * time.Millisecond

// Submit implements api.Daemon. A repetition may attach to a job in progress whose
// deadline is later. Submit then returns DeadlineUnknown at the deadline of the
// repetition and doesn't wait for the job's answer.
func (d *Daemon) Submit(ctx context.Context, s *job.Submission, wait bool) (*job.Answer, *result.Error) {
	in := &submitInput{job: s, wait: wait, out: make(chan reply, 1)}
	bounded, cancel := context.WithDeadline(ctx, s.Deadline.Add(answerGrace))
	defer cancel()
	answer, err := d.enqueueAndWait(bounded, in, in.out)
	if answer == nil && err == nil && wait && ctx.Err() == nil {
		return nil, result.Errorf(result.DeadlineUnknown, "the job goes on under the deadline of another attempt")
	}
	if err != nil && err.Code == result.Busy && s.Attempt != 1 {
		// Busy would mean that no task has started, but an earlier attempt may be
		// in progress here.
		err = result.Errorf(result.OwnerUnknown, "%s", err.Detail)
	}
	return answer, err
}

// Fetch implements api.Daemon.
func (d *Daemon) Fetch(ctx context.Context, id job.ID, wait bool) (*job.Answer, *result.Error) {
	in := &lookupInput{id: id, wait: wait, out: make(chan reply, 1)}
	return d.enqueueAndWait(ctx, in, in.out)
}

// Cancel implements api.Daemon.
func (d *Daemon) Cancel(ctx context.Context, id job.ID, wait bool) (*job.Answer, *result.Error) {
	in := &lookupInput{id: id, cancel: true, wait: wait, out: make(chan reply, 1)}
	return d.enqueueAndWait(ctx, in, in.out)
}

// enqueueAndWait passes in to the core goroutine and waits for its reply on out and,
// if that is deferred, for the answer. It returns neither an answer nor an error
// when the job is in progress and the request doesn't wait, or when ctx ends.
func (d *Daemon) enqueueAndWait(ctx context.Context, in input, out chan reply) (*job.Answer, *result.Error) {
	if !d.core.requests.TryPush(in) {
		return nil, result.Errorf(result.Busy, "request ring of host %s", d.settings.Host)
	}
	var r reply
	select {
	case r = <-out:
	case <-d.core.done:
		return nil, result.Errorf(result.OwnerUnknown, "host %s stopped", d.settings.Host)
	}
	if r.deferred == nil {
		return r.answer, r.err
	}
	select {
	case a := <-r.deferred:
		return a, nil
	case <-ctx.Done():
		return nil, nil
	case <-d.core.done:
		return nil, result.Errorf(result.OwnerUnknown, "host %s stopped", d.settings.Host)
	}
}

// runInCore runs f in the core goroutine and waits until f returns. It returns Busy
// without running f when the request ring is full, and Stopping when the core
// goroutine has ended; f may have run then.
func (d *Daemon) runInCore(f func(e *engine.Engine, now time.Time)) *result.Error {
	k := &coreCall{f: f, done: make(chan struct{})}
	if !d.core.requests.TryPush(k) {
		return result.Errorf(result.Busy, "request ring of host %s", d.settings.Host)
	}
	select {
	case <-k.done:
		return nil
	case <-d.core.done:
		return result.Errorf(result.Stopping, "host %s stopped", d.settings.Host)
	}
}

// Announce implements api.Daemon.
func (d *Daemon) Announce(_ context.Context, a minion.Announcement) (time.Duration, *result.Error) {
	var err *result.Error
	if e := d.runInCore(func(e *engine.Engine, now time.Time) { err = e.Announce(now, a) }); e != nil {
		return 0, e
	}
	return d.minionLease, err
}

// Renew implements api.Daemon.
func (d *Daemon) Renew(_ context.Context, name string, generation uint64) (time.Duration, *result.Error) {
	var err *result.Error
	if e := d.runInCore(func(e *engine.Engine, now time.Time) { err = e.Renew(now, name, generation) }); e != nil {
		return 0, e
	}
	return d.minionLease, err
}

// Leave implements api.Daemon.
func (d *Daemon) Leave(_ context.Context, name string, generation uint64) *result.Error {
	var err *result.Error
	if e := d.runInCore(func(e *engine.Engine, _ time.Time) { err = e.Leave(name, generation) }); e != nil {
		return e
	}
	return err
}

// Ready implements api.Daemon.
func (d *Daemon) Ready() bool { return d.ready.Load() && !d.core.appliedConfig.drained.Load() }

// Status implements api.Daemon.
func (d *Daemon) Status(context.Context) (api.StatusResponse, *result.Error) {
	var s api.StatusResponse
	err := d.runInCore(func(e *engine.Engine, now time.Time) { s = newStatusResponse(e, now, d.startedAt) })
	s.ConfigAgeMS = d.core.appliedConfig.age(time.Now()).Milliseconds()
	v := d.control.View()
	s.Disk, s.Voting = v.Disk, v.Voting
	return s, err
}

func newStatusResponse(e *engine.Engine, now, startedAt time.Time) api.StatusResponse {
	s := api.StatusResponse{
		Host:          e.Host().Name,
		FailureDomain: e.Host().FailureDomain,
		Incarnation:   string(e.Incarnation()),
		UptimeMS:      now.Sub(startedAt).Milliseconds(),
		Stopping:      e.Stopping(),
		Drained:       e.Drained(),
		ActiveJobs:    e.Jobs().Active(),
		Records:       e.Jobs().Records(),
		ConfigVersion: e.ConfigVersion(),
	}
	for _, p := range e.Members().All() {
		s.Hosts = append(s.Hosts, api.HostInfo{
			Name:             p.Name,
			FailureDomain:    p.FailureDomain,
			Region:           p.Region,
			Up:               p.Up(),
			RoundTripUS:      p.RoundTrip.Microseconds(),
			ConfigVersion:    p.ConfigVersion,
			ConfigAgeMS:      ageMS(now, p.ConfigSince),
			LastMessageAgeMS: ageMS(now, p.LastHeard),
		})
	}
	for _, m := range e.Minions().All() {
		s.Minions = append(s.Minions, newMinionInfo(m, now))
	}
	return s
}

// ageMS returns the milliseconds from t to now, or -1 if t is zero.
func ageMS(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

func newMinionInfo(m *minion.Minion, now time.Time) api.MinionInfo {
	return api.MinionInfo{
		Name:     m.Name,
		Worker:   m.Worker,
		Rack:     m.Rack,
		Services: m.Services,
		Slots:    m.Slots,
		InUse:    m.InUse(),
		LeaseMS:  m.LeaseUntil.Sub(now).Milliseconds(),
		State:    m.State(now).String(),
	}
}

// Jobs implements api.Daemon. Jobs in progress are listed before ended ones.
func (d *Daemon) Jobs(_ context.Context, limit int) ([]api.JobInfo, *result.Error) {
	list := []api.JobInfo{}
	err := d.runInCore(func(e *engine.Engine, now time.Time) {
		add := func(j *job.Job) bool {
			if len(list) < limit {
				list = append(list, newJobInfo(j, now))
			}
			return len(list) < limit
		}
		e.Jobs().EachActive(func(j *job.Job) { add(j) })
		e.Jobs().Each(func(j *job.Job) bool { return !j.Ended() || add(j) })
	})
	return list, err
}

func newJobInfo(j *job.Job, now time.Time) api.JobInfo {
	i := api.JobInfo{
		Team:    j.ID.Team,
		Key:     j.ID.Key,
		Service: j.Service,
		AgeMS:   now.Sub(j.Accepted).Milliseconds(),
		Queued:  j.Queued(),
		Running: j.Running(),
		Done:    j.Done(),
		Ended:   j.Ended(),
	}
	if a := j.Answer(); a != nil {
		i.Code = a.Code
	}
	return i
}
