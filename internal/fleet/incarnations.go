package fleet

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
)

// incarnations are the last two incarnations of a host that sent messages.
type incarnations struct {
	current, previous membership.Incarnation
}

// fromCurrentIncarnation reports whether a message is from a host's current
// incarnation. An incarnation other than the last two becomes the current one: its
// first message, of whatever kind, ends the jobs that the previous incarnation offered
// to this host; jobs that it dispatched for this host are offered again.
func (c *core) fromCurrentIncarnation(now time.Time, from string, inc membership.Incarnation) bool {
	last := c.incarnations[from]
	switch inc {
	case last.current:
		return true
	case last.previous:
		return false
	}
	c.incarnations[from] = incarnations{current: inc, previous: last.current}
	if last.current != "" {
		c.jobTable.HostRestarted(now, from)
		for _, x := range c.sortedShards() {
			x.pool.DetachHost(now, from)
		}
		delete(c.sentLogIndex, from)
	}
	return true
}

// incarnationOf returns the incarnation of a host's present process; empty if not known.
func (c *core) incarnationOf(host string) membership.Incarnation {
	if host == c.self.Name {
		return c.self.Incarnation
	}
	return c.incarnations[host].current
}
