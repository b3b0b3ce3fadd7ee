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

// outcome is what became of a trace under one variant.
type outcome struct {
	trace      *trace
	ratio      *hdrhistogram.Histogram // response over ideal
	bySize     []*hdrhistogram.Histogram
	codes      map[result.Code]int
	completed  int           // jobs
	tasks      int           // of completed jobs
	inTime     time.Duration // work of the jobs completed before the end of the trace
	messages   int           // between hosts and minions, and between hosts but for heartbeats
	refusals   int           // starts that a minion refused
	heartbeats int
}

func newOutcome(t *trace) *outcome {
	o := &outcome{trace: t, codes: make(map[result.Code]int)}
	o.ratio = hdrhistogram.New(1, maxRatio, ratioDigits)
	for range sizeBands {
		o.bySize = append(o.bySize, hdrhistogram.New(1, maxRatio, ratioDigits))
	}
	return o
}

func (o *outcome) finished(i int, at time.Duration) {
	a := &o.trace.arrivals[i]
	ratio := float64(at-a.at) / float64(a.ideal(experimentRoundTrip))
	v := min(max(int64(ratio*ratioScale), 1), maxRatio)
	_ = o.ratio.RecordValue(v) // v is in range
	for k, top := range sizeBands {
		if len(a.tasks) <= top {
			_ = o.bySize[k].RecordValue(v)
			break
		}
	}
	o.completed++
	o.tasks += len(a.tasks)
	if at <= o.trace.length {
		o.inTime += a.work()
	}
}

func (o *outcome) refused(_ int, c result.Code) { o.codes[c]++ }

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / ratioScale
}

// wasted is the number of messages beyond two per completed task.
func (o *outcome) wasted() int { return o.messages - 2*o.tasks }

// wastedShare is the share beyond the least: two per task and two per job.
func (o *outcome) wastedShare() float64 {
	return float64(o.wasted()) / float64(2*o.tasks+2*o.completed)
}

// refusalsPerJob is the number of refused starts per completed job.
func (o *outcome) refusalsPerJob() float64 {
	return float64(o.refusals) / float64(max(o.completed, 1))
}

// goodput is the work of completed jobs over the slots' capacity.
func (o *outcome) goodput() float64 {
	return o.inTime.Seconds() / (o.trace.length.Seconds() * traceSlots)
}

func (o *outcome) lost() int { return len(o.trace.arrivals) - o.completed }
