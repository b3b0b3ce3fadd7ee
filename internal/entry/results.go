package entry

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// HandleAck handles a dispatcher's acknowledgement of an offer. It cancels an offer
// that is no longer current: an earlier cancellation may have arrived before the
// offer. The offer to an unavailable dispatcher is left to cancelDelay.
func (t *Table) HandleAck(now time.Time, from string, a *peer.JobAck) {
	j := t.jobs[a.Job]
	if j != nil && j.dispatcher.host == from && j.offer.Offer == a.Offer {
		j.ackedAt, j.minionsDigest = now, a.Load.MinionsDigest
		j.withdrawal.kept = j.withdrawal.kept || a.Started
		t.flight = nil
		return
	}
	if j != nil && j.prevOffer.host == from && j.prevOffer.number == a.Offer {
		return
	}
	if c := t.cancels.find(from, a.Job, a.Offer); c != nil {
		t.sendCancel(now, c)
		return
	}
	t.startCancel(now, offerRef{dispatcherID: dispatcherID{from, a.Shard}, number: a.Offer}, a.Job, now.Add(unknownJobCancelPeriod))
}

// HandleResult handles the result of an offer. It acknowledges every result, and
// ignores results of offers that are no longer current.
func (t *Table) HandleResult(now time.Time, from string, r *peer.JobResult) {
	t.send(from, &peer.JobResultAck{Job: r.Job, Offer: r.Offer})
	t.cancels.remove(from, r.Job, r.Offer)
	j := t.jobs[r.Job]
	if j == nil {
		return
	}
	notStarted := r.NotStarted || r.NotStartedHere || r.Outcome == peer.JobRefused
	if notStarted && j.isDoubt(from, r.Offer) {
		t.clearDoubt(now, j, from, r.Offer)
		return
	}
	if !j.awaits(from, r) {
		return
	}
	switch outcome := r.Outcome; {
	case outcome == peer.JobRefused:
		t.flight = nil
		t.handleRefusal(now, j, r)
	case outcome == peer.JobMoved, outcome == peer.JobUnknown && notStarted:
		j.offer.Done = r.Done
		j.minionsDigest = r.MinionsDigest
		j.started = j.started || !notStarted
		j.doubts = withoutOffer(j.doubts, from, r.Offer)
		j.priorRuns = priorRuns{r.Runs, r.RunsKnown}
		j.lostOffer, j.prevOffer = offerRef{}, j.prevOffer.unless(from, r.Offer)
		j.boundToShard = !r.NotStarted && !r.RunsEnded && j.mayHaveStarted()
		j.dispatcher = dispatcherID{}
		t.flight = nil
		if j.boundToShard || !t.refuseReturned(now, j, from) {
			j.unassignedAt = now
			t.handedOver[dispatcherID{from, j.offer.Shard}] = true
			t.assignOrRefuse(now, j)
		}
	default:
		t.answer(now, j, Outcome{Outcome: r.Outcome, Reason: r.Reason})
	}
}

// handleRefusal offers the job to another dispatcher. If there is none, or maxOffers
// dispatchers have refused the job, it answers the job as refused.
func (t *Table) handleRefusal(now time.Time, j *openJob, r *peer.JobResult) {
	j.refusedBy = append(j.refusedBy, j.dispatcher)
	if j.retryMS == 0 || r.RetryMS < j.retryMS {
		j.retryMS = r.RetryMS
	}
	j.dispatcher = dispatcherID{}
	if len(j.refusedBy) < maxOffers {
		if d := t.chooseDispatcher(now, j); d != nil && !d.Load.Overloaded {
			t.offer(now, j, d)
			return
		}
	}
	t.answer(now, j, Outcome{Outcome: peer.JobRefused, RetryMS: j.retryMS, Reason: r.Reason})
}
