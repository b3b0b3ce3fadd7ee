package fleet

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// submitJobsAtBounds submits jobs whose numbers, or those of their queue, are at the bounds of
// what is accepted. Some of them can run, and others not; none may disturb other callers.
func (sim *simulation) submitJobsAtBounds(time.Duration) {
	changes := []func(*peer.JobOffer, *peer.TaskStep){
		func(_ *peer.JobOffer, s *peer.TaskStep) { s.CPU = peer.MaxAmount },
		func(_ *peer.JobOffer, s *peer.TaskStep) { s.CPU, s.Count = 1<<30, peer.MaxTasks },
		func(_ *peer.JobOffer, s *peer.TaskStep) { s.MemoryMB = peer.MaxAmount },
		func(_ *peer.JobOffer, s *peer.TaskStep) { s.Accelerators = 1 << 20 },
		func(_ *peer.JobOffer, s *peer.TaskStep) { s.MaxPerMinion = peer.MaxAmount },
		func(_ *peer.JobOffer, s *peer.TaskStep) { s.EstimateMS = peer.MaxTimeMS },
		func(o *peer.JobOffer, _ *peer.TaskStep) { o.Attempts = peer.MaxAmount },
		func(o *peer.JobOffer, _ *peer.TaskStep) { o.StretchPct = peer.MaxStretchPct },
		func(o *peer.JobOffer, _ *peer.TaskStep) { o.AddMS = peer.MaxTimeMS },
	}
	for range 10 {
		c := sim.newCaller()
		c.offer.Steps, c.work = c.offer.Steps[:1], c.work[:1] // the tasks of all steps count
		for range 1 + sim.rng.IntN(3) {
			changes[sim.rng.IntN(len(changes))](&c.offer, &c.offer.Steps[0])
		}
		c.try()
	}
}
