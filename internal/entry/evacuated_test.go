package entry

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// A caller in an evacuated failure domain is served by another one. If there is none, jobs
// are refused at once instead of waiting for a dispatcher.
func TestEvacuatedDomainsGetNoOffers(t *testing.T) {
	x := newTable()
	near, far := dispatcherOf("near", "a", 100_000, 0), dispatcherOf("far", "b", 100_000, 0)
	x.SetDispatchers(begin, []Dispatcher{near, far})
	x.SetEvacuated(begin, []string{"a"}, false)
	submit(x, "j1")
	must.Eq(t, "far", offers(x.Ready())[0].To)
	x.SetDispatchers(begin, []Dispatcher{near})
	submit(x, "j2")
	must.Len(t, 0, x.Ready().Answers, must.Sprint("the other failure domain may only be without a dispatcher for a moment"))
	x.SetEvacuated(begin, []string{"a", "b"}, true)
	submit(x, "j3")
	r := x.Ready()
	must.Len(t, 0, r.Messages)
	must.Len(t, 2, r.Answers)
	must.Eq(t, peer.JobRefused, r.Answers[0].Outcome.Outcome)
	must.Eq(t, "every failure domain is evacuated", r.Answers[1].Reason)
	x.SetEvacuated(begin, nil, false)
	submit(x, "j4")
	must.Eq(t, "near", offers(x.Ready())[0].To)
}

// Callers in an evacuated failure domain that has been cut off from the others for a while
// are told so at once, instead of waiting for dispatchers that do not come back.
func TestCutOffEvacuatedDomainRefusesAtOnce(t *testing.T) {
	x := newTable()
	near, far := dispatcherOf("near", "a", 100_000, 0), dispatcherOf("far", "b", 100_000, 0)
	x.SetDispatchers(begin, []Dispatcher{near, far})
	x.SetEvacuated(begin, []string{"a"}, false)
	x.SetDispatchers(begin.Add(cutOffDelay-ms), []Dispatcher{near})
	x.Submit(begin.Add(cutOffDelay-ms), jobOf("waits"), begin.Add(time.Minute), 1)
	must.Len(t, 0, x.Ready().Answers)
	x.Submit(begin.Add(cutOffDelay), jobOf("refused"), begin.Add(time.Minute), 2)
	r := x.Ready()
	must.Len(t, 0, r.Messages)
	must.Len(t, 1, r.Answers)
	must.Eq(t, peer.JobRefused, r.Answers[0].Outcome.Outcome)
	x.SetDispatchers(begin.Add(cutOffDelay+ms), []Dispatcher{near, far})
	x.Submit(begin.Add(cutOffDelay+ms), jobOf("served"), begin.Add(time.Minute), 3)
	must.Eq(t, "far", offers(x.Ready())[0].To)
}

// A job whose runs have ended in an evacuated failure domain is continued in another one,
// with the tasks that are done. If none takes it, it is not answered as refused: it has run.
func TestJobWithEndedRunsIsContinuedElsewhere(t *testing.T) {
	x := newTable()
	near, far := dispatcherOf("near", "a", 100_000, 0), dispatcherOf("far", "b", 100_000, 0)
	x.SetDispatchers(begin, []Dispatcher{near, far})
	submit(x, "j")
	o := offers(x.Ready())[0].Body.(*peer.JobOffer)
	x.SetEvacuated(begin, []string{"a"}, false)
	must.Len(t, 0, x.Ready().Messages, must.Sprint("the job goes on where it runs"))
	x.HandleResult(begin, "near", &peer.JobResult{Job: "j", Offer: o.Offer, Outcome: peer.JobMoved, Done: []int{1}, RunsEnded: true})
	next := offers(x.Ready())[0]
	must.Eq(t, "far", next.To)
	o = next.Body.(*peer.JobOffer)
	must.Eq(t, []int{1}, o.Done)
	must.False(t, o.MayHaveRun)
	x.HandleResult(begin, "far", &peer.JobResult{Job: "j", Offer: o.Offer, Outcome: peer.JobRefused})
	must.Eq(t, peer.JobUnknown, x.Ready().Answers[0].Outcome.Outcome)
}

// A job that may run in an evacuated failure domain must be offered to the dispatcher that
// takes over there: no other can find out what runs.
func TestBoundJobIsOfferedInEvacuatedDomain(t *testing.T) {
	x := newTable()
	near, far := dispatcherOf("near", "a", 100_000, 0), dispatcherOf("far", "b", 100_000, 0)
	x.SetDispatchers(begin, []Dispatcher{near, far})
	submit(x, "j")
	x.Ready()
	x.SetEvacuated(begin, []string{"a"}, false)
	x.SetDispatchers(begin.Add(time.Second), []Dispatcher{far, dispatcherOf("next", "a", 0, 0)})
	next := offers(x.Ready())[0]
	must.Eq(t, "next", next.To)
	must.True(t, next.Body.(*peer.JobOffer).MayHaveRun)
}
