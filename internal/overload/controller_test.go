package overload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var begin = time.Unix(1_700_000_000, 0)

// host is a simulated dispatcher: a queue of inputs, of which an offer takes workTime and a
// refusal refusalTime.
type host struct {
	c         Controller
	now       time.Time
	freeAt    time.Time
	done      int           // offers that were handled
	valueDone float64       // of them
	maxWait   time.Duration // until a refusal
}

const (
	workTime    = 2 * time.Millisecond
	refusalTime = 50 * time.Microsecond // one message, where a job of eight tasks takes some forty
)

// run offers work at the given multiple of what the host can handle.
func (h *host) run(load float64, duration time.Duration) {
	gap := time.Duration(float64(workTime) / load)
	end := h.now.Add(duration)
	for i := 0; h.now.Before(end); i++ {
		h.now = h.now.Add(gap)
		start := h.now
		if h.freeAt.After(start) {
			start = h.freeAt
		}
		wait := start.Sub(h.now)
		h.c.Observe(wait)
		h.c.Advance(start)
		value := float64(1 + i%4)
		if h.c.RefuseOffer(value) {
			h.maxWait = max(h.maxWait, wait)
			h.freeAt = start.Add(refusalTime)
			continue
		}
		h.done++
		h.valueDone += value
		h.freeAt = start.Add(workTime)
	}
}

// Twice the load that a dispatcher can handle must not cost what it can handle, nor make
// callers wait for a refusal for longer than an objective. What is done is worth more than
// the average. A second after the load has fallen, nothing is refused.
func TestGoodputUnderTwiceTheLoad(t *testing.T) {
	h := &host{now: begin}
	h.run(0.8, 2*time.Second)
	must.Eq(t, 0, h.c.Share())
	must.Eq(t, 800, h.done, must.Sprint("nothing is refused in normal operation"))
	h.done, h.valueDone = 0, 0
	const overload = 20 * time.Second
	h.run(2, overload)
	must.True(t, h.c.Overloaded() || h.c.Share() > 0)
	t.Logf("goodput %.2f, mean value %.2f, longest wait %v", float64(h.done)*workTime.Seconds()/overload.Seconds(), h.valueDone/float64(h.done), h.maxWait)
	must.Greater(t, 0.9*overload.Seconds()/workTime.Seconds(), float64(h.done))
	must.Greater(t, 3.0, h.valueDone/float64(h.done), must.Sprint("2.5 is the average"))
	const objective = 400 * time.Millisecond
	must.Less(t, objective, h.maxWait)
	h.run(0.5, time.Second)
	must.False(t, h.c.Overloaded())
	must.Eq(t, 0, h.c.Share())
}

// Single long waits, as after a pause of the process, are no overload.
func TestPauseIsNoOverload(t *testing.T) {
	var c Controller
	now := begin
	for range 100 {
		c.Observe(700 * time.Millisecond)
		c.Observe(time.Millisecond)
		now = now.Add(interval)
		must.False(t, c.Advance(now))
		c.Observe(700 * time.Millisecond)
		now = now.Add(interval)
		must.False(t, c.Advance(now))
		now = now.Add(interval) // without any input
		must.False(t, c.Advance(now))
	}
	must.Eq(t, 0, c.Share())
	must.False(t, c.RefuseOffer(1))
	must.False(t, c.RefuseRequest())
}

// Overload begins after 200 ms and ends after 300 ms. The retry time grows meanwhile.
func TestDetectorBeginsAndEnds(t *testing.T) {
	var c Controller
	now := begin
	c.Advance(now)
	step := func(wait time.Duration) bool {
		c.Observe(wait)
		now = now.Add(interval)
		return c.Advance(now)
	}
	must.False(t, step(30*time.Millisecond))
	must.True(t, step(30*time.Millisecond))
	first := c.RetryAfter(now)
	for range 10 {
		must.False(t, step(15*time.Millisecond))
	}
	must.Eq(t, time.Second, c.OverloadedFor(now))
	must.Greater(t, first, c.RetryAfter(now))
	must.False(t, step(time.Millisecond))
	must.False(t, step(time.Millisecond))
	must.True(t, step(time.Millisecond))
	must.Eq(t, 0, c.OverloadedFor(now))
}
