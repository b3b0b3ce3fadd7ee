package claim

import "slices"

// The load that the constants below answer is a failure domain with hosts of two sizes:
// dispatch needs processor time and link rate in proportion to the minions, and a small
// host with the shard of a large one has no processor time left for anything else.
const (
	// minionProcessors is the part of a processor that dispatching to one minion uses at
	// the heaviest load: a host that dispatched for 24 minions used 0.051 on a heavy day.
	minionProcessors = 0.0022
	// minionProcessorShare is the share of a host's processors that its minions may take
	// up: callers, heartbeats and bursts need the rest.
	minionProcessorShare = 0.5
	// hostMemoryMB is what a host uses without minions, with a reserve: processes that
	// dispatched for 24 minions used 39 MB at most.
	hostMemoryMB = 64
	// minionMemoryMB bounds the memory for one minion, its runs and its connections.
	minionMemoryMB = 1
	// maxMinionsPerShard is the largest shard of a strong host: a host that fails takes
	// the service of its whole shard with it until the next one has claimed it.
	maxMinionsPerShard = 64
	// strongFactor is how many times as many minions a strong host carries as a weak one.
	// Hosts that are closer to each other count as alike, so that small differences in
	// size don't change the shards.
	strongFactor = 2
	// maxCarries bounds the number that a host reports.
	maxCarries = 1 << 12
)

// HostSize is what limits the number of minions that a host can dispatch for.
type HostSize struct {
	Processors         float64 // 0: not known
	LinkBytesPerSecond int64   // 0: not limited
	MemoryMB           int64   // 0: not known
}

// Carries returns how many minions a host can dispatch for, or 0 if nothing is known of its
// size. Without its processors, it is at most the usual size of a shard.
func (s HostSize) Carries() int {
	if s.Processors <= 0 && s.LinkBytesPerSecond <= 0 && s.MemoryMB <= 0 {
		return 0
	}
	n := float64(minionsPerShard)
	if s.Processors > 0 {
		n = s.Processors * minionProcessorShare / minionProcessors
	}
	if s.LinkBytesPerSecond > 0 {
		n = min(n, float64(linkMinions(s.LinkBytesPerSecond)))
	}
	if s.MemoryMB > 0 {
		n = min(n, float64(s.MemoryMB-hostMemoryMB)/minionMemoryMB)
	}
	return int(min(maxCarries, max(minMinionsPerShard, n)))
}

// linkMinions returns how many minions a link of the given rate carries.
func linkMinions(bytesPerSecond int64) int64 {
	return bytesPerSecond * minionLinkShare / 100 / minionBytesPerSecond
}

// carried returns the number of minions that a host counts for, given the number that it
// reports. A process that reports none is assumed to carry a shard of the usual size.
func carried(reported int) int {
	if reported <= 0 {
		return minionsPerShard
	}
	return reported
}

// Uneven reports whether some hosts are strong and others are weak. Hosts that report no
// number tell nothing: while new processes replace old ones, hosts that are alike must not
// count as uneven.
func Uneven(reported []int) bool {
	least, most := 0, 0
	for _, n := range reported {
		if n <= 0 {
			continue
		}
		if least == 0 || n < least {
			least = n
		}
		most = max(most, n)
	}
	return least > 0 && most >= strongFactor*least
}

// ShardSize returns how many minions one shard of a cell should have. Where the hosts are
// alike it is usual, the size for any of them. Where they are uneven it is the size that
// makes the most use of the strong ones: the largest for which the hosts that carry it are
// enough for all minions. reported has what each host of the cell reports.
func ShardSize(minions int, reported []int, usual int) int {
	if !Uneven(reported) {
		return usual
	}
	var sizes []int
	for _, n := range reported {
		sizes = append(sizes, min(maxMinionsPerShard, carried(n)))
	}
	slices.SortFunc(sizes, func(a, b int) int { return b - a })
	for i, size := range sizes {
		last := i == len(sizes)-1 || sizes[i+1] < size // all hosts that carry the size are counted
		if last && (i+1)*size >= minions {
			return size
		}
	}
	return sizes[len(sizes)-1]
}
