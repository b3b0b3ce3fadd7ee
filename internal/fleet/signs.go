package fleet

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// maxClockDrift bounds how much the clocks of two hosts drift apart, as a share of
	// the time.
	maxClockDrift = 0.02
	// maxKnownDelay is the longest delay of a heartbeat that is computed from clock
	// readings. A larger one is taken for a reading of another process.
	maxKnownDelay = time.Minute
)

// sign is the last sign that a host's process runs.
type sign struct {
	at     time.Time     // when it was sent, at the latest
	offset time.Duration // smallest difference between arrival and clock reading of its heartbeats
	seenAt time.Time     // when offset was determined; zero: no heartbeat yet
}

// observeHeartbeat records a heartbeat with the sender's clock reading. It was delayed by
// as much as the difference of arrival and reading exceeds the smallest one: a link
// may have held it back, and its sender may have ended meanwhile. arrival is on this host's
// clock that counts suspensions.
func (s *sign) observeHeartbeat(now time.Time, arrival, clock time.Duration) {
	offset := arrival - clock
	expected := s.offset + time.Duration(maxClockDrift*float64(now.Sub(s.seenAt)))
	if delay := offset - expected; s.seenAt.IsZero() || delay <= 0 || delay > maxKnownDelay {
		s.offset, s.seenAt = offset, now
		s.observe(now)
		return
	}
	s.observe(now.Add(s.offset - offset))
}

// observe records that the host ran at the given time.
func (s *sign) observe(at time.Time) {
	if at.After(s.at) {
		s.at = at
	}
}

// signOf returns the last sign of another host, for changes.
func (c *core) signOf(host string) *sign {
	s := c.signs[host]
	if s == nil {
		s = &sign{}
		c.signs[host] = s
	}
	return s
}

// recordSign records the sign that a heartbeat is.
func (c *core) recordSign(now time.Time, h *peer.FleetHeartbeat) {
	c.signOf(h.From.Name).observeHeartbeat(now, c.lastBootTime, time.Duration(h.Clock)*time.Millisecond)
}

// lastSign returns when a host was last known to run; now for this host.
func (c *core) lastSign(now time.Time, host string) time.Time {
	if host == c.self.Name {
		return now
	}
	if s := c.signs[host]; s != nil {
		return s.at
	}
	return time.Time{}
}
