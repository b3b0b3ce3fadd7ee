package pool

import "time"

// renew gives the minion a new token: orders under earlier ones that have not
// arrived yet will do nothing. The next listing tells what is there.
func (p *Pool) renew(now time.Time, m *minion) {
	m.token = p.tokens.next()
	p.hold(now, m, 0, true)
}

// hold asks for a listing and renews the lease, where that is safe.
func (p *Pool) hold(now time.Time, m *minion, wait time.Duration, urgent bool) {
	p.serial++
	h := Hold{Minion: m.ID, Address: m.Address, Token: m.token, Serial: p.serial, LastSeen: m.lastSeen, Wait: wait}
	// A minion out of reach is not renewed: its lease must come to an end.
	if m.reachable && m.clock > 0 && len(m.runs) > 0 && m.renewable() {
		h.UntilMS = m.until(now, p.cfg.Timing.Lease)
	}
	m.calls[h.Serial] = &holdCall{token: m.token, sentAt: now, until: now.Add(wait + holdGrace), urgent: urgent}
	p.ready.Holds = append(p.ready.Holds, h)
}

// until returns the end of a lease on the minion's clock, and remembers it.
func (m *minion) until(now time.Time, lease time.Duration) int64 {
	u := m.clockMS(now) + lease.Milliseconds()
	m.maxUntil = max(m.maxUntil, u)
	return u
}

// clockMS returns what the minion's clock shows at least.
func (m *minion) clockMS(now time.Time) int64 {
	return m.clock + int64(float64(now.Sub(m.clockAt).Milliseconds())*clockError)
}

func (m *minion) tick(now time.Time, clock int64) {
	if m.clock == 0 || clock > m.clockMS(now) {
		m.clock, m.clockAt = clock, now
	}
}

// renewable reports whether the lease may go on: a run that nobody wants ends
// with it while its stop is not confirmed.
func (m *minion) renewable() bool {
	for _, x := range m.runs {
		if x.owner == nil && x.stopOK.IsZero() {
			return false
		}
	}
	return true
}

// dirty reports whether a run that nobody wants is not known to be stopped, or
// uses an unknown part of the minion until its end is listed.
func (m *minion) dirty() bool {
	for _, x := range m.runs {
		if x.owner == nil && (x.stopOK.IsZero() || x.step == nil) {
			return true
		}
	}
	return false
}

// lapsed reports whether every lease that was asked for has certainly ended.
func (m *minion) lapsed(now time.Time) bool {
	return m.clock > 0 && m.clockMS(now) > m.maxUntil
}
