package fleet

import "time"

// offerMemoryPeriod is the shortest time for which ended offers are remembered. An offer
// is repeated until its sender has the result, which a cut link may hold back; a copy
// that is accepted after the result was sent would run although its sender was told that
// the offer has ended. Few callers wait for longer.
const offerMemoryPeriod = 15 * time.Second

// offerMemory remembers the offers that have ended, for offerMemoryPeriod to twice that.
type offerMemory struct {
	recent, earlier map[offerKey]bool // whether this process has certainly started no task of the offer
	turnedAt        time.Time         // when recent was begun
}

// add remembers an offer. What was remembered first stays: no task of an ended offer is
// started.
func (m *offerMemory) add(now time.Time, key offerKey, notStarted bool) {
	if m.recent == nil || now.Sub(m.turnedAt) >= offerMemoryPeriod {
		m.recent, m.earlier, m.turnedAt = make(map[offerKey]bool), m.recent, now
	}
	if known, ok := m.get(key); ok {
		notStarted = known
	}
	m.recent[key] = notStarted
}

// get reports whether the offer is remembered, and whether no task of it was started.
func (m *offerMemory) get(key offerKey) (notStarted, ok bool) {
	if notStarted, ok = m.recent[key]; ok {
		return notStarted, true
	}
	notStarted, ok = m.earlier[key]
	return notStarted, ok
}

func (m *offerMemory) contains(key offerKey) bool {
	_, ok := m.get(key)
	return ok
}
