package claim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// maxPerCell is how many hosts of a cell tell each other that they live,
	// five times a second: about 250 messages, 5% of an entry host's processor.
	maxHostsPerCell = 24
	// minPerCell is below a third of that, so that a division lasts.
	minHostsPerCell = 7
	maxCells        = 64
)

// Divided returns into how many cells a failure domain with that many hosts
// should be divided when it has cells now.
func Divided(hosts, cells int) int {
	for hosts > maxHostsPerCell*cells && cells < maxCells {
		cells *= 2
	}
	for hosts < minHostsPerCell*cells && cells > 1 {
		cells /= 2
	}
	return cells
}

// CellOf returns the cell that a host or a minion belongs to.
func CellOf(name string, d peer.Division) peer.Cell {
	c := peer.Cell{At: d.At}
	if d.Cells > 1 {
		c.Number = int(xxhash.Sum64String("cell/"+name) % uint64(d.Cells))
	}
	return c
}

// Follows reports whether a dispatcher tells its load to an entry host outside
// its cell, of which there are that many: to all, or to about followers of them.
func Follows(dispatcher, entry string, outside int) bool {
	const followers = 32 // each entry host then hears from some ten dispatchers
	if outside <= followers {
		return true
	}
	return xxhash.Sum64String(dispatcher+"/"+entry)%uint64(outside) < followers
}

// Hubs returns the control hosts that keep a failure domain's hosts in touch.
func Hubs(domain string, control []string) []string {
	const hubs = 5 // a domain's hosts outlive the loss of four
	ranked := slices.Clone(control)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(domain+"/"+a), xxhash.Sum64String(domain+"/"+b)), cmp.Compare(a, b))
	})
	return ranked[:min(hubs, len(ranked))]
}

// Neighbours returns the control hosts that one of them tells what it hears: all
// of a few, or those at distances of powers of two in the order of names.
func Neighbours(self string, control []string) []string {
	const most = 8
	if len(control) <= most {
		return control
	}
	all := append(slices.Clone(control), self)
	slices.Sort(all)
	at := slices.Index(all, self)
	var out []string
	for d := 1; d <= most; d *= 2 {
		out = append(out, all[(at+d)%len(all)], all[(at-d+len(all))%len(all)])
	}
	return out
}
