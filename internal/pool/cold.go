package pool

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
)

// coldPenalty exceeds all other penalties of a minion: a cold minion runs a task only if
// no other minion can take it now.
const coldPenalty = 1000 * slowdownPenalty

// maxColdMS bounds the cold time of a record in milliseconds: no start takes longer.
const maxColdMS = 600_000

// coldState describes a minion that is slow for some time after its start. Many minions
// are cold at once when a failure domain returns; work that they got by their capacity
// would be late.
type coldState struct {
	active  bool
	maxRuns int           // while active: runs that the minion takes at a time
	total   time.Duration // longest remaining time that was seen
	until   time.Time     // end of the cold time; zero: none was seen
}

// penalty is added to the score by which pickMinion chooses.
func (c *coldState) penalty() int64 {
	if c.active {
		return coldPenalty
	}
	return 0
}

// takesRun reports whether the minion takes one more run beside the given number.
func (c *coldState) takesRun(runs int) bool { return !c.active || runs < c.maxRuns }

// slowed reports whether the run began while the minion was cold. Its run time then says
// nothing about later ones.
func (c *coldState) slowed(x *run) bool { return c.active || x.ackAt.Before(c.until) }

// updateCold updates the minion's cold state from its record and its clock. A cold minion
// takes one run at first, and all that fit at the end.
func (p *Pool) updateCold(now time.Time, m *minion) {
	c := &m.cold
	remaining := m.coldRemaining(now)
	if remaining <= 0 {
		if c.active {
			p.cfg.Log(event.PoolMinionWarm, slog.String("minion", m.ID), slog.Int64("cold_ms", c.total.Milliseconds()))
		}
		c.active = false
		if c.until.After(now) {
			c.until = now
		}
		return
	}
	c.until, c.total = now.Add(remaining), max(c.total, remaining)
	if !c.active {
		p.cfg.Log(event.PoolMinionCold, slog.String("minion", m.ID), slog.Int64("remaining_ms", remaining.Milliseconds()))
	}
	c.active = true
	fits := float64(m.CPU) / max(1, p.meanTaskCPU)
	c.maxRuns = 1 + int(fits*(1-float64(remaining)/float64(c.total)))
}

// coldRemaining returns for how long the minion will be cold.
func (m *minion) coldRemaining(now time.Time) time.Duration {
	if m.ColdUntilMS == 0 || m.clock == 0 || !m.capacityKnown() {
		return 0
	}
	return time.Duration(min(m.ColdUntilMS-m.clock, maxColdMS))*time.Millisecond - now.Sub(m.clockAt)
}

// warmCPU returns the processors of the minion, in thousandths, that count as capacity:
// while it is cold, those of the average tasks that it takes.
func (p *Pool) warmCPU(m *minion) int64 {
	if !m.cold.active || p.meanTaskCPU <= 0 {
		return m.CPU
	}
	return min(m.CPU, int64(float64(m.cold.maxRuns)*p.meanTaskCPU)+1)
}

// ColdMinions returns the number of minions that are cold.
func (p *Pool) ColdMinions() int {
	n := 0
	for _, m := range p.ordered {
		if m.cold.active {
			n++
		}
	}
	return n
}
