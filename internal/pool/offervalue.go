package pool

import "github.com/laburnumwalk/laburnumwalk/internal/peer"

// HasJob reports whether the pool has the job, for any offer.
func (p *Pool) HasJob(job string) bool { return p.jobs[job] != nil }

// ValuePerTask returns the value of an offered job's result for each of its tasks. A
// dispatcher's effort grows with the number of tasks; the load that this answers is that of
// a dispatcher which is itself the bottleneck, while its minions have room.
func (p *Pool) ValuePerTask(o *peer.JobOffer) float64 {
	var tasks, work int64
	for i := range o.Steps {
		s := &o.Steps[i]
		tasks += int64(s.Count)
		work += int64(s.Count) * s.CPU * s.EstimateMS
	}
	value, rate := 1.0, initialJobsPerSecond
	if q := p.queueStats[o.Queue]; q != nil && q.jobsPerSecond > 0 {
		value = min(maxValue, fixedValueShare+(1-fixedValueShare)*float64(work)/max(1, q.meanWork))
		rate = q.jobsPerSecond
	}
	return value / rate / float64(max(1, tasks))
}
