package pool

import (
	"math"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	runWeight      = 0.02 // weight of a new run in a queue's averages
	minRunsToLearn = 20   // with fewer runs too little is known, and the declared times are used
)

// queueStats holds moving averages of the arrivals and run times of one queue.
type queueStats struct {
	jobsPerSecond float64 // arrival rate
	meanWork      float64 // of a new job, in thousandths of a processor times milliseconds
	lastArrival   time.Time
	runs          int     // number of runs observed
	meanLogTime   float64 // mean logarithm of the run time in milliseconds
	meanLogRatio  float64 // mean logarithm of the ratio of actual to declared run times
	spread        spread
}

// statsFor returns the statistics of a queue, and creates them for a new queue.
func (p *Pool) statsFor(queue string) *queueStats {
	q := p.queueStats[queue]
	if q == nil {
		q = &queueStats{jobsPerSecond: initialJobsPerSecond}
		p.queueStats[queue] = q
	}
	return q
}

// runTimeFactor returns the ratio of expected to declared run times for a job's steps.
// The declared times and the queue's average are about equally inaccurate, so the
// expected time is their geometric mean.
func (q *queueStats) runTimeFactor(steps []peer.TaskStep) float64 {
	if q.runs < minRunsToLearn || len(steps) == 0 {
		return 1
	}
	var logDeclared float64
	for i := range steps {
		logDeclared += math.Log(float64(max(1, steps[i].EstimateMS)))
	}
	logDeclared /= float64(len(steps))
	return math.Exp((q.meanLogTime-(logDeclared+q.meanLogRatio))/2 + q.meanLogRatio)
}

// observeRun adds a successful run to the averages. The run time is divided by the
// minion's slowdown.
func (q *queueStats) observeRun(took time.Duration, slowdown float64, declaredMS int64) {
	ms := math.Max(1, float64(took)/float64(time.Millisecond)/slowdown)
	logTime := math.Log(ms)
	logRatio := math.Log(ms / float64(max(1, declaredMS)))
	if q.runs == 0 {
		q.meanLogTime, q.meanLogRatio = logTime, logRatio
	}
	weight := math.Max(runWeight, 1/float64(q.runs+1))
	q.meanLogTime += weight * (logTime - q.meanLogTime)
	q.meanLogRatio += weight * (logRatio - q.meanLogRatio)
	q.runs++
}

const (
	arrivalWeight        = 0.02 // weight of a new job in a queue's averages
	initialJobsPerSecond = 10.0 // assumed at a queue's first job
	minArrivalGap        = 1e-4 // seconds; shorter gaps between two jobs count as this
	maxArrivalGap        = 5.0  // seconds; longer gaps count as this, since a long pause says nothing about the rate
)

// observeArrival adds a new job to the arrival rate and the mean work.
func (q *queueStats) observeArrival(now time.Time, work int64) {
	if q.lastArrival.IsZero() {
		q.jobsPerSecond, q.meanWork = initialJobsPerSecond, float64(work)
	} else {
		gap := min(maxArrivalGap, max(minArrivalGap, now.Sub(q.lastArrival).Seconds()))
		q.jobsPerSecond = 1 / ((1-arrivalWeight)/q.jobsPerSecond + arrivalWeight*gap)
		q.meanWork += arrivalWeight * (float64(work) - q.meanWork)
	}
	q.lastArrival = now
}

// learnTaskCPU updates meanTaskCPU with the demands of a job's steps.
func (p *Pool) learnTaskCPU(j *job) {
	for i := range j.offer.Steps {
		cpu := float64(j.offer.Steps[i].CPU)
		if p.meanTaskCPU == 0 {
			p.meanTaskCPU = cpu
		}
		p.meanTaskCPU += arrivalWeight * (cpu - p.meanTaskCPU)
	}
}
