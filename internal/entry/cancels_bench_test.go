package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// BenchmarkPendingCancellations measures a second of ticks and results while the
// cancellations of 5,000 jobs get no answer, as behind a cut link.
func BenchmarkPendingCancellations(b *testing.B) {
	const jobs, tick = 5000, 20 * time.Millisecond
	for b.Loop() {
		b.StopTimer()
		x := newTable()
		x.SetDispatchers(begin, []Dispatcher{dispatcherOf("d", "a", 100_000, 0)})
		for i := range jobs {
			x.Submit(begin, jobOf(fmt.Sprint(i)), begin.Add(10*time.Second), uint64(i))
			if j := x.jobs[fmt.Sprint(i)]; j != nil {
				j.ackedAt = begin
				x.flight = nil
			}
		}
		open := x.OpenJobs()
		for i := range jobs {
			x.RemoveWaiter(begin, fmt.Sprint(i), uint64(i))
		}
		x.Ready()
		b.StartTimer()
		messages := 0
		for n := range 50 {
			now := begin.Add(time.Duration(n) * tick)
			x.Tick(now)
			for i := range 10 {
				x.HandleResult(now, "other", &peer.JobResult{Job: fmt.Sprint(i), Offer: 1})
			}
			messages += len(x.Ready().Messages)
		}
		b.ReportMetric(float64(messages), "messages/s")
		b.ReportMetric(float64(open), "jobs")
	}
}
