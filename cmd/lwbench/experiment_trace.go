package main

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Shape of the emulated failure domain, one of three of either user.
const (
	traceHosts     = 3
	traceMinions   = 17
	slotsPerMinion = 8
	traceSlots     = traceMinions * slotsPerMinion
)

// Task run times are log-normal.
const (
	medianRun = 200 * time.Millisecond
	sigmaRun  = 0.8
	maxRun    = 5 * time.Second
)

// A burst multiplies the arrival rate for burstLength in every burstEvery.
const (
	burstEvery  = 60 * time.Second
	burstLength = 2 * time.Second
	burstFactor = 5
)

// arrival is one submitted job of a trace.
type arrival struct {
	at    time.Duration
	host  int
	team  int
	tasks []time.Duration // run time of each task
}

func (a *arrival) work() time.Duration {
	var sum time.Duration
	for _, t := range a.tasks {
		sum += t
	}
	return sum
}

// ideal is the shortest possible response: the longest task or the job's share
// of all slots, and one round trip.
func (a *arrival) ideal(roundTrip time.Duration) time.Duration {
	return max(slices.Max(a.tasks), a.work()/traceSlots) + roundTrip
}

// trace is a seeded series of arrivals; every variant is driven by the same one.
type trace struct {
	arrivals []arrival
	length   time.Duration
	tasks    int
}

// jobMix is a distribution of job sizes.
type jobMix struct {
	name string
	size func(r *rand.Rand) int
}

var jobMixes = []jobMix{
	{"mixed", mixedSize},
	{"single", func(*rand.Rand) int { return 1 }},
	{"hundred", func(*rand.Rand) int { return 100 }},
}

// sizeBands are the upper bounds of the job sizes that are reported apart.
var sizeBands = []int{1, 5, 20, 100, 200}

func mixedSize(r *rand.Rand) int {
	p := r.Float64()
	switch {
	case p < 0.60:
		return 1
	case p < 0.80:
		return between(r, 2, 5)
	case p < 0.92:
		return between(r, 6, 20)
	case p < 0.98:
		return between(r, 21, 100)
	default:
		return between(r, 101, 200)
	}
}

func between(r *rand.Rand, low, high int) int { return low + r.IntN(high-low+1) }

func runTime(r *rand.Rand) time.Duration {
	t := time.Duration(float64(medianRun) * math.Exp(sigmaRun*r.NormFloat64()))
	return min(max(t, time.Millisecond), maxRun)
}

// assignTeams gives the jobs to teams, half of them to the first one.
func (t *trace) assignTeams(teams int) {
	for i := range t.arrivals {
		if teams > 1 && i%2 == 1 {
			t.arrivals[i].team = 1 + i/2%(teams-1)
		}
	}
}

// newTrace draws jobs until they hold the given number of tasks, and spreads
// them as a Poisson process whose offered work is load times the slots.
func newTrace(seed uint64, mix jobMix, load float64, tasks int, burst bool) *trace {
	r := rand.New(rand.NewPCG(seed, uint64(len(mix.name))))
	t := &trace{}
	var work time.Duration
	for t.tasks < tasks {
		a := arrival{host: r.IntN(traceHosts), tasks: make([]time.Duration, mix.size(r))}
		for i := range a.tasks {
			a.tasks[i] = runTime(r)
		}
		work += a.work()
		t.tasks += len(a.tasks)
		t.arrivals = append(t.arrivals, a)
	}
	span := time.Duration(float64(work) / (load * traceSlots))
	at := make([]time.Duration, len(t.arrivals))
	for i := range at {
		at[i] = time.Duration(r.Int64N(int64(span)))
	}
	slices.Sort(at)
	for i := range at {
		t.arrivals[i].at = at[i]
		if burst {
			t.arrivals[i].at = burstTime(at[i])
		}
	}
	t.length = t.arrivals[len(t.arrivals)-1].at
	return t
}

// burstTime maps a time of the even process to that of the process with
// bursts: each period starts with a burst.
func burstTime(even time.Duration) time.Duration {
	const busy = burstLength * burstFactor
	const period = busy + burstEvery - burstLength
	full, rest := even/period, even%period
	if rest < busy {
		return full*burstEvery + rest/burstFactor
	}
	return full*burstEvery + burstLength + rest - busy
}

func encodeRun(t time.Duration) []byte { return binary.BigEndian.AppendUint64(nil, uint64(t)) }

func decodeRun(payload []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint64(payload))
}
