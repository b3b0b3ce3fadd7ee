package claim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// maxHostsPerCell limits the hosts of a cell, which all send each other a
	// heartbeat five times a second: about 250 messages a second at each host, which
	// use 5% of its processor.
	maxHostsPerCell = 24
	// minHostsPerCell is below a third of maxHostsPerCell, so that small changes of the number
	// of hosts do not change the cell layout.
	minHostsPerCell = 7
	maxCells        = 64
)

// WantedCells returns the number of cells that a failure domain with that many entry
// hosts should have, given the number that it has now.
func WantedCells(hosts, cells int) int {
	for hosts > maxHostsPerCell*cells && cells < maxCells {
		cells *= 2
	}
	for hosts < minHostsPerCell*cells && cells > 1 {
		cells /= 2
	}
	return cells
}

// CellOf returns the cell that a host or a minion belongs to, by a hash of its name.
func CellOf(name string, d peer.CellLayout) peer.Cell {
	c := peer.Cell{LayoutVersion: d.Version}
	if d.Cells > 1 {
		c.Number = int(xxhash.Sum64String("cell/"+name) % uint64(d.Cells))
	}
	return c
}

// ReportsLoadTo reports whether a dispatcher sends its load in heartbeats to an entry
// host outside its cell. outside is the number of such hosts: if it exceeds receivers,
// the load goes to about that many of them, chosen by hash.
func ReportsLoadTo(dispatcher, entry string, outside int) bool {
	const receivers = 32 // each entry host then receives the load of about ten dispatchers
	if outside <= receivers {
		return true
	}
	return xxhash.Sum64String(dispatcher+"/"+entry)%uint64(outside) < receivers
}

// RelayHosts returns the relay hosts of a failure domain: the control hosts through
// which its hosts learn of each other.
func RelayHosts(domain string, control []string) []string {
	const maxRelays = 5 // the domain stays connected when four of them fail
	ranked := slices.Clone(control)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(domain+"/"+a), xxhash.Sum64String(domain+"/"+b)), cmp.Compare(a, b))
	})
	return ranked[:min(maxRelays, len(ranked))]
}

// Neighbours returns the control hosts to which the control host self passes on what
// it learns: all others if there are few, else those at distances of powers of two in
// the order of names. control lists the other control hosts.
func Neighbours(self string, control []string) []string {
	const maxDistance = 8 // with at most this many others, all of them are neighbours
	if len(control) <= maxDistance {
		return control
	}
	all := append(slices.Clone(control), self)
	slices.Sort(all)
	at := slices.Index(all, self)
	var out []string
	for d := 1; d <= maxDistance; d *= 2 {
		out = append(out, all[(at+d)%len(all)], all[(at-d+len(all))%len(all)])
	}
	return out
}
