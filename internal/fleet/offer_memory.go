package fleet

import "time"

// offerMemoryPeriod is the shortest time for which ended offers are remembered. An offer
// is repeated until its sender has the result, which a cut link may hold back; a copy
// that is accepted after the result was sent would run although its sender was told that
// the offer has ended. Few callers wait for longer.
const offerMemoryPeriod = 15 * time.Second

// offerMemory remembers the offers that have ended, for offerMemoryPeriod to twice that.
type offerMemory struct {
	recent, earlier map[offerKey]struct{}
	turnedAt        time.Time // when recent was begun
}

func (m *offerMemory) add(now time.Time, key offerKey) {
	if m.recent == nil || now.Sub(m.turnedAt) >= offerMemoryPeriod {
		m.recent, m.earlier, m.turnedAt = make(map[offerKey]struct{}), m.recent, now
	}
	m.recent[key] = struct{}{}
}

func (m *offerMemory) contains(key offerKey) bool {
	_, recent := m.recent[key]
	_, earlier := m.earlier[key]
	return recent || earlier
}
