package pool

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	firstHoldPause = 15 * time.Millisecond // after a second failed hold, doubled each time
	maxHoldPause   = 500 * time.Millisecond
	stopResend     = 80 * time.Millisecond  // of a stop without an answer
	holdGrace      = 300 * time.Millisecond // beyond its wait, after which a hold counts as lost
)

// run is one run that is, or may be, on a minion.
type run struct {
	task     TaskRef
	number   int
	owner    *job           // nil: no job here wants it
	step     *peer.TaskStep // nil: what it needs is not known
	token    uint64         // of its start
	started  bool           // the minion has it
	sentAt   time.Time
	ackAt    time.Time // when its start was confirmed
	ackClock int64     // on the minion's clock
	expected time.Duration
	percent  float64
	seenAt   time.Time // of the newest listing with it
	movedAt  time.Time // when percent last rose
	orphanAt time.Time // when the minion was found to have started anew; zero: it was not
	stopping bool
	stopAt   time.Time // when the stop was sent last
	stopOK   time.Time // when it was confirmed; zero: not yet
	moving   bool      // it is stopped to run elsewhere
}

// left returns how much longer the run should take.
func (x *run) left(now time.Time) time.Duration {
	if !x.started {
		return x.expected
	}
	elapsed := now.Sub(x.ackAt)
	if x.percent > 0 {
		seen := x.seenAt.Sub(x.ackAt)
		return max(0, time.Duration(float64(seen)*100/x.percent)-elapsed)
	}
	return max(x.expected/10, x.expected-elapsed)
}

// orphaned reports whether a run that was confirmed before its minion was found
// to have started anew has ended in either process: none has renewed its lease.
func (x *run) orphaned(now time.Time, t *Timing) bool {
	return !x.started && !x.orphanAt.IsZero() && now.Sub(x.orphanAt) > time.Duration(float64(t.MaxLease)/clockError)+holdGrace
}

// holdCall is a Hold without an answer.
type holdCall struct {
	token  uint64
	sentAt time.Time
	until  time.Time // when it counts as lost
	urgent bool      // beside the regular one
}

type minion struct {
	peer.MinionRecord
	token     uint64
	runs      map[TaskRef]*run
	usedCPU   int64
	usedMem   int64
	usedAcc   int64
	lastSeen  uint64
	listed    bool // under a token of the present claim
	reachable bool
	replaced  bool // the address answers as another process
	clock     int64
	clockAt   time.Time // when the minion's clock was at least clock
	listClock int64     // of the newest listing
	maxUntil  int64     // latest end of a lease that was asked for
	calls     map[uint64]*holdCall
	heardAt   time.Time // when the newest listing arrived
	failures  int
	nextHold  time.Time
	health    health
}

// Minion takes the newest record of a minion that the pool owns.
func (p *Pool) Minion(now time.Time, r peer.MinionRecord) {
	m := p.minions[r.ID]
	if m == nil {
		if r.Gone {
			return
		}
		m = &minion{MinionRecord: r, runs: make(map[TaskRef]*run), calls: make(map[uint64]*holdCall)}
		p.minions[r.ID] = m
		p.ordered = append(p.ordered, m)
		p.set ^= xxhash.Sum64String(r.ID)
		slices.SortFunc(p.ordered, func(a, b *minion) int { return cmp.Compare(a.ID, b.ID) })
		p.renew(now, m)
		return
	}
	if r.Born > m.Born {
		p.restarted(now, m, r.Born)
	}
	if r.Draining && !m.Draining {
		p.cfg.Note(event.PoolMinionDraining, slog.String("minion", r.ID), slog.Int("runs", len(m.runs)))
	}
	born := m.Born
	m.MinionRecord = r
	m.Born = max(born, r.Born)
	if r.Gone && len(m.runs) == 0 {
		p.drop(m)
	}
}

func (p *Pool) drop(m *minion) {
	delete(p.minions, m.ID)
	p.set ^= xxhash.Sum64String(m.ID)
	p.ordered = slices.DeleteFunc(p.ordered, func(x *minion) bool { return x == m })
}

// restarted doubts what runs on a minion that has started anew. A start may have
// been answered by the new process already, or still arrive there: the next
// listing under a newer token tells.
func (p *Pool) restarted(now time.Time, m *minion, born int64) {
	p.cfg.Note(event.PoolMinionReborn, slog.String("minion", m.ID), slog.Int64("born", born), slog.Int("runs", len(m.runs)))
	m.Born = born
	m.replaced = false
	m.lastSeen, m.listClock, m.maxUntil, m.clock = 0, 0, 0, 0
	m.health = health{}
	m.listed = false
	clear(m.calls) // their answers are the earlier process's
	for _, x := range m.sortedRuns() {
		if x.started {
			x.started, x.orphanAt = false, now
		}
	}
	p.renew(now, m)
}

// endAll ends every run of a minion whose runs are certainly over.
func (p *Pool) endAll(now time.Time, m *minion) {
	for _, x := range m.sortedRuns() {
		p.endRun(now, m, x, EndLapsed)
	}
}

func (m *minion) sortedRuns() []*run {
	out := make([]*run, 0, len(m.runs))
	for _, x := range m.runs {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Step, b.task.Step), cmp.Compare(a.task.Index, b.task.Index))
	})
	return out
}

// Held takes the answer to a Hold.
func (p *Pool) Held(now time.Time, id string, serial uint64, a Answer, l *Listing) {
	m := p.minions[id]
	if m == nil {
		return
	}
	call := m.calls[serial]
	if call == nil {
		return // counted as lost, or of an earlier process
	}
	delete(m.calls, serial)
	switch a {
	case AnswerOK:
		p.listing(now, m, call, l)
	case AnswerFenced:
		if call.token == m.token {
			p.depose(m)
		}
	case AnswerOtherProcess:
		p.processEnded(now, m)
	default:
		p.holdFailed(now, m, call)
		p.tickMinion(now, m)
	}
	p.dispatch(now)
}

func (p *Pool) depose(m *minion) {
	p.cfg.Note(event.PoolDeposed, slog.String("minion", m.ID), slog.Uint64("token", m.token))
	p.ready.Deposed = true
	m.listed = false
}

// processEnded handles an address that answers as another process: the one that
// was meant is gone, and its runs with it.
func (p *Pool) processEnded(now time.Time, m *minion) {
	if !m.replaced {
		p.cfg.Note(event.PoolMinionLost, slog.String("minion", m.ID), slog.String("reason", "another process answers"))
	}
	m.replaced = true
	m.reachable = false
	m.nextHold = now.Add(maxHoldPause)
	p.endAll(now, m)
}

// holdFailed notes a hold without an answer.
func (p *Pool) holdFailed(now time.Time, m *minion, call *holdCall) {
	p.lostAt = now
	if call.sentAt.Before(m.heardAt) {
		return // the minion has answered another one since
	}
	if m.reachable {
		p.cfg.Note(event.PoolMinionLost, slog.String("minion", m.ID), slog.String("reason", "no answer"), slog.Int("runs", len(m.runs)))
	}
	m.reachable = false
	m.nextHold = now // a single answer that is lost says little
	if m.failures > 0 {
		m.nextHold = now.Add(min(firstHoldPause<<min(m.failures, 5), maxHoldPause))
	}
	m.failures++
}

// endRun removes a run that is over, or will never be.
func (p *Pool) endRun(now time.Time, m *minion, x *run, how End) {
	delete(m.runs, x.task)
	m.release(x)
	j := x.owner
	if j == nil || p.jobs[j.id] != j {
		return
	}
	if how != EndDone {
		p.cfg.Note(event.PoolRunEnded, slog.String("job", j.id), slog.Int("task", x.task.Index), slog.Int("run", x.number), slog.String("minion", m.ID),
			slog.String("how", how.String()), slog.Bool("moving", x.moving), slog.Bool("reachable", m.reachable))
	}
	if t := j.task(x.task); t != nil && t.run == x {
		p.runEnded(now, j, t, how)
	}
}

// account reserves what a run needs.
func (m *minion) account(x *run) {
	m.usedCPU += x.step.CPU
	m.usedMem += x.step.MemoryMB
	m.usedAcc += x.step.Accelerators
}

func (m *minion) release(x *run) {
	if x.step == nil {
		return
	}
	m.usedCPU -= x.step.CPU
	m.usedMem -= x.step.MemoryMB
	m.usedAcc -= x.step.Accelerators
}

// stop tells the minion to end a run.
func (p *Pool) stop(now time.Time, m *minion, x *run) {
	if x.stopping && (!x.stopOK.IsZero() || now.Sub(x.stopAt) < stopResend) {
		return
	}
	x.stopping = true
	x.stopAt = now
	p.ready.Stops = append(p.ready.Stops, Stop{Minion: m.ID, Address: m.Address, Task: x.task, Run: x.number, Token: m.token})
}

// Stopped takes the answer to a Stop.
func (p *Pool) Stopped(now time.Time, s Stop, a Answer) {
	m := p.minions[s.Minion]
	if m == nil {
		return
	}
	x := m.runs[s.Task]
	if x == nil || x.number != s.Run {
		return
	}
	switch a {
	case AnswerOK:
		x.stopOK = now
		if !x.started {
			p.hold(now, m, 0, true) // its absence now is final
		}
	case AnswerFenced:
		if s.Token == m.token {
			p.depose(m)
		}
	case AnswerOtherProcess:
		p.processEnded(now, m)
	}
}

// tickMinion keeps the minion held, repeats stops, and ends what has lapsed.
func (p *Pool) tickMinion(now time.Time, m *minion) {
	regular := 0
	var newest time.Time
	for _, serial := range slices.Sorted(maps.Keys(m.calls)) {
		c := m.calls[serial]
		if now.After(c.until) {
			delete(m.calls, serial)
			p.holdFailed(now, m, c)
			continue
		}
		if !c.urgent {
			regular++
			newest = c.sentAt
		}
	}
	wait := p.waitOf(m)
	second := regular == 1 && p.lossy(now) && len(m.runs) > 0 && m.reachable && now.Sub(newest) >= wait/2
	if (regular == 0 || second) && !now.Before(m.nextHold) {
		p.hold(now, m, wait, false)
	}
	p.askOverdue(now, m)
	if !m.reachable && m.lapsed(now) && len(m.runs) > 0 {
		p.cfg.Note(event.PoolLeaseLapsed, slog.String("minion", m.ID), slog.Int("runs", len(m.runs)))
		p.endAll(now, m)
		m.token = p.tokens.next()
	}
	for _, x := range m.sortedRuns() {
		if !m.reachable && x.orphaned(now, &p.cfg.Timing) {
			p.endRun(now, m, x, EndLapsed)
			continue
		}
		if x.stopping || x.owner == nil && now.Sub(p.tookAt) >= p.cfg.Timing.Adopt {
			p.stop(now, m, x)
			continue
		}
		p.checkProgress(now, m, x)
	}
	if m.Gone && len(m.runs) == 0 {
		p.drop(m)
	}
}

func (p *Pool) waitOf(m *minion) time.Duration {
	if !m.reachable {
		return 0
	}
	if len(m.runs) == 0 {
		return p.cfg.Timing.IdleWait
	}
	return p.cfg.Timing.BusyWait
}
