package fleet

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// A caller may delete its job at any entry host. The job may be open at other entry hosts,
// which the caller tried before, and at dispatchers, whose entry host may be gone. The host
// asks all entry hosts to end the job, and each remembers that it was deleted: an offer or a
// request may still be under way.

const (
	// deletionResendInterval is the time after which hosts that have not answered are asked
	// again.
	deletionResendInterval = 150 * time.Millisecond
	// deletionTimeout is the time after which a deletion is answered without the hosts that
	// have not.
	deletionTimeout = time.Second
	// deletionPeriod is the time for which such hosts are asked all the same. After that
	// the job's deadline has usually passed.
	deletionPeriod = 15 * time.Second
	// maxDeletions bounds the deletions in progress on one host.
	maxDeletions = 1024
)

// Deletion is the outcome of a deletion.
type Deletion uint8

// Outcomes of deletions.
const (
	JobDeleted          Deletion = iota + 1 // no task of the job is started from now on, and those that run are stopped
	JobNotFound                             // no entry host has the job
	DeletionUnconfirmed                     // no host that has answered has the job, and others have not answered
)

// deletion is a deletion in progress.
type deletion struct {
	begunAt  time.Time
	sentAt   time.Time
	awaited  map[string]bool // entry hosts that have not answered
	found    bool            // a host had the job
	answered bool            // the callers have been answered
	out      []chan Deletion // of the callers that wait; buffered
}

// deleteJob ends a job everywhere. It sends the outcome to out, which must have a buffer of
// one, and returns false if too many deletions are in progress.
func (c *core) deleteJob(now time.Time, id string, out chan Deletion) bool {
	d := c.deletions[id]
	if d == nil {
		if len(c.deletions) >= maxDeletions {
			return false
		}
		d = &deletion{begunAt: now, awaited: make(map[string]bool)}
		for _, h := range c.roster.Hosts() {
			if h.Entry && h.Name != c.self.Name {
				d.awaited[h.Name] = true
			}
		}
		c.deletions[id] = d
		d.found = c.endDeletedJob(now, id)
		c.sendDeletion(now, id, d)
	}
	d.out, d.answered = append(d.out, out), false
	c.answerDeletion(now, id, d)
	return true
}

// endDeletedJob ends a job at this host and remembers that it was deleted. It reports whether
// the job was open or dispatched here.
func (c *core) endDeletedJob(now time.Time, id string) bool {
	c.deletedJobs.add(now, offerKey{job: id}, false)
	found := c.jobTable.DeleteJob(now, id)
	for _, x := range c.sortedShards() {
		found = x.pool.DeleteJob(now, id) || found
	}
	if found {
		c.logEvent(event.JobDeleted, slog.String("job", id))
	}
	return found
}

// isDeleted reports whether a job was deleted recently.
func (c *core) isDeleted(id string) bool { return c.deletedJobs.contains(offerKey{job: id}) }

// sendDeletion asks the hosts that have not answered.
func (c *core) sendDeletion(now time.Time, id string, d *deletion) {
	d.sentAt = now
	for _, host := range slices.Sorted(maps.Keys(d.awaited)) {
		c.sendTo(host, &peer.JobCancel{Job: id, Deleted: true})
	}
}

// handleDeletion ends a job that was deleted at another entry host, and answers it.
func (c *core) handleDeletion(now time.Time, from, id string) {
	r := peer.JobResult{Job: id, Outcome: peer.JobUnknown, Reason: "the job is not known here"}
	if c.endDeletedJob(now, id) {
		r.Outcome, r.Reason = peer.JobDeleted, "the job was deleted"
	}
	c.sendTo(from, &r)
}

// handleDeletionAnswer handles the answer of another entry host. It may be a repeated one,
// after the first one was lost, that no longer tells of the job.
func (c *core) handleDeletionAnswer(now time.Time, from string, r *peer.JobResult) {
	d := c.deletions[r.Job]
	if d == nil {
		return
	}
	delete(d.awaited, from)
	d.found = d.found || r.Outcome == peer.JobDeleted
	c.answerDeletion(now, r.Job, d)
}

// answerDeletion answers the callers if the outcome is known or the time is up.
func (c *core) answerDeletion(now time.Time, id string, d *deletion) {
	var o Deletion
	switch {
	case d.found:
		o = JobDeleted
	case len(d.awaited) == 0:
		o = JobNotFound
	case now.Sub(d.begunAt) >= deletionTimeout:
		o = DeletionUnconfirmed
	}
	if o != 0 {
		for _, out := range d.out {
			out <- o // doesn't block: the channel is buffered for its only outcome
		}
		d.out, d.answered = nil, true
	}
	if d.answered && len(d.awaited) == 0 {
		delete(c.deletions, id)
	}
}

// tickDeletions asks hosts again that have not answered. Hosts that are no longer listed are
// not awaited: their dispatched jobs have been given up, and so have the runs of those.
func (c *core) tickDeletions(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.deletions)) {
		d := c.deletions[id]
		for host := range d.awaited {
			if c.roster.Host(host) == nil || now.Sub(d.begunAt) >= deletionPeriod {
				delete(d.awaited, host)
			}
		}
		if now.Sub(d.sentAt) >= deletionResendInterval {
			c.sendDeletion(now, id, d)
		}
		c.answerDeletion(now, id, d)
	}
}
