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

// load is a stream of jobs like a site's: three queues, whose jobs differ in
// width and work by a factor of ten.
type load struct {
	seed    uint64
	factor  float64 // of the usual rate; 1 uses about 0.7 of the minions
	seconds int
	burst   bool                // 1.8 times the rate from second 4 to 8
	order   func(a, b rank) int // of the queue; nil: the usual one
}

// loadKind is one queue of a load.
type loadKind struct {
	name   string
	perS   float64
	width  float64
	workMS float64
	worth  float64
}

// loadKinds are the queues of one failure domain.
var loadKinds = []loadKind{
	{"lookup", 34.4, 8, 60, 0.0291},
	{"check", 100, 2, 200, 0.01},
	{"quote", 6.25, 4, 900, 0.16},
}

const (
	loadMinions = 16
	loadSpread  = 0.4 // of work, width and declared times, in logarithm
	loadCPU     = 27_000
	domainShare = 0.33 // of the load that one failure domain gets
	wire        = 400 * time.Microsecond
)

// got is what the callers of one queue got.
type got struct {
	asked, inTime, late, refused, failed int
	tooLate                              int // answered when it was of no use
	big, bigServed                       int // of the largest tenth
	worth, earned                        float64
	lateRefusals                         int // refused after a quarter of the objective
}

type loadJob struct {
	kind  *loadKind
	offer *peer.JobOffer
	at    time.Time
	work  []time.Duration
	goal  time.Duration // by the true work
	worth float64
	big   bool
}

type loadRun struct {
	start Start
	began time.Time
	work  time.Duration
	ended bool
}

type loadMinion struct {
	id    string
	cpu   int64
	used  int64
	speed float64
	runs  map[TaskRef]*loadRun
	ended []Ended
	hold  *Hold
	n     uint64
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

type player struct {
	t       *testing.T
	rng     *rand.Rand
	p       *Pool
	now     time.Time
	events  loadEvents
	seq     int
	minions map[string]*loadMinion
	jobs    map[string]*loadJob
	got     map[string]*got
}

// play runs a load against a pool and returns what callers got by queue.
func play(t *testing.T, l load) map[string]*got {
	y := &player{
		t: t, rng: rand.New(rand.NewPCG(l.seed, 1)), now: begin, minions: make(map[string]*loadMinion),
		jobs: make(map[string]*loadJob), got: make(map[string]*got),
		p: New(Config{Timing: DefaultTiming(), Note: func(event.ID, ...slog.Attr) {}}),
	}
	if l.order != nil {
		y.p.order = l.order
	}
	y.p.Claim(y.now, 1<<30)
	for i := range loadMinions {
		m := &loadMinion{id: fmt.Sprintf("m%02d", i), cpu: 64_000, speed: 1, runs: make(map[TaskRef]*loadRun)}
		if i%3 == 2 {
			m.cpu, m.speed = 96_000, 1.3
		}
		y.minions[m.id] = m
		y.p.Minion(y.now, peer.MinionRecord{ID: m.id, Service: "s", FailureDomain: "z", CPU: m.cpu, MemoryMB: 131_072, Seq: 1})
	}
	for i := range loadKinds {
		k := &loadKinds[i]
		y.got[k.name] = &got{}
		y.arrive(k, l, time.Duration(l.seconds)*time.Second)
	}
	y.after(20*time.Millisecond, y.tick)
	y.carry()
	end := begin.Add(time.Duration(l.seconds+10) * time.Second)
	for len(y.events) > 0 && y.events[0].at.Before(end) {
		e := heap.Pop(&y.events).(loadEvent)
		y.now = e.at
		e.f()
		y.carry()
	}
	return y.got
}

func (y *player) after(d time.Duration, f func()) {
	y.seq++
	heap.Push(&y.events, loadEvent{y.now.Add(d), y.seq, f})
}

func (y *player) tick() {
	y.p.Tick(y.now)
	y.after(20*time.Millisecond, y.tick)
}

// vary draws a log-normal factor of mean 1.
func (y *player) vary(sigma float64) float64 {
	return math.Exp(sigma*y.rng.NormFloat64() - sigma*sigma/2)
}

func (y *player) arrive(k *loadKind, l load, until time.Duration) {
	var at time.Duration
	for n := 0; ; n++ {
		rate := k.perS * domainShare * l.factor
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

func (y *player) newJob(k *loadKind, n int) *loadJob {
	width := min(int(4*k.width), max(1, int(math.Round(k.width*y.vary(loadSpread)))))
	work := min(4*k.workMS, k.workMS*y.vary(loadSpread))
	j := &loadJob{kind: k}
	var longest, sum time.Duration
	for range width {
		d := time.Duration(work * y.vary(0.15) * float64(time.Millisecond))
		j.work = append(j.work, d)
		longest = max(longest, d)
		sum += d
	}
	j.goal = longest*16/10 + 60*time.Millisecond
	usual := k.width * k.workMS * float64(time.Millisecond)
	j.worth = k.worth * min(4, 0.3+0.7*float64(sum)/usual)
	j.big = float64(sum) > 2*usual
	declared := int64(work * math.Exp(loadSpread*y.rng.NormFloat64()))
	cpu := int64(loadCPU * min(1.5, y.vary(0.2)))
	deadline := 3*j.goal + time.Duration(y.rng.IntN(2000))*time.Millisecond
	j.offer = &peer.JobOffer{
		Job: fmt.Sprintf("%s-%d", k.name, n), Offer: 1, Queue: k.name, Service: "s", Attempts: 3,
		StretchPct: 160, AddMS: 60, LeftMS: deadline.Milliseconds(),
		Steps: []peer.TaskStep{{Count: width, CPU: cpu, MemoryMB: 64, EstimateMS: max(1, declared)}},
	}
	return j
}

func (y *player) submit(j *loadJob) {
	j.at = y.now
	g := y.got[j.kind.name]
	g.asked++
	g.worth += j.worth
	if j.big {
		g.big++
	}
	y.jobs[j.offer.Job] = j
	y.p.Offer(y.now, "entry", j.offer)
}

// carry carries out what the pool asks for.
func (y *player) carry() {
	for {
		r := y.p.Ready()
		if len(r.Starts)+len(r.Stops)+len(r.Holds)+len(r.Results) == 0 {
			return
		}
		for _, s := range r.Starts {
			y.after(wire, func() { y.start(s) })
		}
		for _, s := range r.Stops {
			y.after(wire, func() { y.stop(s) })
		}
		for _, h := range r.Holds {
			y.after(wire, func() { y.held(h) })
		}
		for _, x := range r.Results {
			y.result(&x.Body)
		}
	}
}

func (y *player) start(s Start) {
	m := y.minions[s.Minion]
	j := y.jobs[s.Task.Job]
	need := j.offer.Steps[0].CPU
	must.True(y.t, m.used+need <= m.cpu, must.Sprintf("%s is over its capacity", m.id))
	m.used += need
	x := &loadRun{start: s, began: y.now, work: time.Duration(float64(j.work[s.Task.Index]) * m.speed)}
	m.runs[s.Task] = x
	y.after(x.work, func() { y.end(m, x, EndDone) })
	y.after(wire, func() { y.p.Started(y.now, s, AnswerOK, y.clock()) })
}

func (y *player) clock() int64 { return 1 + y.now.Sub(begin).Milliseconds() }

func (y *player) end(m *loadMinion, x *loadRun, how End) {
	if x.ended {
		return
	}
	x.ended = true
	delete(m.runs, x.start.Task)
	m.used -= y.jobs[x.start.Task.Job].offer.Steps[0].CPU
	m.n++
	m.ended = append(m.ended, Ended{Number: m.n, Task: x.start.Task, Run: x.start.Run, How: how})
	if h := m.hold; h != nil {
		m.hold = nil
		y.list(m, *h)
	}
}

func (y *player) stop(s Stop) {
	m := y.minions[s.Minion]
	if x := m.runs[s.Task]; x != nil && x.start.Run == s.Run {
		y.after(20*time.Millisecond, func() { y.end(m, x, EndStopped) })
	}
	y.after(wire, func() { y.p.Stopped(y.now, s, AnswerOK) })
}

func (y *player) held(h Hold) {
	m := y.minions[h.Minion]
	m.ended = slices.DeleteFunc(m.ended, func(e Ended) bool { return e.Number <= h.LastSeen })
	if len(m.ended) > 0 || h.Wait == 0 {
		y.list(m, h)
		return
	}
	m.hold = &h
	y.after(h.Wait, func() {
		if m.hold == &h {
			m.hold = nil
			y.list(m, h)
		}
	})
}

func (y *player) list(m *loadMinion, h Hold) {
	l := &Listing{ClockMS: y.clock(), Ended: slices.Clone(m.ended)}
	for _, x := range m.runs {
		l.Running = append(l.Running, Running{Task: x.start.Task, Run: x.start.Run, Percent: math.Floor(100 * float64(y.now.Sub(x.began)) / float64(x.work))})
	}
	y.after(wire, func() { y.p.Held(y.now, h.Minion, h.Serial, AnswerOK, l) })
}

// result counts what a caller got: full credit inside the objective, a fifth
// up to three times it.
func (y *player) result(r *peer.JobResult) {
	j := y.jobs[r.Job]
	g := y.got[j.kind.name]
	took := y.now.Sub(j.at)
	switch {
	case r.Outcome == peer.JobRefused:
		g.refused++
		if took > j.goal/4 {
			g.lateRefusals++
		}
		return
	case r.Outcome != peer.JobComplete:
		g.failed++
		return
	case took <= j.goal:
		g.inTime++
		g.earned += j.worth
	case took <= 3*j.goal:
		g.late++
		g.earned += j.worth / 5
	default:
		g.tooLate++
		return
	}
	if j.big {
		g.bigServed++
	}
}

// total returns the share of all worth that was earned, and the served share
// of all jobs.
func total(g map[string]*got) (earned, served float64) {
	var sum got
	for _, x := range g {
		sum.worth += x.worth
		sum.earned += x.earned
		sum.asked += x.asked
		sum.inTime += x.inTime
		sum.late += x.late
	}
	return sum.earned / sum.worth, float64(sum.inTime+sum.late) / float64(sum.asked)
}

func (g *got) String() string {
	return fmt.Sprintf("asked %d in time %.3f late %.3f refused %.3f (late %.3f) failed %.3f too late %.3f earned %.3f big served %.2f",
		g.asked, float64(g.inTime)/float64(g.asked), float64(g.late)/float64(g.asked), float64(g.refused)/float64(g.asked),
		float64(g.lateRefusals)/float64(g.asked), float64(g.failed)/float64(g.asked), float64(g.tooLate)/float64(g.asked), g.earned/g.worth, float64(g.bigServed)/float64(max(1, g.big)))
}

// loadSeeds are the draws that a load is judged by.
var loadSeeds = []uint64{1, 2, 3}

// playAll plays a load with every seed and returns the sums.
func playAll(t *testing.T, l load) map[string]*got {
	sums := make(map[string]*got)
	for _, l.seed = range loadSeeds {
		for name, x := range play(t, l) {
			s := sums[name]
			if s == nil {
				s = &got{}
				sums[name] = s
			}
			s.asked += x.asked
			s.inTime += x.inTime
			s.late += x.late
			s.refused += x.refused
			s.failed += x.failed
			s.tooLate += x.tooLate
			s.big += x.big
			s.bigServed += x.bigServed
			s.worth += x.worth
			s.earned += x.earned
			s.lateRefusals += x.lateRefusals
		}
	}
	return sums
}

// Beyond the capacity no queue is starved, and large jobs are served at least
// half as often as their queue: the users' rules ask for that. (go test -v
// prints what callers get.)
func TestHeavyLoads(t *testing.T) {
	for _, l := range []load{{factor: 1}, {factor: 1.3}, {factor: 1.7}, {factor: 1, burst: true}} {
		l.seconds = 20
		g := playAll(t, l)
		earned, served := total(g)
		t.Logf("load %.1f burst %v: earned %.3f served %.3f", l.factor, l.burst, earned, served)
		for _, k := range loadKinds {
			x := g[k.name]
			t.Logf("  %-7s %v", k.name, x)
			all := float64(x.inTime+x.late) / float64(x.asked)
			must.GreaterEq(t, all/2, float64(x.bigServed)/float64(max(1, x.big)), must.Sprintf("large jobs of %s at load %.1f", k.name, l.factor))
			must.GreaterEq(t, earned/2, x.earned/x.worth, must.Sprintf("queue %s at load %.1f", k.name, l.factor))
		}
	}
}

// At 1.7 times the usual load the order by worth for work serves callers better
// than the order of arrival and than the least work first.
func TestOrderBeatsSimplerOrders(t *testing.T) {
	l := load{factor: 1.7, seconds: 20}
	earned, _ := total(playAll(t, l))
	for name, order := range map[string]func(a, b rank) int{
		"arrival": func(a, b rank) int { return byArrival(a.job, b.job) },
		"least work": func(a, b rank) int {
			return cmp.Or(cmp.Compare(a.job.work(), b.job.work()), byArrival(a.job, b.job))
		},
	} {
		l.order = order
		other, _ := total(playAll(t, l))
		t.Logf("by worth for work %.3f, by %s %.3f", earned, name, other)
		must.Greater(t, other, earned, must.Sprint(name))
	}
}
