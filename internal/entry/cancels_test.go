package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Cancellations that get no answer don't fill the link: a tick sends a bounded number of
// copies, and their list is bounded. All of them are sent again before their callers'
// next try.
func TestUnansweredCancellationsAreBounded(t *testing.T) {
	const jobs, tick, resubmit = 5000, 20 * ms, 1300 * ms
	var p pendingCancels
	for i := range jobs {
		c := p.add(offerRef{dispatcherID: dispatcherID{host: "d"}, number: 1}, fmt.Sprint(i), begin.Add(time.Minute))
		c.repeatedAt = begin
	}
	sent, copies := 0, make(map[string]int)
	for at := tick; at < resubmit; at += tick {
		due := p.due(begin.Add(at))
		must.LessEq(t, maxCancelResends, len(due))
		sent += len(due)
		for _, c := range due {
			copies[c.job]++
			c.repeatedAt = begin.Add(at)
		}
	}
	must.Less(t, 2*jobs, sent)
	must.MapLen(t, jobs, copies)
	for i := range 2 * maxPendingCancels {
		p.add(offerRef{dispatcherID: dispatcherID{host: "d"}, number: 1}, fmt.Sprint("more ", i), begin.Add(time.Minute))
	}
	must.MapLen(t, maxPendingCancels, p.byKey)
	must.Nil(t, p.find("d", "0", 1))
	p.due(begin.Add(2 * time.Minute))
	must.MapEmpty(t, p.byKey)
	must.SliceEmpty(t, p.order)
}
