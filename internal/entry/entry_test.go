package entry

import (
	"log/slog"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

var begin = time.Unix(1_700_000_000, 0)

func newTable() *Table {
	return New(begin.Add(-time.Minute), "self", "a", 0, func(event.ID, ...slog.Attr) {})
}

func dispatcherOf(host, domain string, free, queued int64) Dispatcher {
	return Dispatcher{Host: host, FailureDomain: domain, LoadAt: begin, Load: peer.PoolLoad{Capacity: 100_000, Free: free, Queued: queued}}
}

func jobOf(id string) peer.JobOffer {
	return peer.JobOffer{Job: id, Steps: []peer.TaskStep{{Count: 2, CPU: 27_000, EstimateMS: 200}}}
}

// offers returns the messages that are job offers.
func offers(r Ready) []Message {
	var out []Message
	for _, m := range r.Messages {
		if _, ok := m.Body.(*peer.JobOffer); ok {
			out = append(out, m)
		}
	}
	return out
}

// submit adds a job with a deadline of 3 s.
func submit(t *Table, id string) { t.Submit(begin, jobOf(id), begin.Add(3*time.Second), 1) }

func TestOwnDomainIsPreferred(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("far", "b", 100_000, 0), dispatcherOf("near", "a", 100_000, 0)})
	submit(x, "j")
	must.Eq(t, "near", offers(x.Ready())[0].To)
}

// A backlog in the own failure domain moves whole jobs to another one. What was
// offered there counts as load until that dispatcher reports its load again.
func TestBacklogMovesJobsToOtherDomain(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("far", "b", 60_000, 0), dispatcherOf("near", "a", 0, 20_000_000)})
	submit(x, "j1")
	must.Eq(t, "far", offers(x.Ready())[0].To)
	submit(x, "j2")
	must.Eq(t, "far", offers(x.Ready())[0].To)
	to := map[string]int{}
	for _, id := range []string{"j3", "j4", "j5", "j6", "j7", "j8"} {
		submit(x, id)
	}
	for _, m := range offers(x.Ready()) {
		to[m.To]++
	}
	must.Positive(t, to["near"], must.Sprint("each job adds 0.1 s to a backlog; that of the own domain is 0.2 s"))
	must.Positive(t, to["far"])
}

func TestRefusedJobIsOfferedElsewhereThenRefused(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0), dispatcherOf("far", "b", 100_000, 0)})
	submit(x, "j")
	o := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.HandleResult(begin, "near", &peer.JobResult{Job: "j", Offer: o.Offer, Outcome: peer.JobRefused, RetryMS: 700})
	again := offers(x.Ready())[0]
	must.Eq(t, "far", again.To)
	x.HandleResult(begin, "far", &peer.JobResult{Job: "j", Offer: again.Body.(*peer.JobOffer).Offer, Outcome: peer.JobRefused, RetryMS: 300})
	a := x.Ready().Answers
	must.Len(t, 1, a)
	must.Eq(t, Outcome{Outcome: peer.JobRefused, RetryMS: 300}, a[0].Outcome)
}

// A job that may still run with an unavailable dispatcher is offered only to the
// next dispatcher of the same failure domain, and is answered as unknown when that
// one refuses it.
func TestJobOfUnavailableDispatcherStaysInItsDomain(t *testing.T) {
	x := newTable()
	near, far := dispatcherOf("near", "a", 100_000, 0), dispatcherOf("far", "b", 100_000, 0)
	x.SetDispatchers(begin, []Dispatcher{near, far})
	submit(x, "j")
	x.Ready()
	x.SetDispatchers(begin.Add(ms), []Dispatcher{far})
	must.Len(t, 0, offers(x.Ready()))
	x.Tick(begin.Add(runEndTimeout / 2))
	must.Len(t, 0, offers(x.Ready()))
	x.SetDispatchers(begin.Add(runEndTimeout/2), []Dispatcher{far, dispatcherOf("next", "a", 100_000, 0)})
	o := offers(x.Ready())
	must.Eq(t, "next", o[0].To)
	must.True(t, o[0].Body.(*peer.JobOffer).MayHaveRun)
	x.HandleResult(begin.Add(runEndTimeout), "next", &peer.JobResult{Job: "j", Offer: o[0].Body.(*peer.JobOffer).Offer, Outcome: peer.JobRefused})
	r := x.Ready()
	must.Len(t, 0, offers(r), must.Sprint("the other failure domain must not run the job a second time"))
	must.Eq(t, peer.JobUnknown, r.Answers[0].Outcome.Outcome)
}

// Once all runs of the unavailable dispatcher have certainly ended, the job may
// run in any failure domain.
func TestJobOfUnavailableDomainMovesAfterRunEndTimeout(t *testing.T) {
	x := newTable()
	far := dispatcherOf("far", "b", 100_000, 0)
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0), far})
	submit(x, "j")
	x.Ready()
	x.SetDispatchers(begin, []Dispatcher{far})
	x.Tick(begin.Add(cancelDelay - ms))
	r := x.Ready()
	must.Len(t, 1, withdrawals(r))
	must.Len(t, 1, r.Messages)
	x.Tick(begin.Add(runEndTimeout - ms))
	r = x.Ready()
	must.Len(t, 0, offers(r))
	must.Len(t, 0, withdrawals(r))
	must.Len(t, 1, r.Messages, must.Sprint("the unavailable dispatcher may still receive messages of this host"))
	must.Eq(t, "near", r.Messages[0].To)
	must.Eq(t, peer.KindJobCancel, r.Messages[0].Body.Kind())
	x.Tick(begin.Add(runEndTimeout))
	o := offers(x.Ready())
	must.Eq(t, "far", o[0].To)
	must.False(t, o[0].Body.(*peer.JobOffer).MayHaveRun)
}

// A job that was handed over is not offered to the same dispatcher again before the
// list of dispatchers is replaced, and its next offer carries the tasks that have
// ended.
func TestMovedJobWaitsForTheNextDispatcher(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	submit(x, "j")
	o := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.HandleResult(begin, "near", &peer.JobResult{Job: "j", Offer: o.Offer, Outcome: peer.JobMoved, Done: []int{1}})
	must.Len(t, 0, offers(x.Ready()))
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("next", "a", 100_000, 0)})
	again := offers(x.Ready())[0].Body.(*peer.JobOffer)
	must.Eq(t, []int{1}, again.Done)
	must.True(t, again.MayHaveRun)
	must.NotEq(t, o.Offer, again.Offer)
}

// A handed-over job that has not run is refused after takeoverTimeout.
func TestMovedJobIsRefusedWithoutSuccessor(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	submit(x, "j")
	o := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.HandleResult(begin, "near", &peer.JobResult{Job: "j", Offer: o.Offer, Outcome: peer.JobMoved, NotStarted: true})
	x.SetDispatchers(begin, nil)
	x.Tick(begin.Add(takeoverTimeout - ms))
	must.Len(t, 0, x.Ready().Answers)
	x.Tick(begin.Add(takeoverTimeout))
	must.Eq(t, peer.JobRefused, x.Ready().Answers[0].Outcome.Outcome)
}

// A host that has known no dispatcher for a minute refuses jobs at once.
func TestJobWithoutDispatcherIsRefused(t *testing.T) {
	x := newTable()
	submit(x, "j")
	must.Eq(t, peer.JobRefused, x.Ready().Answers[0].Outcome.Outcome)
}

func TestUnansweredOfferIsRepeatedAndOldResultsAreIgnored(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	submit(x, "j")
	o := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.Tick(begin.Add(resendInterval))
	must.Len(t, 1, offers(x.Ready()))
	x.HandleResult(begin, "near", &peer.JobResult{Job: "j", Offer: o.Offer + 1, Outcome: peer.JobComplete})
	must.Len(t, 0, x.Ready().Answers)
	x.HandleAck(begin, "near", &peer.JobAck{Job: "j", Offer: o.Offer})
	x.Tick(begin.Add(3 * resendInterval))
	must.Len(t, 0, offers(x.Ready()))
}

// A job is cancelled when its caller's connection closes, unless another caller
// waits for it.
func TestRemovingLastWaiterCancelsJob(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	submit(x, "j")
	x.Submit(begin, jobOf("j"), begin.Add(time.Second), 2)
	must.Len(t, 1, offers(x.Ready()))
	x.RemoveWaiter(begin, "j", 1)
	must.Len(t, 0, x.Ready().Messages)
	x.RemoveWaiter(begin, "j", 2)
	r := x.Ready()
	must.Len(t, 1, r.Messages)
	must.Eq(t, peer.KindJobCancel, r.Messages[0].Body.Kind())
	must.Eq(t, 0, x.OpenJobs())
}

// A job without a result is answered as unknown shortly before its caller's
// deadline.
func TestJobIsAnsweredBeforeDeadline(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	x.Submit(begin, jobOf("j"), begin.Add(time.Second), 7)
	x.Tick(begin.Add(time.Second - answerMargin))
	a := x.Ready().Answers
	must.Len(t, 1, a)
	must.Eq(t, uint64(7), a[0].Waiter)
	must.Eq(t, peer.JobUnknown, a[0].Outcome.Outcome)
}

// A job whose caller's connection closes is cancelled at its unavailable dispatcher,
// too: that one may still receive messages and run the job.
func TestRemovingWaiterCancelsAtUnavailableDispatcher(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	submit(x, "j")
	x.Ready()
	x.SetDispatchers(begin, nil)
	x.RemoveWaiter(begin, "j", 1)
	r := x.Ready()
	must.Len(t, 1, r.Messages)
	must.Eq(t, "near", r.Messages[0].To)
}

// A job that one dispatcher refused and another handed over is answered when only
// the first one is listed.
func TestJobRefusedByAllListedDispatchersIsAnswered(t *testing.T) {
	x := newTable()
	far := dispatcherOf("far", "b", 100_000, 0)
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0), far})
	submit(x, "j")
	first := offers(x.Ready())[0]
	must.Eq(t, "near", first.To)
	x.HandleResult(begin, "near", &peer.JobResult{Job: "j", Offer: first.Body.(*peer.JobOffer).Offer, Outcome: peer.JobRefused})
	second := offers(x.Ready())[0]
	x.HandleResult(begin, "far", &peer.JobResult{Job: "j", Offer: second.Body.(*peer.JobOffer).Offer, Outcome: peer.JobMoved, NotStarted: true})
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	must.Len(t, 0, x.Ready().Answers)
	for now := begin; now.Before(begin.Add(4 * time.Second)); now = now.Add(20 * ms) {
		x.SetDispatchers(now, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
		x.Tick(now)
	}
	a := x.Ready().Answers
	must.Len(t, 1, a)
	must.Eq(t, peer.JobRefused, a[0].Outcome.Outcome)
	must.Eq(t, 0, x.OpenJobs())
}

// A job that waits for a dispatcher is answered before its deadline, too.
func TestWaitingJobIsAnsweredBeforeDeadline(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	x.SetDispatchers(begin, nil)
	x.Submit(begin, jobOf("j"), begin.Add(200*ms), 1)
	x.Tick(begin.Add(200*ms - answerMargin))
	a := x.Ready().Answers
	must.Len(t, 1, a)
	must.Eq(t, peer.JobRefused, a[0].Outcome.Outcome)
}

// A dispatcher that only this host cannot reach may run a job on minions that the
// next dispatcher does not reach. The offer to the next one says for how long, and
// the job is cancelled at the first one even after the takeover.
func TestUnavailableDispatcherIsCancelledAfterTakeover(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	submit(x, "j")
	first := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("next", "a", 100_000, 0)})
	second := offers(x.Ready())[0].Body.(*peer.JobOffer)
	must.Eq(t, runEndTimeout.Milliseconds(), second.PriorRunsMS)
	x.HandleAck(begin, "next", &peer.JobAck{Job: "j", Offer: second.Offer})
	x.Tick(begin.Add(cancelDelay))
	m := x.Ready().Messages
	must.Len(t, 1, m)
	must.Eq(t, "near", m[0].To)
	must.Eq(t, first.Offer, m[0].Body.(*peer.JobCancel).Offer)
}

// While all hosts restart, a job waits for the first dispatcher until its latest
// useful start, and is refused then.
func TestJobWaitsForFirstDispatcherUntilLatestStart(t *testing.T) {
	x := New(begin, "self", "a", 1, func(event.ID, ...slog.Attr) {})
	for _, o := range []peer.JobOffer{
		// Objectives of 156 and 380 ms: latest useful starts at 408 and 940 ms.
		{Job: "short", StretchPct: 160, AddMS: 60, Steps: []peer.TaskStep{{Count: 1, EstimateMS: 60}}},
		{Job: "long", StretchPct: 160, AddMS: 60, Steps: []peer.TaskStep{{Count: 1, EstimateMS: 200}}},
	} {
		x.Submit(begin, o, begin.Add(5*time.Second), 1)
	}
	x.Tick(begin.Add(400 * ms))
	must.Len(t, 0, x.Ready().Answers)
	x.Tick(begin.Add(420 * ms))
	a := x.Ready().Answers
	must.Len(t, 1, a)
	must.Eq(t, "short", a[0].Job)
	must.Eq(t, peer.JobRefused, a[0].Outcome.Outcome)
	x.SetDispatchers(begin.Add(900*ms), []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	must.Len(t, 1, offers(x.Ready()))
}

// An offer carries the digest of the unavailable dispatcher's minions. When two
// dispatchers became unavailable one after the other, the minions of the first are
// no longer known, and the digest is 0.
func TestOfferCarriesMinionsOfUnavailableDispatcher(t *testing.T) {
	x := newTable()
	near := dispatcherOf("near", "a", 100_000, 0)
	x.SetDispatchers(begin, []Dispatcher{near})
	submit(x, "j")
	x.Ready()
	near.Load.MinionsDigest = 7
	x.SetDispatchers(begin, []Dispatcher{near})
	next := dispatcherOf("next", "a", 100_000, 0)
	next.Load.MinionsDigest = 8
	x.SetDispatchers(begin, []Dispatcher{next})
	must.Eq(t, 7, offers(x.Ready())[0].Body.(*peer.JobOffer).MinionsDigest)
	x.SetDispatchers(begin.Add(ms), []Dispatcher{dispatcherOf("third", "a", 100_000, 0)})
	must.Eq(t, 0, offers(x.Ready())[0].Body.(*peer.JobOffer).MinionsDigest)
}

// An acknowledgement of an offer that is no longer current is answered with a
// cancellation: an earlier one may have arrived before the offer.
func TestUnwantedOfferIsCancelledOnAck(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	submit(x, "j")
	o := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.HandleAck(begin, "near", &peer.JobAck{Job: "j", Offer: o.Offer})
	must.Len(t, 0, x.Ready().Messages)
	x.HandleAck(begin, "far", &peer.JobAck{Job: "j", Offer: o.Offer - 1, Shard: 3})
	m := x.Ready().Messages
	must.Len(t, 1, m)
	must.Eq(t, "far", m[0].To)
	must.Eq(t, peer.JobCancel{Job: "j", Offer: o.Offer - 1, Shard: 3}, *m[0].Body.(*peer.JobCancel))
}

// A cancellation is repeated until its dispatcher answers: while connections are reset,
// any number of copies may be lost, and the job would run on beside the caller's next try.
func TestCancellationIsRepeatedUntilAnswered(t *testing.T) {
	for _, answered := range []bool{true, false} {
		x := newTable()
		x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
		submit(x, "j")
		o := offers(x.Ready())[0].Body.(*peer.JobOffer)
		x.RemoveWaiter(begin, "j", 1)
		must.Len(t, 1, x.Ready().Messages)
		cancelsIn := func(from, to time.Duration) (n int) {
			for at := from; at < to; at += 20 * ms {
				x.Tick(begin.Add(at))
				for _, m := range x.Ready().Messages {
					must.Eq(t, peer.JobCancel{Job: "j", Offer: o.Offer, Shard: o.Shard, SinceOfferMS: at.Milliseconds()}, *m.Body.(*peer.JobCancel))
					n++
				}
			}
			return n
		}
		for at := time.Duration(0); at < 2*time.Second; at += 200 * ms {
			must.Positive(t, cancelsIn(at, at+200*ms), must.Sprint(at))
		}
		if answered {
			x.HandleResult(begin, "near", &peer.JobResult{Job: "j", Offer: o.Offer, Outcome: peer.JobUnknown})
			x.Ready()
			must.Zero(t, cancelsIn(2*time.Second, 3*time.Second))
		}
		must.Zero(t, cancelsIn(4*time.Second, 5*time.Second)) // the dispatcher ends the job at its deadline, at 3 s
	}
}
