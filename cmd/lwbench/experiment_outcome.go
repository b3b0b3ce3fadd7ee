package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

const (
	ratioScale  = 1000 // histogram units per 1.0
	maxRatio    = 100_000 * ratioScale
	ratioDigits = 3
)

// outcome accumulates the results of one variant on a trace.
type outcome struct {
	trace          *trace
	ratio          *hdrhistogram.Histogram // response time divided by the ideal one
	ratioBySize    []*hdrhistogram.Histogram
	codes          map[result.Code]int
	completedJobs  int
	completedTasks int           // of completed jobs
	completedWork  time.Duration // run time of the jobs completed before the end of the trace
	messages       int           // between hosts and minions and between hosts, without heartbeats
	refusals       int           // starts that a minion refused
	heartbeats     int
}

func newOutcome(t *trace) *outcome {
	o := &outcome{trace: t, codes: make(map[result.Code]int)}
	o.ratio = hdrhistogram.New(1, maxRatio, ratioDigits)
	for range sizeBands {
		o.ratioBySize = append(o.ratioBySize, hdrhistogram.New(1, maxRatio, ratioDigits))
	}
	return o
}

// recordCompletion records the completion of job i; at is the time since the start
// of the trace.
func (o *outcome) recordCompletion(i int, at time.Duration) {
	a := &o.trace.arrivals[i]
	ratio := float64(at-a.at) / float64(a.ideal(experimentRoundTrip))
	v := min(max(int64(ratio*ratioScale), 1), maxRatio)
	_ = o.ratio.RecordValue(v) // v is in range
	for k, top := range sizeBands {
		if len(a.tasks) <= top {
			_ = o.ratioBySize[k].RecordValue(v)
			break
		}
	}
	o.completedJobs++
	o.completedTasks += len(a.tasks)
	if at <= o.trace.length {
		o.completedWork += a.work()
	}
}

// recordFailure counts a job that ended with a code other than result.OK.
func (o *outcome) recordFailure(_ int, c result.Code) { o.codes[c]++ }

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / ratioScale
}

// wastedMessages is the number of messages beyond two per completed task.
func (o *outcome) wastedMessages() int { return o.messages - 2*o.completedTasks }

// wastedShare is wastedMessages divided by the minimum number of messages: two per
// completed task and two per completed job.
func (o *outcome) wastedShare() float64 {
	return float64(o.wastedMessages()) / float64(2*o.completedTasks+2*o.completedJobs)
}

// refusalsPerJob is the number of refused starts per completed job.
func (o *outcome) refusalsPerJob() float64 {
	return float64(o.refusals) / float64(max(o.completedJobs, 1))
}

// goodput is completedWork divided by the slot time available during the trace.
func (o *outcome) goodput() float64 {
	return o.completedWork.Seconds() / (o.trace.length.Seconds() * traceSlots)
}

func (o *outcome) incompleteJobs() int { return len(o.trace.arrivals) - o.completedJobs }
