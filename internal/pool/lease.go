package pool

import "time"

// raiseToken gives the minion a new fencing token and polls it. Once the poll has
// arrived, the minion refuses orders with older tokens, so the listing shows
// conclusively which starts were carried out.
func (p *Pool) raiseToken(now time.Time, m *minion) {
	m.token = p.tokens.next()
	p.poll(now, m, 0, true)
}

// runsKnown reports whether a listing under the minion's present token has arrived. Until
// then another owner with a token between the previous one and this one may have started
// runs that this owner does not know.
func (m *minion) runsKnown() bool { return m.listedToken == m.token }

// poll asks the minion for a listing and renews its lease, if that is safe.
func (p *Pool) poll(now time.Time, m *minion, wait time.Duration, urgent bool) {
	p.pollSerial++
	poll := Poll{Minion: m.ID, Address: m.Address, Token: m.token, Serial: p.pollSerial, LastEnd: m.lastEnd, Wait: wait}
	// An unreachable minion's lease is not renewed: it has to expire before the
	// minion's tasks are started elsewhere.
	if m.reachable && m.clock > 0 && len(m.runs) > 0 && m.mayRenewLease() {
		if period := p.leasePeriod(now, m); period > 0 {
			poll.LeaseEndMS = m.leaseEnd(now, period)
		}
	}
	m.polls[poll.Serial] = &pendingPoll{token: m.token, sentAt: now, lostAfter: now.Add(wait + pollGrace), urgent: urgent}
	p.ready.Polls = append(p.ready.Polls, poll)
}

// leaseEnd returns the end of a lease that begins now, in milliseconds of the minion's
// clock, and records it in maxLeaseEnd.
func (m *minion) leaseEnd(now time.Time, lease time.Duration) int64 {
	end := m.clockMS(now) + lease.Milliseconds()
	m.maxLeaseEnd = max(m.maxLeaseEnd, end)
	return end
}

// clockMS returns a lower bound of the minion's clock, in milliseconds.
func (m *minion) clockMS(now time.Time) int64 {
	return m.clock + int64(float64(now.Sub(m.clockAt).Milliseconds())*minClockRate)
}

// observeClock records a reading of the minion's clock, if it raises the lower bound.
func (m *minion) observeClock(now time.Time, clock int64) {
	if m.clock == 0 || clock > m.clockMS(now) {
		m.clock, m.clockAt = clock, now
	}
}

// mayRenewLease reports whether the lease may be renewed. An orphaned run whose stop
// is not confirmed prevents it: the expiry of the lease then ends the run.
func (m *minion) mayRenewLease() bool {
	for _, x := range m.runs {
		if x.job == nil && x.stopConfirmedAt.IsZero() {
			return false
		}
	}
	return true
}

// blockedByOrphan reports whether an orphaned run prevents new starts: its stop is not
// confirmed, or it uses unknown resources until its end is listed.
func (m *minion) blockedByOrphan() bool {
	for _, x := range m.runs {
		if x.job == nil && (x.stopConfirmedAt.IsZero() || x.step == nil) {
			return true
		}
	}
	return false
}

// leaseExpired reports whether every lease that the minion may have granted has
// certainly expired.
func (m *minion) leaseExpired(now time.Time) bool {
	return m.clock > 0 && m.clockMS(now) > m.maxLeaseEnd
}
