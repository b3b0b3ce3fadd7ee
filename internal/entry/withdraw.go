package entry

import (
	"log/slog"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// Withdrawals keep callers from waiting until their deadline for a job of which no task was
// started. The load that they answer is that of a dispatcher that is slow, cut off or
// replaced: the job can be refused or run elsewhere once that dispatcher's process, the
// only one that can know, has stated that it started nothing.
const (
	// withdrawDelay is how long an offer may be unacknowledged before it is withdrawn.
	withdrawDelay = maxAckDelay
	// runTimeErrorPct is the part of a declared run time, in percent, by which it may be too
	// long. A job is not withdrawn while a dispatcher that has learned the run times may
	// count on it.
	runTimeErrorPct = 40
)

// offerRef identifies an offer that was sent to a dispatcher.
type offerRef struct {
	dispatcherID
	number  uint64
	process membership.Incarnation // of the dispatcher's host; empty: not known
	sentAt  time.Time              // when it was first sent
}

// withdrawal is a request for the current offer's return that has not been answered.
type withdrawal struct {
	sentAt time.Time // when it was last sent; zero: the offer is not withdrawn
	sends  int
	kept   bool // the dispatcher has started the job
}

// currentOffer identifies the offer that the job has now.
func (j *openJob) currentOffer() offerRef {
	return offerRef{dispatcherID: j.dispatcher, number: j.offer.Offer, process: j.process, sentAt: j.offeredAt}
}

// mayHaveStarted reports whether a task of the job may have been started: the job is never
// answered as refused then.
func (j *openJob) mayHaveStarted() bool { return j.started || len(j.doubts) > 0 }

// isDoubt reports whether the offer is one that may have led to starts.
func (j *openJob) isDoubt(host string, number uint64) bool {
	return slices.ContainsFunc(j.doubts, func(r offerRef) bool { return r.host == host && r.number == number })
}

// cancelBody returns the message that ends an offer.
func (r offerRef) cancelBody(now time.Time, job string, withdraw bool) peer.JobCancel {
	c := peer.JobCancel{Job: job, Offer: r.number, Shard: r.shard, Withdraw: withdraw, Process: r.process}
	if !r.sentAt.IsZero() {
		c.SinceOfferMS = now.Sub(r.sentAt).Milliseconds()
	}
	return c
}

// sendWithdrawal asks for an offer's return.
func (t *Table) sendWithdrawal(now time.Time, j *openJob, r offerRef) {
	body := r.cancelBody(now, j.offer.Job, true)
	t.send(r.host, &body)
}

// tickWithdrawals begins and repeats withdrawals of the job's offers.
func (t *Table) tickWithdrawals(now time.Time, j *openJob) {
	if j.prevOffer.host != "" && now.Sub(j.prevWithdrawnAt) >= resendInterval {
		j.prevWithdrawnAt = now
		t.sendWithdrawal(now, j, j.prevOffer)
	}
	if j.dispatcher.host == "" || j.withdrawal.kept {
		return
	}
	w := &j.withdrawal
	switch {
	case w.sentAt.IsZero() && !t.withdrawalDue(now, j):
		return
	case w.sentAt.IsZero():
		t.logEvent(event.EntryOfferWithdrawn, slog.String("job", j.offer.Job), slog.String("dispatcher", j.dispatcher.host),
			slog.Bool("acknowledged", !j.ackedAt.IsZero()), slog.Int64("age_ms", now.Sub(j.arrived).Milliseconds()), slog.Int64("offer_age_ms", now.Sub(j.offeredAt).Milliseconds()))
	case now.Sub(w.sentAt) < resendDelay(w.sends):
		return
	}
	w.sentAt = now
	w.sends++
	t.sendWithdrawal(now, j, j.currentOffer())
}

// withdrawalDue reports whether the current offer is to be withdrawn: it was not
// acknowledged in time, or nothing of the job may have started and it is too late to begin
// it. An offer that is bound to its shard is withdrawn only when nothing binds it any more.
func (t *Table) withdrawalDue(now time.Time, j *openJob) bool {
	if j.mayHaveStarted() {
		return false
	}
	if j.offer.MayHaveRun {
		return true // no earlier dispatcher has started it after all
	}
	if j.ackedAt.IsZero() && j.dispatcher.host != t.self && now.Sub(j.offeredAt) >= withdrawDelay {
		return true
	}
	return now.After(j.lastStart())
}

// lastStart returns when the job can no longer start and end within its useful time, even
// if its declared run times are too long.
func (j *openJob) lastStart() time.Time {
	criticalPath := peer.CriticalPath(j.offer.Steps, (*peer.TaskStep).DeclaredRunTime)
	return j.latestStart().Add(criticalPath * runTimeErrorPct / 100)
}

// withoutOffer removes one offer from a list.
func withoutOffer(offers []offerRef, host string, number uint64) []offerRef {
	return slices.DeleteFunc(offers, func(r offerRef) bool { return r.host == host && r.number == number })
}

// clearDoubt notes that a dispatcher's process has started nothing of an earlier offer. If
// no doubt is left, the job has not started, and may run anywhere.
func (t *Table) clearDoubt(now time.Time, j *openJob, host string, number uint64) {
	j.doubts = withoutOffer(j.doubts, host, number)
	j.prevOffer = j.prevOffer.unless(host, number) // it remembers the offer as ended
	j.lostOffer = j.lostOffer.unless(host, number)
	if j.mayHaveStarted() {
		return
	}
	t.logEvent(event.EntryJobNotStarted, slog.String("job", j.offer.Job), slog.String("dispatcher", host), slog.Int64("age_ms", now.Sub(j.arrived).Milliseconds()))
	j.boundToShard = false
	if j.dispatcher.host == "" {
		t.assignOrRefuse(now, j)
		return
	}
	t.tickWithdrawals(now, j)
}

// assignOrRefuse offers a job that has not started to a dispatcher, or refuses it if it can
// no longer end within its useful time.
func (t *Table) assignOrRefuse(now time.Time, j *openJob) {
	if !j.mayHaveStarted() && now.After(j.lastStart()) {
		t.answer(now, j, Outcome{Outcome: peer.JobRefused, RetryMS: noDispatcherRetry.Milliseconds(), Reason: "not started while an answer was of use"})
		return
	}
	t.assign(now, j)
}

// refuseReturned counts a job's return, if its offer was withdrawn for lack of an
// acknowledgement, like a refusal by that dispatcher, and reports whether it did. Otherwise a
// job would be offered to one slow dispatcher after the other, and fill more links.
func (t *Table) refuseReturned(now time.Time, j *openJob, from string) bool {
	if j.withdrawal.sentAt.IsZero() || !j.ackedAt.IsZero() {
		return false
	}
	j.dispatcher = dispatcherID{from, j.offer.Shard}
	t.handleRefusal(now, j, &peer.JobResult{RetryMS: noDispatcherRetry.Milliseconds(), Reason: "no dispatcher acknowledged the job in time"})
	return true
}
