package pool

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// EvacuationGrace is how long the jobs that have started may start their remaining tasks
// after their owner has learned of an evacuation. Nothing may be started 5 s after the
// order's acknowledgement; the news takes less than 1 s to a connected host. Nine of ten
// jobs end within this time.
const EvacuationGrace = 1500 * time.Millisecond

// evacuation is the state of a pool whose failure domain may be evacuated.
type evacuation struct {
	active      bool
	startsUntil time.Time // while active: until then jobs that have started may start tasks
}

// blocksStarts reports whether nothing may be started.
func (e *evacuation) blocksStarts(now time.Time) bool {
	return e.active && !now.Before(e.startsUntil)
}

// SetEvacuated tells the pool whether its failure domain is evacuated. If so, jobs without a
// start are returned to their entry hosts, as are new ones; jobs that have started may start
// tasks until startsUntil, and are returned when their runs have ended.
func (p *Pool) SetEvacuated(now time.Time, evacuated bool, startsUntil time.Time) {
	if evacuated == p.evacuation.active {
		return
	}
	p.evacuation = evacuation{evacuated, startsUntil}
	before := len(p.jobs)
	for _, j := range p.sortedJobs() {
		p.returnUnstarted(now, j, j.mayHaveStarted)
	}
	p.cfg.Log(event.PoolEvacuated, slog.Bool("evacuated", evacuated), slog.Int("jobs", before), slog.Int("returned", before-len(p.jobs)),
		slog.Int64("grace_ms", max(0, startsUntil.Sub(now)).Milliseconds()))
	p.dispatch(now)
}

// returnUnstarted returns a job of which nothing was started in this failure domain to its
// entry host while the failure domain is evacuated, and reports whether it did.
func (p *Pool) returnUnstarted(now time.Time, j *job, started bool) bool {
	if !p.evacuation.active || started {
		return false
	}
	p.finish(now, j, peer.JobResult{Outcome: peer.JobMoved, Done: j.offer.Done, NotStarted: true, Reason: "the failure domain is evacuated"})
	return true
}

// returnEndedJobs returns the jobs that have tasks left and no runs, once nothing may be
// started any more. Another failure domain continues them.
func (p *Pool) returnEndedJobs(now time.Time) {
	if !p.evacuation.blocksStarts(now) {
		return
	}
	for _, j := range p.sortedJobs() {
		if p.mayHaveRuns(j) {
			continue
		}
		p.cfg.Log(event.PoolJobReturned, slog.String("job", j.id), slog.String("queue", j.offer.Queue), slog.Int("open_tasks", j.openTasks))
		p.finish(now, j, peer.JobResult{Outcome: peer.JobMoved, Done: j.doneTasks(), RunsEnded: true, Reason: "the failure domain is evacuated"})
	}
}

// mayHaveRuns reports whether a task of the job runs or may run: under this owner, or under
// an earlier one.
func (p *Pool) mayHaveRuns(j *job) bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskUncertain || t.state == taskPlaced || t.state == taskWaiting && p.mayBeRunning(t.ref) {
			return true
		}
	}
	return false
}
