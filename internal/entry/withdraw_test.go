package entry

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// withdrawals returns the messages that ask for an offer's return.
func withdrawals(r Ready) []Message {
	var out []Message
	for _, m := range r.Messages {
		if c, ok := m.Body.(*peer.JobCancel); ok && c.Withdraw {
			out = append(out, m)
		}
	}
	return out
}

func moved(o *peer.JobOffer) *peer.JobResult {
	return &peer.JobResult{Job: o.Job, Offer: o.Offer, Outcome: peer.JobMoved, NotStartedHere: true}
}

// An offer that is not acknowledged in time is withdrawn, and the job is offered elsewhere
// only when the dispatcher has stated that it has not started.
func TestUnacknowledgedOfferIsWithdrawnAndOfferedElsewhere(t *testing.T) {
	x := newTable()
	near := dispatcherOf("near", "a", 100_000, 0)
	near.Process = "near/1"
	x.SetDispatchers(begin, []Dispatcher{near, dispatcherOf("far", "b", 100_000, 0)})
	submit(x, "j")
	o := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.Tick(begin.Add(withdrawDelay))
	r := x.Ready()
	must.Len(t, 0, offers(r))
	must.Eq(t, peer.JobCancel{Job: "j", Offer: o.Offer, Withdraw: true, Process: "near/1", SinceOfferMS: withdrawDelay.Milliseconds()}, *withdrawals(r)[0].Body.(*peer.JobCancel))
	x.HandleResult(begin.Add(withdrawDelay), "near", moved(o))
	again := offers(x.Ready())
	must.Len(t, 1, again)
	must.Eq(t, "far", again[0].To)
	must.False(t, again[0].Body.(*peer.JobOffer).MayHaveRun)
}

// A dispatcher that has started the job keeps it: no further withdrawal is sent.
func TestStartedJobIsKept(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0), dispatcherOf("far", "b", 100_000, 0)})
	submit(x, "j")
	o := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.Tick(begin.Add(withdrawDelay))
	must.Len(t, 1, withdrawals(x.Ready()))
	x.HandleAck(begin.Add(withdrawDelay), "near", &peer.JobAck{Job: "j", Offer: o.Offer, Started: true})
	x.Tick(begin.Add(time.Second))
	must.Len(t, 0, x.Ready().Messages)
}

// A job that waits for its first start until it is too late is refused before its caller's
// deadline, but only once its dispatcher has returned it.
func TestJobThatNeverStartsIsRefusedInTime(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	o := jobOf("j")
	o.StretchPct, o.AddMS = 160, 60
	x.Submit(begin, o, begin.Add(10*time.Second), 1)
	sent := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.HandleAck(begin, "near", &peer.JobAck{Job: "j", Offer: sent.Offer})
	last := begin.Add(peer.LateFactor*380*ms - 200*ms*(100-runTimeErrorPct)/100)
	x.Tick(last)
	must.Len(t, 0, x.Ready().Messages)
	x.Tick(last.Add(ms))
	r := x.Ready()
	must.Len(t, 1, withdrawals(r))
	must.Len(t, 0, r.Answers)
	x.HandleResult(last.Add(ms), "near", moved(sent))
	must.Eq(t, peer.JobRefused, x.Ready().Answers[0].Outcome.Outcome)
}

// A job of an unavailable dispatcher may run anywhere, and be refused, once the process that
// had the offer states that it has started nothing. Another process can't know.
func TestJobOfUnavailableDispatcherThatDidNotStart(t *testing.T) {
	x := newTable()
	far := dispatcherOf("far", "b", 100_000, 0)
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0), far})
	submit(x, "j")
	o := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.SetDispatchers(begin.Add(ms), []Dispatcher{far})
	x.Tick(begin.Add(ms + resendInterval))
	must.Eq(t, "near", withdrawals(x.Ready())[0].To)
	now := begin.Add(2*ms + resendInterval)
	x.HandleResult(now, "other", moved(o))
	x.HandleResult(now, "near", &peer.JobResult{Job: "j", Offer: o.Offer, Outcome: peer.JobUnknown})
	must.Len(t, 0, offers(x.Ready()))
	x.HandleResult(now, "near", moved(o))
	again := offers(x.Ready())
	must.Len(t, 1, again)
	must.False(t, again[0].Body.(*peer.JobOffer).MayHaveRun)
	x.HandleResult(now, "far", &peer.JobResult{Job: "j", Offer: again[0].Body.(*peer.JobOffer).Offer, Outcome: peer.JobRefused})
	must.Eq(t, peer.JobRefused, x.Ready().Answers[0].Outcome.Outcome)
}

// A job that an unavailable dispatcher hands over as started is never refused as not run, and
// stays with its shard: a later statement about the same offer doesn't count.
func TestJobHandedOverByUnavailableDispatcherMayHaveStarted(t *testing.T) {
	x := newTable()
	far := dispatcherOf("far", "b", 100_000, 0)
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0), far})
	submit(x, "j")
	o := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.SetDispatchers(begin.Add(ms), []Dispatcher{far})
	x.HandleResult(begin.Add(2*ms), "near", &peer.JobResult{Job: "j", Offer: o.Offer, Outcome: peer.JobMoved})
	x.HandleResult(begin.Add(3*ms), "near", moved(o))
	must.Len(t, 0, offers(x.Ready()))
	must.True(t, x.jobs["j"].mayHaveStarted())
	must.True(t, x.jobs["j"].boundToShard)
}

// The successor of an unavailable dispatcher holds the job as one that may have run. When the
// earlier process states that it started nothing, the successor is asked for the job, and
// the job is free only when that one has not started it either.
func TestSuccessorReturnsJobThatNobodyStarted(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	submit(x, "j")
	first := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.SetDispatchers(begin.Add(ms), []Dispatcher{dispatcherOf("next", "a", 100_000, 0), dispatcherOf("far", "b", 100_000, 0)})
	second := offers(x.Ready())[0].Body.(*peer.JobOffer)
	must.True(t, second.MayHaveRun)
	x.HandleAck(begin.Add(2*ms), "next", &peer.JobAck{Job: "j", Offer: second.Offer})
	x.HandleResult(begin.Add(3*ms), "near", moved(first))
	r := x.Ready()
	must.Len(t, 0, offers(r))
	must.Eq(t, "next", withdrawals(r)[0].To)
	x.HandleResult(begin.Add(4*ms), "next", moved(second))
	third := offers(x.Ready())
	must.Len(t, 1, third)
	must.Eq(t, "far", third[0].To)
	must.False(t, third[0].Body.(*peer.JobOffer).MayHaveRun)
}
