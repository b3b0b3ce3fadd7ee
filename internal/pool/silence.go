package pool

import "time"

// entrySilence is the longest time from the last sign of a job's entry host until the job's
// runs have ended or their leases have expired. A caller submits its job again to another
// host no sooner than 1.3 s after its connection to the first one broke. That may have been
// just after the last sign, and the other host may dispatch on other minions. The rest are
// Timing.Stop and the inaccuracy of lastSign.
const entrySilence = 1220 * time.Millisecond

// lastSign returns when the entry hosts of the job were last known to run: the latest time
// of any that waits for its result.
func (p *Pool) lastSign(now time.Time, j *job) time.Time {
	if p.cfg.LastSign == nil {
		return now
	}
	var last time.Time
	for _, w := range j.waiters {
		if at := p.cfg.LastSign(now, w.Host); at.After(last) {
			last = at
		}
	}
	return last
}

// leasePeriod returns for how long a lease that begins now may last: Timing.Lease, but for
// no run longer than entrySilence after the last sign of its job's entry host. A minion's
// lease covers all of its runs. The result is not positive if the lease must not be renewed.
func (p *Pool) leasePeriod(now time.Time, m *minion) time.Duration {
	period := p.cfg.Timing.Lease
	for _, x := range m.runs {
		if x.job != nil {
			period = min(period, p.periodFor(now, x.job))
		}
	}
	return period
}

// periodFor returns for how long a lease that covers the job may last, on a minion's clock,
// which may be slow.
func (p *Pool) periodFor(now time.Time, j *job) time.Duration {
	rest := entrySilence - now.Sub(p.lastSign(now, j))
	return time.Duration(float64(rest) * minClockRate)
}

// minStartLease is the shortest lease with which a task is started: time for two polls that
// renew it.
const minStartLease = 400 * time.Millisecond

// leaseFits reports whether a task of the job may be started on the minion now: a lease of
// some length ends in time, and so does the one that the minion has. A minion doesn't shorten
// it.
func (p *Pool) leaseFits(now time.Time, m *minion, j *job) bool {
	period := p.periodFor(now, j)
	if period >= p.cfg.Timing.Lease {
		return true // no owner grants longer ones
	}
	return period >= minStartLease && m.maxLeaseEnd <= m.clockMS(now)+period.Milliseconds()
}
