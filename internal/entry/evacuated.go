package entry

import (
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
)

// SetEvacuated replaces the list of evacuated failure domains, whose dispatchers get no
// offers. If every failure domain is evacuated, jobs that have not run are refused at
// once.
func (t *Table) SetEvacuated(now time.Time, domains []string, all bool) {
	changed := all != t.allEvacuated || !slices.Equal(domains, t.evacuated)
	t.evacuated, t.allEvacuated = domains, all
	if !changed {
		return
	}
	t.reachableAt = now
	for _, j := range t.sortedJobs() {
		if j.dispatcher.host == "" {
			t.assign(now, j)
		}
	}
}

// takesJob reports whether a dispatcher's failure domain takes the job: it is not evacuated,
// or the job may run on its minions, which only that dispatcher can find out.
func (t *Table) takesJob(d *Dispatcher, j *openJob) bool {
	return j.boundToShard || !slices.Contains(t.evacuated, d.FailureDomain)
}

// cutOffDelay is how long no dispatcher of a failure domain that takes jobs must be listed
// before jobs are refused at once. The other hosts of a failure domain replace a dispatcher
// that fails within that time.
const cutOffDelay = 2 * claim.HeartbeatTimeout

// noteReachable records whether a dispatcher is listed whose failure domain takes jobs.
func (t *Table) noteReachable(now time.Time) {
	if slices.ContainsFunc(t.dispatchers, func(d Dispatcher) bool { return !slices.Contains(t.evacuated, d.FailureDomain) }) {
		t.reachableAt = now
	}
}

// isCutOff reports whether dispatchers are listed, but for some time none whose failure
// domain takes jobs. The load that this answers is an evacuated failure domain that is cut
// off from the others: waiting for them would only keep the callers from trying elsewhere.
func (t *Table) isCutOff(now time.Time) bool {
	return len(t.evacuated) > 0 && len(t.dispatchers) > 0 && now.Sub(t.reachableAt) >= cutOffDelay
}
