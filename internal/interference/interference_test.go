package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// simulate observes runs of two queues whose run times spread by 0.4. Queue a is
// slowed down by the given factor while b is beside it. It returns all changes.
func simulate(l *Learner, seed uint64, runs int, factor float64) []Change {
	rng := rand.New(rand.NewPCG(seed, 7))
	var out []Change
	for i := range runs {
		queue, other := "a", "b"
		if i%2 == 1 {
			queue, other = other, queue
		}
		share := max(0, min(1, rng.Float64()*2-0.5))
		y := 0.4 * rng.NormFloat64()
		if rng.Float64() < 0.03 {
			y += math.Log(7)
		}
		if queue == "a" {
			y += share * math.Log(factor)
		}
		out = append(out, l.Observe(Run{Queue: queue, Ratio: math.Exp(y), Weight: 1, Neighbours: []Neighbour{{other, share}, {queue, rng.Float64()}}})...)
	}
	return out
}

// A slowdown of a quarter is found, for the ordered pair that has it only, and it is
// forgotten when it ceases: otherwise tasks are kept apart for no reason.
func TestSlowdownIsFoundAndForgotten(t *testing.T) {
	for seed := range uint64(20) {
		var l Learner
		found := simulate(&l, seed, 8000, 1.25)
		must.Len(t, 1, found, must.Sprint(seed, found))
		must.Eq(t, Change{"a", "b", true, found[0].Slowdown, found[0].StandardError}, found[0])
		must.True(t, l.Interferes("b", "a"))
		must.False(t, l.Interferes("a", "a"))
		ended := simulate(&l, seed+100, 60_000, 1)
		must.Len(t, 1, ended, must.Sprint(seed, ended))
		must.False(t, ended[0].Interferes || l.Interferes("a", "b"))
	}
}

// Independent queues are not reported: four pairs in each of 200 seeds, and a share of
// 0.00135 above three standard errors if there were no lower bound of the slowdown.
func TestIndependentQueuesAreNotReported(t *testing.T) {
	reported := 0
	for seed := range uint64(200) {
		var l Learner
		reported += len(simulate(&l, seed, 4000, 1))
	}
	must.LessEq(t, 1, reported)
}

// The number of queues is bounded, whatever names documents declare: the least recently
// seen are dropped, with what was reported about them.
func TestLeastRecentQueuesAreDropped(t *testing.T) {
	var l Learner
	must.Len(t, 1, simulate(&l, 1, 8000, 1.25))
	var changes []Change
	for i := range 2 * maxQueues {
		changes = append(changes, l.Observe(Run{Queue: fmt.Sprint(i), Ratio: 1, Weight: 1})...)
	}
	must.Len(t, maxQueues, l.rows)
	must.Eq(t, []Change{{Queue: "a", Neighbour: "b"}}, changes)
	must.Eq(t, 0, l.Pairs())
}
