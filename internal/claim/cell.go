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
	maxPerCell = 24
	// minPerCell is below a third of that, so that a division lasts.
	minPerCell = 7
	maxCells   = 64
)

// Divided returns into how many cells a failure domain with that many hosts
// should be divided when it has cells now.
func Divided(hosts, cells int) int {
	for hosts > maxPerCell*cells && cells < maxCells {
		cells *= 2
	}
	for hosts < minPerCell*cells && cells > 1 {
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

// ControlHost is a control host and where it is.
type ControlHost struct{ Name, FailureDomain string }

// Hubs returns the control hosts that keep a failure domain's hosts in touch, by
// name: some of its own, which a cut leaves it, and others.
func Hubs(domain string, control []ControlHost) []string {
	const hubs, own = 5, 3 // a domain's hosts outlive the loss of four
	ranked := slices.Clone(control)
	slices.SortFunc(ranked, func(a, b ControlHost) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(domain+"/"+a.Name), xxhash.Sum64String(domain+"/"+b.Name)), cmp.Compare(a.Name, b.Name))
	})
	var out []string
	for _, c := range ranked {
		if c.FailureDomain == domain && len(out) < own {
			out = append(out, c.Name)
		}
	}
	for _, c := range ranked {
		if len(out) < hubs && !slices.Contains(out, c.Name) {
			out = append(out, c.Name)
		}
	}
	return out
}

// few is how many other control hosts all tell each other everything.
const few = 8

// AreFew reports whether a control host reads the whole logs of all others, and
// not just those of its neighbours, of the hubs, and of one hub in whole.
func AreFew(control []ControlHost) bool { return len(control) <= few }

// Neighbours returns the control hosts that one of them tells what it hears: all
// of a few, or those at distances of powers of two in the order of names.
func Neighbours(self string, control []string) []string {
	if len(control) <= few {
		return control
	}
	all := append(slices.Clone(control), self)
	slices.Sort(all)
	at := slices.Index(all, self)
	var out []string
	for d := 1; d <= few; d *= 2 {
		out = append(out, all[(at+d)%len(all)], all[(at-d+len(all))%len(all)])
	}
	return out
}
