package pool

import (
	"math"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	learnRate = 0.02 // weight of a new run in a kind's averages
	minRuns   = 20   // fewer say nothing about a kind
)

// kind is what was learned of the run times of one queue.
type kind struct {
	rate     float64 // jobs that arrive in a second
	meanWork float64 // of a job, as job.work gives it
	lastAt   time.Time
	runs     int
	logTime  float64 // mean logarithm of the run time in milliseconds
	logRatio float64 // mean logarithm of the run time over the declared one
}

func (p *Pool) kind(queue string) *kind {
	k := p.kinds[queue]
	if k == nil {
		k = &kind{}
		p.kinds[queue] = k
	}
	return k
}

// factor returns the expected run time over the declared one. The declared
// time and the kind's usual time are both off by about as much, so their
// geometric mean is taken.
func (k *kind) factor(steps []peer.TaskStep) float64 {
	if k.runs < minRuns || len(steps) == 0 {
		return 1
	}
	var logDeclared float64
	for i := range steps {
		logDeclared += math.Log(float64(max(1, steps[i].EstimateMS)))
	}
	logDeclared /= float64(len(steps))
	return math.Exp((k.logTime-(logDeclared+k.logRatio))/2 + k.logRatio)
}

// observe learns from a run that ended as done, at the speed of its minion.
func (k *kind) observe(took time.Duration, speed float64, declaredMS int64) {
	ms := math.Max(1, float64(took)/float64(time.Millisecond)/speed)
	logTime := math.Log(ms)
	logRatio := math.Log(ms / float64(max(1, declaredMS)))
	if k.runs == 0 {
		k.logTime, k.logRatio = logTime, logRatio
	}
	rate := math.Max(learnRate, 1/float64(k.runs+1))
	k.logTime += rate * (logTime - k.logTime)
	k.logRatio += rate * (logRatio - k.logRatio)
	k.runs++
}

const (
	arrivalRate  = 0.02 // weight of a new job in a kind's rate and work
	firstRate    = 10.0 // jobs in a second, until they were counted
	shortestGap  = 1e-4 // seconds between two jobs that counts
	longestQuiet = 5.0  // seconds; a longer pause says nothing about the rate
)

// arrived counts a job, to learn the kind's rate and usual work.
func (k *kind) arrived(now time.Time, work int64) {
	if k.lastAt.IsZero() {
		k.rate, k.meanWork = firstRate, float64(work)
	} else {
		gap := min(longestQuiet, max(shortestGap, now.Sub(k.lastAt).Seconds()))
		k.rate = 1 / ((1-arrivalRate)/k.rate + arrivalRate*gap)
		k.meanWork += arrivalRate * (float64(work) - k.meanWork)
	}
	k.lastAt = now
}

// learnSize learns the usual size of a task from those of a job.
func (p *Pool) learnSize(j *job) {
	for i := range j.offer.Steps {
		cpu := float64(j.offer.Steps[i].CPU)
		if p.taskCPU == 0 {
			p.taskCPU = cpu
		}
		p.taskCPU += arrivalRate * (cpu - p.taskCPU)
	}
}
