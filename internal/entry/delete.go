package entry

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// DeleteJob cancels an open job that its caller has deleted, and reports whether there is
// one. The callers that wait for it are answered with peer.JobDeleted.
func (t *Table) DeleteJob(now time.Time, id string) bool {
	j := t.jobs[id]
	if j == nil {
		return false
	}
	t.cancel(now, j)
	t.answer(now, j, Outcome{Outcome: peer.JobDeleted, Reason: "the job was deleted"})
	return true
}
