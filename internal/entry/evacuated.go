package entry

import (
	"slices"
	"time"
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
