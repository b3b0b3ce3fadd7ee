package pool

import (
	"log/slog"
	"math"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
)

// This file learns how fast minions run tasks. The load that it answers is that of minions
// of several kinds, some of which take twice as long as others, and not for all queues
// alike: a minion's own average takes some 20 runs to learn that, the average of its
// kind a fraction of these.

const (
	// defaultSpread is the assumed spread of run times while a queue has too few runs:
	// declared run times are off by that much.
	defaultSpread = 0.4
	minSpread     = 0.05 // a spread below that is not told from rounding to milliseconds
)

// logMean is a moving mean of logarithms.
type logMean struct {
	runs   int
	mean   float64
	logged float64 // the figure that was last logged
}

// observe adds a value. The first values have equal weights.
func (l *logMean) observe(x float64) {
	l.mean += math.Max(runWeight, 1/float64(l.runs+1)) * (x - l.mean)
	l.runs++
}

// known reports whether there are enough runs to rely on the mean.
func (l *logMean) known() bool { return l.runs >= minRunsToLearn }

// kindSpeed holds the run times on the minions of one kind, as logarithms of the ratio of
// actual to expected run times.
type kindSpeed struct {
	name    string // the label; empty: none
	minions int
	all     logMean
	byQueue map[*queueStats]*logMean

	// for the task whose minion is being chosen (Pool.fitKinds)
	logSlowdown float64
	step        int // fitStep of the minions of this kind
}

// speeds holds the run times by kind of minion.
type speeds struct {
	byLabel map[string]*kindSpeed
	kinds   []*kindSpeed            // the kinds that have minions
	labels  map[string]int          // number of minions with each label
	means   map[*queueStats]float64 // mean over all minions of the known figures of their kinds
}

// minKindMinions is the number of minions that a label needs to count as a kind. Labels of
// fewer minions name a place, and say less than the minions' own run times.
const minKindMinions = 3

// count counts the minions by kind. A minion's kind is its first label that enough minions
// have; the others are of one kind.
func (s *speeds) count(minions []*minion) {
	if s.byLabel == nil {
		s.byLabel, s.means, s.labels = make(map[string]*kindSpeed), make(map[*queueStats]float64), make(map[string]int)
	}
	clear(s.labels)
	for _, m := range minions {
		for _, l := range m.Labels {
			s.labels[l]++
		}
	}
	for _, k := range s.kinds {
		k.minions = 0
	}
	s.kinds = s.kinds[:0]
	for _, m := range minions {
		k := s.byLabel[s.kindOf(m)]
		if k == nil {
			k = &kindSpeed{name: s.kindOf(m), byQueue: make(map[*queueStats]*logMean)}
			s.byLabel[s.kindOf(m)] = k
		}
		if k.minions == 0 {
			s.kinds = append(s.kinds, k)
		}
		k.minions++
		m.speed = k
	}
}

// kindOf returns the name of the minion's kind.
func (s *speeds) kindOf(m *minion) string {
	for _, l := range m.Labels {
		if s.labels[l] >= minKindMinions {
			return l
		}
	}
	return ""
}

// figure returns the kind's figure for a queue: that of its runs of the queue or, with few
// of these, of all its runs.
func (k *kindSpeed) figure(q *queueStats) (float64, bool) {
	if l := k.byQueue[q]; l != nil && l.known() {
		return l.mean, true
	}
	return k.all.mean, k.all.known()
}

// logSlowdownOf returns the logarithm of the ratio of the run times of a queue on minions
// of the kind to those on all minions; 0 while one of them is unknown. So it is 0 where all
// minions are of one kind.
func (s *speeds) logSlowdownOf(k *kindSpeed, q *queueStats) float64 {
	if k == nil || len(s.kinds) < 2 {
		return 0
	}
	own, ok := k.figure(q)
	if !ok {
		return 0
	}
	return own - s.means[q]
}

// observe adds a run on a minion of the kind. x is the logarithm of the ratio of the actual
// to the expected run time, without the minion's own slowdown.
func (s *speeds) observe(k *kindSpeed, q *queueStats, x float64) {
	if k == nil {
		return
	}
	l := k.byQueue[q]
	if l == nil {
		l = &logMean{}
		k.byQueue[q] = l
	}
	l.observe(x)
	k.all.observe(x)
	var sum float64
	minions := 0
	for _, k := range s.kinds {
		if mean, ok := k.figure(q); ok {
			sum += mean * float64(k.minions)
			minions += k.minions
		}
	}
	if minions > 0 {
		s.means[q] = sum / float64(minions)
	}
}

// logChange is the change of the logarithm of a slowdown that is logged, about a quarter.
const logChange = 0.22

// logSpeed logs the slowdown of a queue on a kind of minions when it has become known, or has
// changed by logChange.
func (p *Pool) logSpeed(k *kindSpeed, j *job) {
	if k == nil || k.byQueue[j.stats] == nil || !k.byQueue[j.stats].known() {
		return
	}
	now, l := p.speeds.logSlowdownOf(k, j.stats), k.byQueue[j.stats]
	if math.Abs(now-l.logged) < logChange {
		return
	}
	l.logged = now
	p.cfg.Log(event.KindSpeedChanged, slog.String("kind", k.name), slog.String("queue", j.offer.Queue),
		slog.Int("time_pct", int(math.Round(100*math.Exp(now)))), slog.Int("minions", k.minions))
}

// logSlowdown returns the logarithm of the ratio of the expected run time on the minion to
// the expected one on an average minion.
func (p *Pool) logSlowdown(m *minion, q *queueStats) float64 {
	return p.speeds.logSlowdownOf(m.speed, q) + m.health.meanLogSlowdown
}

// spread holds the spread of a queue's run times around the expected ones.
type spread struct {
	total  logMean // squares of the logarithm of the ratio of actual to expected run times
	within logMean // squares of its deviation from that of the job's other tasks
}

// observe adds a run whose logarithmic ratio is x. The job's earlier runs are n with the
// given mean.
func (s *spread) observe(x, mean float64, n int) {
	s.total.observe(x * x)
	if n > 0 {
		s.within.observe((x - mean) * (x - mean) / (1 + 1/float64(n)))
	}
}

// known reports whether there are enough runs to rely on the spread.
func (s *spread) known() bool { return s.total.known() }

// deviations returns the standard deviations, as logarithms, of the work of jobs around
// its estimate and of the run times within a job. A job's objective follows the former.
func (s *spread) deviations() (between, within float64) {
	total := defaultSpread * defaultSpread
	if s.total.known() {
		total = s.total.mean
	}
	rest := total
	if s.within.known() {
		rest = math.Min(total, s.within.mean)
	}
	return math.Sqrt(total - rest), math.Max(minSpread, math.Sqrt(rest))
}
