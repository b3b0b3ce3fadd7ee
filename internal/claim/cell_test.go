package claim

import (
	"fmt"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// The number of cells does not change while the number of hosts varies a little, and
// the wanted number is stable once it is applied.
func TestNumberOfCellsHasHysteresis(t *testing.T) {
	must.Eq(t, 1, WantedCells(maxHostsPerCell, 1))
	must.Eq(t, 2, WantedCells(maxHostsPerCell+1, 1))
	must.Eq(t, 2, WantedCells(minHostsPerCell*2, 2))
	must.Eq(t, 1, WantedCells(minHostsPerCell*2-1, 2))
	must.Eq(t, 16, WantedCells(368, 1))
	for hosts := range 400 {
		n := WantedCells(hosts, 1)
		must.Eq(t, n, WantedCells(hosts, n))
	}
}

// Hosts and minions are spread evenly over all cells.
func TestCellsAreEven(t *testing.T) {
	counts := make(map[int]int)
	for i := range 400 {
		counts[CellOf(fmt.Sprintf("10.1.0.%d", i), peer.CellLayout{Cells: 4, Version: 9}).Number]++
	}
	must.MapLen(t, 4, counts)
	for _, n := range counts {
		must.Between(t, 70, n, 130)
	}
	must.Eq(t, peer.Cell{}, CellOf("any", peer.CellLayout{Cells: 1}))
}

// If a control host is a neighbour of another, the reverse holds, too; and all control
// hosts are connected through neighbours.
func TestNeighboursAreMutual(t *testing.T) {
	var all []string
	for i := range 50 {
		all = append(all, fmt.Sprintf("c%02d", i))
	}
	reached := map[string]bool{all[0]: true}
	for next := []string{all[0]}; len(next) > 0; next = next[1:] {
		for _, n := range neighboursOf(next[0], all) {
			must.SliceContains(t, neighboursOf(n, all), next[0])
			if !reached[n] {
				reached[n] = true
				next = append(next, n)
			}
		}
	}
	must.MapLen(t, 50, reached)
}

// neighboursOf returns the neighbours of one of all control hosts.
func neighboursOf(self string, all []string) []string {
	var others []string
	for _, n := range all {
		if n != self {
			others = append(others, n)
		}
	}
	return Neighbours(self, others)
}

// A dispatcher sends its load to all of a few hosts outside its cell, and to about 32
// of many.
func TestLoadReceiversAreBounded(t *testing.T) {
	count := func(outside int) int {
		n := 0
		for i := range outside {
			if ReportsLoadTo("d", fmt.Sprintf("e%d", i), outside) {
				n++
			}
		}
		return n
	}
	must.Eq(t, 32, count(32))
	must.Between(t, 20, count(300), 46)
}
