package pool

import (
	"cmp"
	"container/heap"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// workload is a stream of jobs like that of a user's site: the mean run times and
// arrival rates of its three queues differ by a factor of about 15.
type workload struct {
	seed    uint64
	factor  float64 // multiple of the arrival rates in loadQueues; 1 uses about 0.7 of the minions' capacity
	seconds int
	burst   bool                // 1.8 times the rate from second 4 to 8
	compare func(a, b rank) int // replaces compareRanks, unless nil
	site    *loadSite           // nil: defaultSite
}

// loadQueue is one queue of a workload.
type loadQueue struct {
	name          string
	jobsPerSecond float64
	width         float64 // mean number of tasks of a job
	taskMS        float64 // mean run time of a task
	value         float64 // of the result of a job with the mean work
}

// loadQueues are the queues of one failure domain.
var loadQueues = []loadQueue{
	{"lookup", 34.4, 8, 60, 0.0291},
	{"check", 100, 2, 200, 0.01},
	{"quote", 6.25, 4, 900, 0.16},
}

const (
	simMinions         = 16
	workSpread         = 0.4 // standard deviation of the logarithm of work, width and declared times
	baseTaskCPU        = 27_000
	domainLoadShare    = 0.33 // share of the load that one failure domain gets
	networkDelay       = 400 * time.Microsecond
	tailShare          = 0.03 // share of the jobs of an uneven site that take tailFactor times as long
	tailFactor         = 7
	interferenceFactor = 1.3
	minDeadline        = 1500 * time.Millisecond // of a job of an uneven site
)

// callerStats counts the results that the callers of one queue received.
type callerStats struct {
	submitted, beforeObjective, afterObjective, refused, failed int
	tooLate                                                     int // answered after three times the objective
	large, largeServed                                          int // jobs of more than twice their queue's mean work, about the largest tenth
	value, earned                                               float64
	lateRefusals                                                int // refused later than a quarter of the objective
}

type loadJob struct {
	queue       *loadQueue
	offer       *peer.JobOffer
	submittedAt time.Time
	work        []time.Duration
	objective   time.Duration // computed from the actual work
	value       float64
	large       bool
}

type loadRun struct {
	start     Start
	startedAt time.Time
	work      time.Duration
	ended     bool
	endAt     time.Time
	slowed    bool // by a run of an interfering queue
}

type loadMinion struct {
	id       string
	cpu      int64
	used     int64
	slowdown float64
	runs     map[TaskRef]*loadRun
	ended    []EndedRun
	poll     *Poll
	endCount uint64
}

type loadEvent struct {
	at  time.Time
	seq int
	f   func()
}

type loadEvents []loadEvent

func (h loadEvents) Len() int { return len(h) }
func (h loadEvents) Less(i, k int) bool {
	return h[i].at.Before(h[k].at) || h[i].at.Equal(h[k].at) && h[i].seq < h[k].seq
}
func (h loadEvents) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *loadEvents) Push(x any)   { *h = append(*h, x.(loadEvent)) }
func (h *loadEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// loadSim simulates the minions and callers of one pool.
type loadSim struct {
	t       testing.TB
	site    *loadSite
	rng     *rand.Rand
	p       *Pool
	now     time.Time
	events  loadEvents
	seq     int
	minions map[string]*loadMinion
	jobs    map[string]*loadJob
	stats   map[string]*callerStats
}

// simulate runs a workload against a pool and returns the callers' results by queue.
func simulate(t testing.TB, l workload) map[string]*callerStats {
	if l.site == nil {
		l.site = defaultSite()
	}
	y := &loadSim{
		t: t, site: l.site, rng: rand.New(rand.NewPCG(l.seed, 1)), now: startTime, minions: make(map[string]*loadMinion),
		jobs: make(map[string]*loadJob), stats: make(map[string]*callerStats),
		p: New(Config{Timing: DefaultTiming(), Log: func(event.ID, ...slog.Attr) {}, SeparateInterfering: l.site.separate}),
	}
	if l.compare != nil {
		y.p.compare = l.compare
	}
	y.p.Claim(y.now, 1<<30)
	for i := range l.site.count {
		k := &l.site.minions[i%len(l.site.minions)]
		m := &loadMinion{id: fmt.Sprintf("m%02d", i), cpu: k.cpu, slowdown: k.slowdown, runs: make(map[TaskRef]*loadRun)}
		y.minions[m.id] = m
		r := peer.MinionRecord{ID: m.id, Service: "s", FailureDomain: "z", CPU: m.cpu, MemoryMB: 131_072, Seq: 1}
		if k.label != "" {
			r.Labels = []string{k.label}
		}
		y.p.UpdateMinion(y.now, r)
	}
	for i := range l.site.queues {
		k := &l.site.queues[i]
		y.stats[k.name] = &callerStats{}
		y.scheduleArrivals(k, l, time.Duration(l.seconds)*time.Second)
	}
	y.after(20*time.Millisecond, y.tick)
	y.execute()
	end := startTime.Add(time.Duration(l.seconds+10) * time.Second)
	for len(y.events) > 0 && y.events[0].at.Before(end) {
		e := heap.Pop(&y.events).(loadEvent)
		y.now = e.at
		e.f()
		y.execute()
	}
	return y.stats
}

func (y *loadSim) after(d time.Duration, f func()) {
	y.seq++
	heap.Push(&y.events, loadEvent{y.now.Add(d), y.seq, f})
}

func (y *loadSim) tick() {
	y.p.Tick(y.now)
	y.after(20*time.Millisecond, y.tick)
}

// logNormal draws a log-normal factor with mean 1.
func (y *loadSim) logNormal(sigma float64) float64 {
	return math.Exp(sigma*y.rng.NormFloat64() - sigma*sigma/2)
}

// scheduleArrivals schedules the jobs of a queue until the given time after the start.
func (y *loadSim) scheduleArrivals(k *loadQueue, l workload, until time.Duration) {
	var at time.Duration
	for n := 0; ; n++ {
		rate := k.jobsPerSecond * l.site.share * l.factor
		if l.burst && at > 4*time.Second && at < 8*time.Second {
			rate *= 1.8
		}
		at += time.Duration(y.rng.ExpFloat64() / rate * float64(time.Second))
		if at > until {
			return
		}
		j := y.newJob(k, n)
		y.after(at, func() { y.submit(j) })
	}
}

func (y *loadSim) newJob(k *loadQueue, n int) *loadJob {
	width := min(int(4*k.width), max(1, int(math.Round(k.width*y.logNormal(workSpread)))))
	work := min(4*k.taskMS, k.taskMS*y.logNormal(workSpread))
	if y.site.uneven && y.rng.Float64() < tailShare {
		work *= tailFactor
	}
	j := &loadJob{queue: k}
	var longest, sum time.Duration
	for range width {
		d := time.Duration(work * y.logNormal(0.15) * float64(time.Millisecond))
		j.work = append(j.work, d)
		longest = max(longest, d)
		sum += d
	}
	if y.site.uneven {
		longest = time.Duration(work * float64(time.Millisecond))
	}
	j.objective = longest*16/10 + 60*time.Millisecond
	meanWork := k.width * k.taskMS * float64(time.Millisecond)
	j.value = k.value * min(4, 0.3+0.7*float64(sum)/meanWork)
	j.large = float64(sum) > 2*meanWork
	declared := int64(work * math.Exp(workSpread*y.rng.NormFloat64()))
	cpu := int64(y.site.taskCPU * min(1.5, y.logNormal(0.2)))
	deadline := 3*j.objective + time.Duration(y.rng.IntN(2000))*time.Millisecond
	if y.site.uneven {
		deadline = max(deadline, minDeadline)
	}
	j.offer = &peer.JobOffer{
		Job: fmt.Sprintf("%s-%d", k.name, n), Offer: 1, Queue: k.name, Service: "s", Attempts: 3,
		StretchPct: 160, AddMS: 60, RemainingMS: deadline.Milliseconds(),
		Steps: []peer.TaskStep{{Count: width, CPU: cpu, MemoryMB: 64, EstimateMS: max(1, declared)}},
	}
	return j
}

func (y *loadSim) submit(j *loadJob) {
	j.submittedAt = y.now
	g := y.stats[j.queue.name]
	g.submitted++
	g.value += j.value
	if j.large {
		g.large++
	}
	y.jobs[j.offer.Job] = j
	y.p.Offer(y.now, "entry", j.offer)
}

// execute carries out the pool's orders and polls, and counts its results.
func (y *loadSim) execute() {
	for {
		r := y.p.Ready()
		if len(r.Starts)+len(r.Stops)+len(r.Polls)+len(r.Results) == 0 {
			return
		}
		for _, s := range r.Starts {
			y.after(networkDelay, func() { y.start(s) })
		}
		for _, s := range r.Stops {
			y.after(networkDelay, func() { y.stop(s) })
		}
		for _, poll := range r.Polls {
			y.after(networkDelay, func() { y.poll(poll) })
		}
		for _, x := range r.Results {
			y.result(&x.Body)
		}
	}
}

func (y *loadSim) start(s Start) {
	m := y.minions[s.Minion]
	j := y.jobs[s.Task.Job]
	need := j.offer.Steps[0].CPU
	must.True(y.t, m.used+need <= m.cpu, must.Sprintf("%s runs more than its capacity", m.id))
	m.used += need
	x := &loadRun{start: s, startedAt: y.now, work: time.Duration(float64(j.work[s.Task.Index]) * m.slowdown)}
	m.runs[s.Task] = x
	y.scheduleEnd(m, x, x.work)
	y.interfere(m, x)
	y.after(networkDelay, func() { y.p.HandleStartAnswer(y.now, s, AnswerOK, y.clock()) })
}

// scheduleEnd ends the run after d, unless its end is scheduled anew.
func (y *loadSim) scheduleEnd(m *loadMinion, x *loadRun, d time.Duration) {
	x.endAt = y.now.Add(d)
	y.after(d, func() {
		if x.endAt.Equal(y.now) {
			y.endRun(m, x, EndDone)
		}
	})
}

func (y *loadSim) clock() int64 { return 1 + y.now.Sub(startTime).Milliseconds() }

func (y *loadSim) endRun(m *loadMinion, x *loadRun, how End) {
	if x.ended {
		return
	}
	x.ended = true
	delete(m.runs, x.start.Task)
	m.used -= y.jobs[x.start.Task.Job].offer.Steps[0].CPU
	m.endCount++
	m.ended = append(m.ended, EndedRun{Number: m.endCount, Task: x.start.Task, Run: x.start.Run, How: how})
	if poll := m.poll; poll != nil {
		m.poll = nil
		y.answerPoll(m, *poll)
	}
}

func (y *loadSim) stop(s Stop) {
	m := y.minions[s.Minion]
	if x := m.runs[s.Task]; x != nil && x.start.Run == s.Run {
		y.after(20*time.Millisecond, func() { y.endRun(m, x, EndStopped) })
	}
	y.after(networkDelay, func() { y.p.HandleStopAnswer(y.now, s, AnswerOK) })
}

func (y *loadSim) poll(poll Poll) {
	m := y.minions[poll.Minion]
	m.ended = slices.DeleteFunc(m.ended, func(e EndedRun) bool { return e.Number <= poll.LastEnd })
	if len(m.ended) > 0 || poll.Wait == 0 {
		y.answerPoll(m, poll)
		return
	}
	m.poll = &poll
	y.after(poll.Wait, func() {
		if m.poll == &poll {
			m.poll = nil
			y.answerPoll(m, poll)
		}
	})
}

func (y *loadSim) answerPoll(m *loadMinion, poll Poll) {
	l := &Listing{ClockMS: y.clock(), Ended: slices.Clone(m.ended)}
	for _, x := range m.runs {
		l.Running = append(l.Running, RunProgress{Task: x.start.Task, Run: x.start.Run, Percent: math.Floor(100 * float64(y.now.Sub(x.startedAt)) / float64(x.work))})
	}
	y.after(networkDelay, func() { y.p.HandlePollAnswer(y.now, poll.Minion, poll.Serial, AnswerOK, l) })
}

// result counts a caller's result: full credit before the objective, a fifth of it up
// to three times the objective.
func (y *loadSim) result(r *peer.JobResult) {
	j := y.jobs[r.Job]
	g := y.stats[j.queue.name]
	took := y.now.Sub(j.submittedAt)
	switch {
	case r.Outcome == peer.JobRefused:
		g.refused++
		if took > j.objective/4 {
			g.lateRefusals++
		}
		return
	case r.Outcome != peer.JobComplete:
		g.failed++
		return
	case took <= j.objective:
		g.beforeObjective++
		g.earned += j.value
	case took <= 3*j.objective:
		g.afterObjective++
		g.earned += j.value / 5
	default:
		g.tooLate++
		return
	}
	if j.large {
		g.largeServed++
	}
}

// totals returns the share of the total value that was earned, and the share of jobs
// that were served.
func totals(g map[string]*callerStats) (earned, served float64) {
	var sum callerStats
	for _, x := range g {
		sum.value += x.value
		sum.earned += x.earned
		sum.submitted += x.submitted
		sum.beforeObjective += x.beforeObjective
		sum.afterObjective += x.afterObjective
	}
	return sum.earned / sum.value, float64(sum.beforeObjective+sum.afterObjective) / float64(sum.submitted)
}

func (g *callerStats) String() string {
	return fmt.Sprintf("submitted %d in time %.3f late %.3f refused %.3f (late %.3f) failed %.3f too late %.3f earned %.3f large served %.2f",
		g.submitted, float64(g.beforeObjective)/float64(g.submitted), float64(g.afterObjective)/float64(g.submitted), float64(g.refused)/float64(g.submitted),
		float64(g.lateRefusals)/float64(g.submitted), float64(g.failed)/float64(g.submitted), float64(g.tooLate)/float64(g.submitted), g.earned/g.value, float64(g.largeServed)/float64(max(1, g.large)))
}

// add adds the counts of x.
func (g *callerStats) add(x *callerStats) {
	g.submitted += x.submitted
	g.beforeObjective += x.beforeObjective
	g.afterObjective += x.afterObjective
	g.refused += x.refused
	g.failed += x.failed
	g.tooLate += x.tooLate
	g.large += x.large
	g.largeServed += x.largeServed
	g.value += x.value
	g.earned += x.earned
	g.lateRefusals += x.lateRefusals
}

// loadSeeds are the random seeds that each workload is run with.
var loadSeeds = []uint64{1, 2, 3}

// simulateAll runs a workload with every seed and returns the sums.
func simulateAll(t *testing.T, l workload) map[string]*callerStats {
	sums := make(map[string]*callerStats)
	for _, l.seed = range loadSeeds {
		for name, x := range simulate(t, l) {
			s := sums[name]
			if s == nil {
				s = &callerStats{}
				sums[name] = s
			}
			s.add(x)
		}
	}
	return sums
}

// Above the capacity no queue is starved: the share of its value that it earns is at
// least half the share that all queues together earn. Large jobs are served at least
// half as often as all jobs of their queue. Both are requirements.
// (go test -v prints the callers' results.)
func TestHeavyLoads(t *testing.T) {
	for _, l := range []workload{{factor: 1}, {factor: 1.3}, {factor: 1.7}, {factor: 1, burst: true}} {
		l.seconds = 20
		g := simulateAll(t, l)
		earned, served := totals(g)
		t.Logf("load %.1f burst %v: earned %.3f served %.3f", l.factor, l.burst, earned, served)
		for _, k := range loadQueues {
			x := g[k.name]
			t.Logf("  %-7s %v", k.name, x)
			all := float64(x.beforeObjective+x.afterObjective) / float64(x.submitted)
			must.GreaterEq(t, all/2, float64(x.largeServed)/float64(max(1, x.large)), must.Sprintf("large jobs of %s at load %.1f", k.name, l.factor))
			must.GreaterEq(t, earned/2, x.earned/x.value, must.Sprintf("queue %s at load %.1f", k.name, l.factor))
		}
	}
}

// At 1.7 times the arrival rates in loadQueues, ranking by value per unit of work earns
// more than serving jobs in order of arrival or by least work first.
func TestRankingBeatsSimplerOrders(t *testing.T) {
	l := workload{factor: 1.7, seconds: 20}
	earned, _ := totals(simulateAll(t, l))
	for name, order := range map[string]func(a, b rank) int{
		"arrival": func(a, b rank) int { return byArrival(a.job, b.job) },
		"least work": func(a, b rank) int {
			return cmp.Or(cmp.Compare(a.job.waitingWork(), b.job.waitingWork()), byArrival(a.job, b.job))
		},
	} {
		l.compare = order
		other, _ := totals(simulateAll(t, l))
		t.Logf("by value per unit of work %.3f, by %s %.3f", earned, name, other)
		must.Greater(t, other, earned, must.Sprint(name))
	}
}
