package fleet

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// Requests that may have waited while the host stood still are refused: their
// callers may have gone to another host.
func TestRequestsAfterASuspensionAreRefused(t *testing.T) {
	w := newWorld(usualShape, 1)
	h := w.byName["e0-0"]
	h.launch()
	now := simBegin
	submit := func(job string) chan entry.Outcome {
		out := make(chan entry.Outcome, 1)
		h.d.submit(now, peer.JobOffer{Job: job}, now.Add(time.Second), out)
		return out
	}
	h.d.awake(now, time.Hour)
	must.Zero(t, len(submit("before")))
	h.d.awake(now.Add(time.Millisecond), time.Hour+2*suspension)
	now = now.Add(time.Millisecond)
	must.Eq(t, peer.JobRefused, (<-submit("waited")).Outcome)
	now = now.Add(staleRequests)
	must.Zero(t, len(submit("fresh")))
}
