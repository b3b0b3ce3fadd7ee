package fleet

import (
	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/roster"
)

// hostGroups divides the listed entry hosts by their distance from this host. It is
// kept between inputs, because a fleet has hundreds of hosts and each tick needs them.
type hostGroups struct {
	hostsVersion  uint64 // of the roster's hosts (Roster.HostsVersion)
	layoutVersion uint64 // of the cell layout
	cell          []*roster.Host
	outside       []*roster.Host // not in this host's cell
	inDomain      int            // entry hosts of this host's failure domain, without itself
}

// hosts returns the entry hosts by group. The caller must not modify the slices.
func (c *core) hosts() *hostGroups {
	g := &c.groups
	if g.hostsVersion == c.roster.HostsVersion() && g.layoutVersion == c.cellLayout.Version && g.hostsVersion != 0 {
		return g
	}
	*g = hostGroups{hostsVersion: c.roster.HostsVersion(), layoutVersion: c.cellLayout.Version}
	for _, h := range c.roster.Hosts() {
		if !h.Entry {
			continue
		}
		if h.FailureDomain == c.self.FailureDomain {
			g.inDomain++
		}
		if h.FailureDomain == c.self.FailureDomain && claim.CellOf(h.Name, c.cellLayout) == c.cell {
			g.cell = append(g.cell, h)
		} else {
			g.outside = append(g.outside, h)
		}
	}
	return g
}
