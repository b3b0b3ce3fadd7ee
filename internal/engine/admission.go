package engine

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// admit refuses submissions that can be refused without a job record. The
// checks that depend on the load are made by the host that dispatches for the
// failure domain.
func (e *Engine) admit(now time.Time, s *job.Submission) *result.Error {
	if err := e.admitHost(); err != nil {
		return err
	}
	if !e.joined() {
		return result.Errorf(result.Joining, "host %s waits until its region knows it", e.cfg.Host.Name)
	}
	if err := e.admitTeam(s); err != nil {
		return err
	}
	if err := e.admitPlacement(now, s); err != nil {
		return err
	}
	if e.dispatcher(now) != nil {
		return nil
	}
	if err := e.admitQuota(s); err != nil {
		return err
	}
	return e.admitDeadline(now, s)
}

// admitPlacement refuses jobs whose service no ready minion offers, and jobs with
// a task that would not fit any of these minions even if it were empty.
func (e *Engine) admitPlacement(now time.Time, s *job.Submission) *result.Error {
	for i := range s.Tasks {
		if i > 0 && s.Tasks[i].Size == s.Tasks[i-1].Size {
			continue
		}
		offered, fits := e.minions.Placeable(now, s.Service, s.Tasks[i].Size)
		if !offered {
			return result.Errorf(result.UnknownService, "service %q in failure domain %s", s.Service, e.cfg.Host.FailureDomain)
		}
		if !fits {
			return result.Errorf(result.Unplaceable, "task %d", i)
		}
	}
	return nil
}

// admitQuota refuses jobs that exceed the team's limit on queued tasks.
func (e *Engine) admitQuota(s *job.Submission) *result.Error {
	if e.document == nil {
		return nil
	}
	t := e.document.Team(s.ID.Team)
	if t == nil || t.MaxQueued == 0 {
		return nil
	}
	if queued := e.queue.Queued(t.Name); queued+len(s.Tasks) > t.MaxQueued {
		return result.Errorf(result.QuotaExceeded, "team %q has %d tasks waiting, quota %d", t.Name, queued, t.MaxQueued)
	}
	return nil
}

// admitDeadline refuses jobs that would miss their deadline at the current
// load, and records the arrival of those it admits. It uses measured run times;
// declared ones only while too few have been measured. A job without either is
// admitted and not recorded.
func (e *Engine) admitDeadline(now time.Time, s *job.Submission) *result.Error {
	mean, known := e.meanRun(s)
	if !known {
		return nil
	}
	slots := e.minions.ServiceSlots(now, s.Service)
	finish := e.queue.EstimateCompletion(now, &e.arrivals, s, slots, mean)
	if now.Add(finish).After(s.Deadline) {
		return result.Errorf(result.DeadlineUnreachable, "%v needed at the present load, %v left",
			finish.Round(time.Millisecond), s.Deadline.Sub(now).Round(time.Millisecond))
	}
	e.arrivals.Add(now, len(s.Tasks), mean*time.Duration(len(s.Tasks)))
	return nil
}

// meanRun returns the measured mean run time of the service, or the mean of the
// run times that the tasks declare. It reports false when there is neither.
func (e *Engine) meanRun(s *job.Submission) (time.Duration, bool) {
	if mean, ok := e.minions.MeanRunTime(s.Service); ok {
		return mean, true
	}
	var sum time.Duration
	for i := range s.Tasks {
		sum += s.Tasks[i].Size.Run
	}
	return sum / time.Duration(len(s.Tasks)), sum > 0
}

// observeOutcome updates the measured run times and the minion's health from the
// outcome of a start. Failures of tasks that were asked to stop are ignored:
// they say nothing about the minion.
func (e *Engine) observeOutcome(now time.Time, id job.TaskID, name string, o job.Outcome) {
	j := e.jobs.Get(id.Job)
	if j == nil || o.Code != result.OK && (j.Ended() || e.cancelled[id.Job]) {
		return
	}
	switch e.minions.RecordOutcome(now, name, j.Service, o) {
	case minion.Ejected:
		e.log(event.MinionEjected, slog.String("minion", name))
	case minion.Restored:
		e.log(event.MinionRestored, slog.String("minion", name))
	}
}
