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

// answerGrace is how long after a submission's deadline the job's own answer is
// awaited; it is due by the next tick.
const answerGrace = 100 * time.Millisecond

// Submit implements api.Core. A repetition with an earlier deadline than the
// job that it joined is answered without it.
func (d *Daemon) Submit(ctx context.Context, s *job.Submission, wait bool) (*job.Answer, *result.Error) {
	in := &submission{job: s, wait: wait, out: make(chan submitted, 1)}
	bounded, cancel := context.WithDeadline(ctx, s.Deadline.Add(answerGrace))
	defer cancel()
	answer, err := d.await(bounded, in, in.out)
	if answer == nil && err == nil && wait && ctx.Err() == nil {
		return nil, result.Errorf(result.DeadlineUnknown, "the job goes on under the deadline of another attempt")
	}
	if err != nil && err.Code == result.Busy && s.Attempt != 1 {
		// An earlier attempt may be in progress here.
		err = result.Errorf(result.OwnerUnknown, "%s", err.Detail)
	}
	return answer, err
}

// Fetch implements api.Core.
func (d *Daemon) Fetch(ctx context.Context, id job.ID, wait bool) (*job.Answer, *result.Error) {
	in := &lookup{id: id, wait: wait, out: make(chan submitted, 1)}
	return d.await(ctx, in, in.out)
}

// Cancel implements api.Core.
func (d *Daemon) Cancel(ctx context.Context, id job.ID, wait bool) (*job.Answer, *result.Error) {
	in := &lookup{id: id, cancel: true, wait: wait, out: make(chan submitted, 1)}
	return d.await(ctx, in, in.out)
}

func (d *Daemon) await(ctx context.Context, in input, out chan submitted) (*job.Answer, *result.Error) {
	if !d.core.requests.TryPush(in) {
		return nil, result.Errorf(result.Busy, "request ring of host %s", d.settings.Host)
	}
	var r submitted
	select {
	case r = <-out:
	case <-d.core.done:
		return nil, result.Errorf(result.OwnerUnknown, "host %s stopped", d.settings.Host)
	}
	if r.wait == nil {
		return r.answer, r.err
	}
	select {
	case a := <-r.wait:
		return a, nil
	case <-ctx.Done():
		return nil, nil
	case <-d.core.done:
		return nil, result.Errorf(result.OwnerUnknown, "host %s stopped", d.settings.Host)
	}
}

// query runs f in the decision duty and waits for it.
func (d *Daemon) query(f func(e *engine.Engine, now time.Time)) *result.Error {
	k := &call{f: f, out: make(chan struct{})}
	if !d.core.requests.TryPush(k) {
		return result.Errorf(result.Busy, "request ring of host %s", d.settings.Host)
	}
	select {
	case <-k.out:
		return nil
	case <-d.core.done:
		return result.Errorf(result.Stopping, "host %s stopped", d.settings.Host)
	}
}

// Announce implements api.Core.
func (d *Daemon) Announce(_ context.Context, a minion.Announcement) (time.Duration, *result.Error) {
	var err *result.Error
	if e := d.query(func(e *engine.Engine, now time.Time) { err = e.Announce(now, a) }); e != nil {
		return 0, e
	}
	return d.lease, err
}

// Renew implements api.Core.
func (d *Daemon) Renew(_ context.Context, name string, generation uint64) (time.Duration, *result.Error) {
	var err *result.Error
	if e := d.query(func(e *engine.Engine, now time.Time) { err = e.Renew(now, name, generation) }); e != nil {
		return 0, e
	}
	return d.lease, err
}

// Leave implements api.Core.
func (d *Daemon) Leave(_ context.Context, name string, generation uint64) *result.Error {
	var err *result.Error
	if e := d.query(func(e *engine.Engine, _ time.Time) { err = e.Leave(name, generation) }); e != nil {
		return e
	}
	return err
}

// Ready implements api.Core.
func (d *Daemon) Ready() bool { return d.ready.Load() && !d.core.inForce.drained.Load() }

// Status implements api.Core.
func (d *Daemon) Status(context.Context) (api.StatusResponse, *result.Error) {
	var s api.StatusResponse
	err := d.query(func(e *engine.Engine, now time.Time) { s = status(e, now, d.startedAt) })
	s.ConfigAgeMS = d.core.inForce.age(time.Now()).Milliseconds()
	v := d.control.View()
	s.Disk, s.Voting = v.Disk, v.Voting
	return s, err
}

func status(e *engine.Engine, now, startedAt time.Time) api.StatusResponse {
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
			Name:          p.Name,
			FailureDomain: p.FailureDomain,
			Region:        p.Region,
			Up:            p.Up(),
			RoundTripUS:   p.RoundTrip.Microseconds(),
			ConfigVersion: p.ConfigVersion,
			ConfigAgeMS:   ageMS(now, p.ConfigSince),
			HeardMS:       ageMS(now, p.LastHeard),
		})
	}
	for _, m := range e.Minions().All() {
		s.Minions = append(s.Minions, minionInfo(m, now))
	}
	return s
}

// ageMS returns the milliseconds since t, -1 for the zero time.
func ageMS(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

func minionInfo(m *minion.Minion, now time.Time) api.MinionInfo {
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

// Jobs implements api.Core: jobs in progress go first.
func (d *Daemon) Jobs(_ context.Context, limit int) ([]api.JobInfo, *result.Error) {
	list := []api.JobInfo{}
	err := d.query(func(e *engine.Engine, now time.Time) {
		add := func(j *job.Job) bool {
			if len(list) < limit {
				list = append(list, jobInfo(j, now))
			}
			return len(list) < limit
		}
		e.Jobs().EachActive(func(j *job.Job) { add(j) })
		e.Jobs().Each(func(j *job.Job) bool { return !j.Ended() || add(j) })
	})
	return list, err
}

func jobInfo(j *job.Job, now time.Time) api.JobInfo {
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
