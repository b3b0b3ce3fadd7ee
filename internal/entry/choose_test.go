package entry

import (
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// Other dispatchers are preferred to an overloaded one, whatever their delay. A job that is
// refused is not offered to overloaded ones in turn: that would multiply their load.
func TestOverloadedDispatchersAreAvoided(t *testing.T) {
	overloaded := func(host, domain string) Dispatcher {
		d := dispatcherOf(host, domain, 100_000, 0)
		d.Load.Overloaded = true
		return d
	}
	for _, list := range [][]Dispatcher{
		{overloaded("near", "a"), dispatcherOf("far", "b", 0, 10_000_000)},
		{dispatcherOf("far", "b", 0, 10_000_000), overloaded("near", "a")},
	} {
		x := newTable()
		x.SetDispatchers(begin, list)
		submit(x, "j")
		o := offers(x.Ready())[0]
		must.Eq(t, "far", o.To)
		x.HandleResult(begin, "far", &peer.JobResult{Job: "j", Offer: o.Body.(*peer.JobOffer).Offer, Outcome: peer.JobRefused, RetryMS: 600})
		must.Eq(t, Outcome{Outcome: peer.JobRefused, RetryMS: 600}, x.Ready().Answers[0].Outcome)
	}
	x := newTable()
	x.SetDispatchers(begin, []Dispatcher{overloaded("near", "a"), overloaded("far", "b")})
	submit(x, "j")
	must.Eq(t, "near", offers(x.Ready())[0].To)

	x = newTable()
	empty := dispatcherOf("near", "a", 0, 0)
	empty.Load.Capacity = 0
	x.SetDispatchers(begin, []Dispatcher{empty, overloaded("far", "b")})
	submit(x, "j")
	must.Eq(t, "far", offers(x.Ready())[0].To, must.Sprint("one without minions is no better"))
}
