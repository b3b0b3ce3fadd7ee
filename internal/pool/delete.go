package pool

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// DeleteJob ends a job that its caller has deleted, whoever waits for it, and reports whether
// the pool has it. Its runs are stopped.
func (p *Pool) DeleteJob(now time.Time, id string) bool {
	j := p.jobs[id]
	if j == nil {
		return false
	}
	p.finish(now, j, peer.JobResult{Outcome: peer.JobDeleted, Reason: "the job was deleted"})
	p.dispatch(now)
	return true
}
