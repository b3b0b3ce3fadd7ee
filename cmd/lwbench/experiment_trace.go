package main

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Size of the emulated failure domain; each of the two users has three of them.
const (
	traceHosts     = 3
	traceMinions   = 17
	slotsPerMinion = 8
	traceSlots     = traceMinions * slotsPerMinion
)

// The run times of tasks follow a log-normal distribution, cut off at maxRunTime.
const (
	medianRunTime = 200 * time.Millisecond
	runTimeSigma  = 0.8
	maxRunTime    = 5 * time.Second
)

// In the first burstLength of every burstPeriod, the arrival rate is multiplied by
// burstFactor.
const (
	burstPeriod = 60 * time.Second
	burstLength = 2 * time.Second
	burstFactor = 5
)

// arrival is one submitted job of a trace.
type arrival struct {
	at    time.Duration // since the start of the trace
	host  int
	team  int
	tasks []time.Duration // run time of each task
}

// work is the sum of the run times of the job's tasks.
func (a *arrival) work() time.Duration {
	var sum time.Duration
	for _, t := range a.tasks {
		sum += t
	}
	return sum
}

// ideal is the shortest possible response time: one round trip plus the run time of
// the longest task or of the whole job spread over all slots, whichever is longer.
func (a *arrival) ideal(roundTrip time.Duration) time.Duration {
	return max(slices.Max(a.tasks), a.work()/traceSlots) + roundTrip
}

// trace is a seeded series of arrivals. All variants run on the same trace.
type trace struct {
	arrivals  []arrival
	length    time.Duration // arrival time of the last job
	taskCount int
}

// jobMix is a distribution of job sizes.
type jobMix struct {
	name string
	size func(r *rand.Rand) int
}

var jobMixes = []jobMix{
	{"mixed", drawMixedSize},
	{"single", func(*rand.Rand) int { return 1 }},
	{"hundred", func(*rand.Rand) int { return 100 }},
}

// sizeBands are the upper bounds (in tasks) of the job sizes that are reported
// separately.
var sizeBands = []int{1, 5, 20, 100, 200}

func drawMixedSize(r *rand.Rand) int {
	p := r.Float64()
	switch {
	case p < 0.60:
		return 1
	case p < 0.80:
		return randomBetween(r, 2, 5)
	case p < 0.92:
		return randomBetween(r, 6, 20)
	case p < 0.98:
		return randomBetween(r, 21, 100)
	default:
		return randomBetween(r, 101, 200)
	}
}

func randomBetween(r *rand.Rand, low, high int) int { return low + r.IntN(high-low+1) }

func drawRunTime(r *rand.Rand) time.Duration {
	t := time.Duration(float64(medianRunTime) * math.Exp(runTimeSigma*r.NormFloat64()))
	return min(max(t, time.Millisecond), maxRunTime)
}

// assignTeams assigns half of the jobs to the first team and the rest to the others
// in turn.
func (t *trace) assignTeams(teams int) {
	for i := range t.arrivals {
		if teams > 1 && i%2 == 1 {
			t.arrivals[i].team = 1 + i/2%(teams-1)
		}
	}
}

// newTrace generates jobs until they have the given number of tasks in total. The
// arrivals form a Poisson process whose offered load is load times traceSlots.
func newTrace(seed uint64, mix jobMix, load float64, tasks int, burst bool) *trace {
	r := rand.New(rand.NewPCG(seed, uint64(len(mix.name))))
	t := &trace{}
	var work time.Duration
	for t.taskCount < tasks {
		a := arrival{host: r.IntN(traceHosts), tasks: make([]time.Duration, mix.size(r))}
		for i := range a.tasks {
			a.tasks[i] = drawRunTime(r)
		}
		work += a.work()
		t.taskCount += len(a.tasks)
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
			t.arrivals[i].at = withBursts(at[i])
		}
	}
	t.length = t.arrivals[len(t.arrivals)-1].at
	return t
}

// withBursts maps an arrival time of the arrival process without bursts to the one
// with bursts, in which each period starts with a burst.
func withBursts(uniform time.Duration) time.Duration {
	// Durations in which the arrival process without bursts has as many arrivals as
	// one burst, and as one period, of the process with bursts.
	const burstSpan = burstLength * burstFactor
	const periodSpan = burstSpan + burstPeriod - burstLength
	full, rest := uniform/periodSpan, uniform%periodSpan
	if rest < burstSpan {
		return full*burstPeriod + rest/burstFactor
	}
	return full*burstPeriod + burstLength + rest - burstSpan
}

func encodeRunTime(t time.Duration) []byte { return binary.BigEndian.AppendUint64(nil, uint64(t)) }

func decodeRunTime(payload []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint64(payload))
}
