package overload

import "time"

const (
	// shareStep is added to the refused share in each interval in which inputs wait too
	// long. With it, half of the work is refused after 0.5 s.
	shareStep = 0.1
	// shareDecay multiplies the refused share in each interval with short waits: a share of
	// nine tenths is gone within 1 s.
	shareDecay = 0.7
	maxShare   = 0.95 // some work is always tried, so that a falling load is seen
	minShare   = 0.05 // less than this is refused as nothing
	// remembered is the number of recent offers that a new one's value is compared with.
	remembered = 128
	minRetry   = 500 * time.Millisecond
	maxRetry   = 5 * time.Second
)

// Controller refuses a share of the work that is offered to an overloaded host. The share
// rises until the waits fall (additive increase, multiplicative decrease). What is worth
// least is refused first.
type Controller struct {
	Detector
	share     float64
	values    [remembered]float64 // of recent offers
	count     int                 // offers so far
	remainder float64             // of the share of equal offers, not refused yet
	requests  float64             // of the share of requests, not refused yet
}

// Advance ends the present interval if its time is up, and adapts the refused share. It
// reports whether the host has become overloaded or has ceased to be.
func (c *Controller) Advance(now time.Time) (changed bool) {
	before := c.Overloaded()
	if !c.Detector.Advance(now) {
		return false
	}
	switch {
	case c.lastWait < idleWait:
		c.share *= shareDecay
		if c.share < minShare {
			c.share = 0
		}
	case c.Overloaded() && c.lastWait > overloadedWait:
		c.share = min(maxShare, c.share+shareStep)
	}
	return c.Overloaded() != before
}

// Reset forgets what was observed.
func (c *Controller) Reset() { *c = Controller{} }

// Share returns the share of offers that is refused.
func (c *Controller) Share() float64 { return c.share }

// RefuseOffer reports whether an offer is to be refused. value is that of the offer for the
// effort that it costs this host.
func (c *Controller) RefuseOffer(value float64) bool {
	known := min(c.count, remembered)
	lower, equal := 0, 0
	for _, v := range c.values[:known] {
		switch {
		case v < value:
			lower++
		case v == value:
			equal++
		}
	}
	c.values[c.count%remembered] = value
	c.count++
	if c.share == 0 {
		return false
	}
	// Of the offers that are worth the same, the part that completes the share is refused.
	part := 1.0
	if known > 0 {
		part = (c.share*float64(known) - float64(lower)) / float64(max(1, equal))
	}
	return due(&c.remainder, part)
}

// RefuseRequest reports whether a request of the host's own callers is to be refused.
// Requests are refused at twice the share of offers: their callers can turn to any other
// host, while an offer needs this host's minions.
func (c *Controller) RefuseRequest() bool { return c.share > 0 && due(&c.requests, 2*c.share) }

// due spreads a share evenly: it adds the part to the remainder, and takes 1 from it and
// returns true when there is that much.
func due(remainder *float64, part float64) bool {
	*remainder += min(1, max(0, part))
	if *remainder < 1 {
		return false
	}
	*remainder--
	return true
}

// RetryAfter returns when a refused caller should try again: when the backlog is worked off.
// It grows with the time of overload, since callers that return too early prolong it.
func (c *Controller) RetryAfter(now time.Time) time.Duration {
	return min(maxRetry, minRetry+c.lastWait+c.OverloadedFor(now))
}
