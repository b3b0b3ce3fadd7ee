package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// countOffers returns the number of offers to each host.
func countOffers(r Ready) map[string]int {
	out := make(map[string]int)
	for _, m := range offers(r) {
		out[m.To]++
	}
	return out
}

// An offer without an acknowledgement, and its withdrawal after that, are repeated less and
// less often: copies that a full link delays fill it further.
func TestRepeatedOffersBackOff(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 100_000, 0)})
	submit(x, "j")
	must.Len(t, 1, offers(x.Ready()))
	copies, returns := 0, 0
	for at := begin; at.Before(begin.Add(1500 * ms)); at = at.Add(20 * ms) {
		x.Tick(at)
		r := x.Ready()
		copies += len(offers(r))
		returns += len(withdrawals(r))
	}
	must.Eq(t, 1, copies, must.Sprint("after 150 ms"))
	must.Eq(t, 4, returns, must.Sprint("after 300, 450, 750 and 1350 ms"))
}

// A dispatcher that acknowledges offers late gets no further ones while there is another,
// and one that has many unacknowledged offers gets none either.
func TestSlowDispatcherGetsNoFurtherOffers(t *testing.T) {
	x := newTable()
	near, far := dispatcherOf("near", "a", 1_000_000, 0), dispatcherOf("far", "b", 1_000_000, 0)
	x.SetDispatchers(begin, []Dispatcher{near, far})
	submit(x, "first")
	must.Eq(t, map[string]int{"near": 1}, countOffers(x.Ready()))
	late := begin.Add(maxAckDelay + ms)
	x.Submit(late, jobOf("second"), late.Add(time.Second), 1)
	must.Eq(t, map[string]int{"far": 1}, countOffers(x.Ready()))
	x.HandleAck(late, "near", &peer.JobAck{Job: "first", Offer: 1})
	x.Submit(late, jobOf("third"), late.Add(time.Second), 1)
	must.Eq(t, map[string]int{"near": 1}, countOffers(x.Ready()))

	x = newTable()
	near.Load.Free, far.Load.Free = 1<<40, 1<<40
	x.SetDispatchers(begin, []Dispatcher{near, far})
	for i := range 2 * maxUnackedOffers {
		submit(x, fmt.Sprint(i))
	}
	for host, n := range countOffers(x.Ready()) {
		must.LessEq(t, maxUnackedOffers, n, must.Sprint(host))
	}
}

// A job that is not offered to anyone, because every dispatcher is slow, is refused as not
// run as soon as its answer would be too late, and not at its caller's deadline.
func TestJobThatNobodyTakesIsRefusedInTime(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{dispatcherOf("near", "a", 1_000_000, 0)})
	submit(x, "first")
	x.Ready()
	late := begin.Add(maxAckDelay + ms)
	o := jobOf("second")
	o.StretchPct, o.AddMS = 160, 60
	deadline := late.Add(5 * time.Second)
	x.Submit(late, o, deadline, 2)
	must.Len(t, 0, offers(x.Ready()))
	useful := peer.LateFactor*(320*ms+60*ms) - 200*ms // latest start of tasks of 200 ms
	x.Tick(late.Add(useful - ms))
	must.Len(t, 0, x.Ready().Answers)
	x.Tick(late.Add(useful + ms))
	a := x.Ready().Answers
	must.Len(t, 1, a)
	must.Eq(t, peer.JobRefused, a[0].Outcome.Outcome)
	must.Positive(t, a[0].RetryMS)
}
