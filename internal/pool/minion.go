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
	pollBackoffBase    = 15 * time.Millisecond // doubled with each failed poll in a row; after the first one there is no pause
	maxPollBackoff     = 500 * time.Millisecond
	stopResendInterval = 80 * time.Millisecond  // after which an unconfirmed stop is sent again
	pollGrace          = 300 * time.Millisecond // time after the end of Poll.Wait until an unanswered poll counts as lost
)

// run is one run that a minion executes, or may execute: its start may be in flight.
type run struct {
	task            TaskRef
	number          int            // number of the task's start, counted from 1
	job             *job           // nil: orphaned, no job of this pool wants it
	step            *peer.TaskStep // nil: the resources that it uses are unknown
	token           uint64         // fencing token of its start; 0: started by an earlier owner
	incarnation     int64          // of the minion, when its start was sent
	started         bool           // the minion has confirmed or listed it
	sentAt          time.Time
	ackAt           time.Time     // when the minion confirmed the start; if only a listing confirmed it: when the start was sent
	ackClock        int64         // the minion's clock in the confirming answer or listing, in milliseconds
	expectedTime    time.Duration // expected run time on its minion
	percent         float64       // of its work, in the newest listing
	listedAt        time.Time     // when a listing last included it
	progressAt      time.Time     // when percent last increased
	restartSeenAt   time.Time     // when a restart of the minion cleared started; zero: no restart
	stopping        bool
	stopSentAt      time.Time // when a stop was last sent
	stopConfirmedAt time.Time // when the minion confirmed a stop; zero: not yet
	moving          bool      // stopped in order to run elsewhere

	neighbourQueue    string      // the queue that it is counted for in neighboursAtStart
	neighboursAtStart *neighbours // the minion's when it started here; nil: not counted
}

// remaining returns the expected time until the run ends.
func (x *run) remaining(now time.Time) time.Duration {
	if !x.started {
		return x.expectedTime
	}
	elapsed := now.Sub(x.ackAt)
	if x.percent > 0 {
		seen := x.listedAt.Sub(x.ackAt)
		return max(0, time.Duration(float64(seen)*100/x.percent)-elapsed)
	}
	return max(x.expectedTime/10, x.expectedTime-elapsed)
}

// expiredAfterRestart reports whether a run has certainly ended whose start was
// confirmed before this host noticed its minion's restart. Either the old or the new
// incarnation may have confirmed it; in either case its lease has expired, since it was
// not renewed.
func (x *run) expiredAfterRestart(now time.Time, t *Timing) bool {
	return !x.started && !x.restartSeenAt.IsZero() && now.Sub(x.restartSeenAt) > time.Duration(float64(t.MaxLease)/minClockRate)+pollGrace
}

// pendingPoll is a poll that has not been answered yet.
type pendingPoll struct {
	token     uint64
	sentAt    time.Time
	lostAfter time.Time // when the poll counts as lost
	urgent    bool      // sent in addition to the regular poll
}

// minion holds the state of one minion: its record, its runs and the capacity that
// they use, its clock and lease, and the polls in flight.
type minion struct {
	peer.MinionRecord
	recordIncarnation int64  // that announced MinionRecord; Incarnation may be newer, from a listing
	token             uint64 // fencing token of new orders
	listedToken       uint64 // highest token under which a listing has arrived
	runs              map[TaskRef]*run
	usedCPU           int64 // thousandths of a processor
	usedMem           int64 // MB
	usedAcc           int64
	lastEnd           uint64                  // number of the newest ended run that was processed
	overloaded        bool                    // the runs exceeded the capacity when it was last checked
	listed            bool                    // a listing under a token of the current claim has arrived
	reachable         bool                    // set by a listing, cleared by a failed poll
	replaced          bool                    // another process answers at the minion's address
	clock             int64                   // newest known reading of the minion's clock, in milliseconds; 0: unknown
	clockAt           time.Time               // when the minion's clock showed at least clock
	listingClock      int64                   // the minion's clock in the newest listing
	maxLeaseEnd       int64                   // latest end of any lease that may have been granted, on the minion's clock
	polls             map[uint64]*pendingPoll // by serial number
	listedAt          time.Time               // when the newest listing arrived
	listedPollAt      time.Time               // when the newest poll under token was sent that a listing has answered
	failedPolls       int                     // in a row
	nextPollAt        time.Time
	health            health
	cold              coldState
	neighbours        *neighbours // nil: no run has been counted
	speed             *kindSpeed  // of its kind, since the last tick; nil: unknown
}

// UpdateMinion adds a minion that the pool owns, or updates its record.
func (p *Pool) UpdateMinion(now time.Time, r peer.MinionRecord) {
	m := p.minions[r.ID]
	if m == nil {
		if r.Left {
			return
		}
		m = &minion{MinionRecord: r, recordIncarnation: r.Incarnation, runs: make(map[TaskRef]*run), polls: make(map[uint64]*pendingPoll)}
		p.minions[r.ID] = m
		p.ordered = append(p.ordered, m)
		p.minionDigest ^= xxhash.Sum64String(r.ID)
		slices.SortFunc(p.ordered, func(a, b *minion) int { return cmp.Compare(a.ID, b.ID) })
		p.raiseToken(now, m)
		return
	}
	if r.Incarnation < m.recordIncarnation {
		return // overtaken by the announcement of a later incarnation
	}
	if r.Incarnation > m.Incarnation {
		p.restarted(now, m, r.Incarnation)
	}
	if r.Draining && !m.Draining {
		p.cfg.Log(event.PoolMinionDraining, slog.String("minion", r.ID), slog.Int("runs", len(m.runs)))
	}
	known := m.Incarnation
	m.MinionRecord, m.recordIncarnation = r, r.Incarnation
	m.Incarnation = max(known, r.Incarnation)
	p.updateCold(now, m)
	p.checkCapacity(m)
	if r.Left && len(m.runs) == 0 {
		p.drop(m)
	}
}

// capacityKnown reports whether the minion's present incarnation has announced its
// capacity and labels. They may differ from those of an earlier incarnation.
func (m *minion) capacityKnown() bool { return m.recordIncarnation == m.Incarnation }

// drop removes a minion that has left and has no runs.
func (p *Pool) drop(m *minion) {
	delete(p.minions, m.ID)
	p.minionDigest ^= xxhash.Sum64String(m.ID)
	p.ordered = slices.DeleteFunc(p.ordered, func(x *minion) bool { return x == m })
}

// restarted handles a new incarnation of a minion. The outcome of all starts is
// then unknown: the new incarnation may have confirmed a start already, or a start
// in flight may still reach it. The next listing under a newer token shows which
// starts were carried out.
func (p *Pool) restarted(now time.Time, m *minion, incarnation int64) {
	p.cfg.Log(event.PoolMinionRestarted, slog.String("minion", m.ID), slog.Int64("born", incarnation), slog.Int("runs", len(m.runs)))
	m.Incarnation = incarnation
	m.replaced = false
	m.lastEnd, m.listingClock, m.maxLeaseEnd, m.clock = 0, 0, 0, 0
	m.health, m.cold = health{}, coldState{}
	m.listed = false
	clear(m.polls) // their answers come from the earlier incarnation
	for _, x := range m.sortedRuns() {
		if x.started {
			x.started, x.restartSeenAt = false, now
		}
		x.stopSentAt, x.stopConfirmedAt = time.Time{}, time.Time{}
	}
	p.raiseToken(now, m)
}

// expireAll ends all runs of a minion whose lease has certainly expired or whose
// process has ended.
func (p *Pool) expireAll(now time.Time, m *minion) {
	for _, x := range m.sortedRuns() {
		p.endRun(now, m, x, EndExpired)
	}
}

// sortedRuns returns the minion's runs by job, step and index.
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

// HandlePollAnswer handles the answer to the poll of the minion id with the given
// serial number. l is nil unless a is AnswerOK.
func (p *Pool) HandlePollAnswer(now time.Time, id string, serial uint64, a Answer, l *Listing) {
	m := p.minions[id]
	if m == nil {
		return
	}
	poll := m.polls[serial]
	if poll == nil {
		return // already counted as lost, or sent to an earlier incarnation
	}
	delete(m.polls, serial)
	switch a {
	case AnswerOK:
		p.handleListing(now, m, poll, l)
		if !p.uncertainOfferAt.IsZero() {
			p.resolveUncertainTasks(now)
		}
	case AnswerFenced:
		if poll.token == m.token {
			p.tokenSuperseded(m)
		}
	case AnswerOtherProcess:
		p.incarnationEnded(now, m)
	default:
		p.pollFailed(now, m, poll)
		p.tickMinion(now, m)
	}
	p.dispatch(now)
}

// tokenSuperseded handles a minion that has seen a higher token: another host owns it
// now.
func (p *Pool) tokenSuperseded(m *minion) {
	p.cfg.Log(event.PoolTokenSuperseded, slog.String("minion", m.ID), slog.Uint64("token", m.token))
	p.ready.TokenSuperseded = true
	m.listed = false
}

// incarnationEnded handles an answer of another process at the minion's address: the
// known incarnation has ended, and its runs with it.
func (p *Pool) incarnationEnded(now time.Time, m *minion) {
	if !m.replaced {
		p.cfg.Log(event.PoolMinionUnreachable, slog.String("minion", m.ID), slog.String("reason", "another process answers"))
	}
	m.replaced = true
	m.reachable = false
	m.nextPollAt = now.Add(maxPollBackoff)
	p.expireAll(now, m)
}

// pollFailed handles a poll that failed or was not answered in time. The minion
// counts as unreachable unless a listing has arrived since the poll was sent.
func (p *Pool) pollFailed(now time.Time, m *minion, poll *pendingPoll) {
	p.pollLostAt = now
	if poll.sentAt.Before(m.listedAt) {
		return
	}
	if m.reachable {
		p.cfg.Log(event.PoolMinionUnreachable, slog.String("minion", m.ID), slog.String("reason", "no answer"), slog.Int("runs", len(m.runs)))
	}
	m.reachable = false
	m.nextPollAt = now // at once: a single lost answer says little
	if m.failedPolls > 0 {
		m.nextPollAt = now.Add(min(pollBackoffBase<<min(m.failedPolls, 5), maxPollBackoff))
	}
	m.failedPolls++
}

// endRun removes a run that has ended or can no longer begin, and frees its capacity.
func (p *Pool) endRun(now time.Time, m *minion, x *run, how End) {
	delete(m.runs, x.task)
	m.release(x)
	p.leaveNeighbours(now, m, x)
	j := x.job
	if j == nil || p.jobs[j.id] != j {
		return
	}
	if how != EndDone {
		p.cfg.Log(event.PoolRunUnsuccessful, slog.String("job", j.id), slog.Int("task", x.task.Index), slog.Int("run", x.number), slog.String("minion", m.ID),
			slog.String("how", how.String()), slog.Bool("moving", x.moving), slog.Bool("reachable", m.reachable))
	}
	if t := j.task(x.task); t != nil && t.run == x {
		p.runEnded(now, j, t, how)
	}
}

// reserve counts the run's resources as used.
func (m *minion) reserve(x *run) {
	m.usedCPU += x.step.CPU
	m.usedMem += x.step.MemoryMB
	m.usedAcc += x.step.Accelerators
}

// release counts the run's resources as free again, if they are known.
func (m *minion) release(x *run) {
	if x.step == nil {
		return
	}
	m.usedCPU -= x.step.CPU
	m.usedMem -= x.step.MemoryMB
	m.usedAcc -= x.step.Accelerators
}

// checkCapacity logs once when the minion's runs begin to exceed its capacity.
func (p *Pool) checkCapacity(m *minion) {
	overloaded := m.usedCPU > m.CPU || m.usedMem > m.MemoryMB || m.usedAcc > m.Accelerators
	if overloaded && !m.overloaded {
		p.cfg.Log(event.PoolMinionOverloaded, slog.String("minion", m.ID), slog.Int("runs", len(m.runs)), slog.Int64("used_cpu", m.usedCPU), slog.Int64("cpu", m.CPU),
			slog.Int64("used_mem_mb", m.usedMem), slog.Int64("mem_mb", m.MemoryMB), slog.Int64("born", m.Incarnation), slog.Int64("record_born", m.recordIncarnation),
			slog.Uint64("token", m.token), slog.Uint64("listed_token", m.listedToken))
	}
	m.overloaded = overloaded
}

// stop orders the minion to end a run, unless the minion has confirmed a stop of it
// or one was sent within stopResendInterval.
func (p *Pool) stop(now time.Time, m *minion, x *run) {
	if x.stopping && (!x.stopConfirmedAt.IsZero() || now.Sub(x.stopSentAt) < stopResendInterval) {
		return
	}
	x.stopping = true
	x.stopSentAt = now
	p.ready.Stops = append(p.ready.Stops, Stop{Minion: m.ID, Address: m.Address, Task: x.task, Run: x.number, Token: m.token, Incarnation: m.Incarnation})
}

// HandleStopAnswer handles the answer to a Stop.
func (p *Pool) HandleStopAnswer(now time.Time, s Stop, a Answer) {
	m := p.minions[s.Minion]
	if m == nil || s.Incarnation != m.Incarnation {
		return
	}
	x := m.runs[s.Task]
	if x == nil || x.number != s.Run {
		return
	}
	switch a {
	case AnswerOK:
		x.stopConfirmedAt = now
		if !x.started {
			p.poll(now, m, 0, true) // from now on a listing without the run proves that it will not begin
		}
	case AnswerFenced:
		if s.Token == m.token {
			p.tokenSuperseded(m)
		}
	case AnswerOtherProcess:
		p.incarnationEnded(now, m)
	}
}

// tickMinion polls the minion, repeats unconfirmed stops, ends the runs whose lease
// has expired, and stops orphaned, stuck and slow runs.
func (p *Pool) tickMinion(now time.Time, m *minion) {
	regular := 0
	var newest time.Time
	for _, serial := range slices.Sorted(maps.Keys(m.polls)) {
		c := m.polls[serial]
		if now.After(c.lostAfter) {
			delete(m.polls, serial)
			p.pollFailed(now, m, c)
			continue
		}
		if !c.urgent {
			regular++
			newest = c.sentAt
		}
	}
	wait := p.pollWait(m)
	second := regular == 1 && p.losingPolls(now) && len(m.runs) > 0 && m.reachable && now.Sub(newest) >= wait/2
	if (regular == 0 || second) && !now.Before(m.nextPollAt) {
		p.poll(now, m, wait, false)
	}
	p.updateCold(now, m)
	p.pollOverdueStarts(now, m)
	p.pollForUncertainTasks(now, m)
	if !m.reachable && m.leaseExpired(now) && len(m.runs) > 0 {
		p.cfg.Log(event.PoolLeaseExpired, slog.String("minion", m.ID), slog.Int("runs", len(m.runs)))
		p.expireAll(now, m)
		m.token = p.tokens.next()
	}
	for _, x := range m.sortedRuns() {
		if !m.reachable && x.expiredAfterRestart(now, &p.cfg.Timing) {
			p.endRun(now, m, x, EndExpired)
			continue
		}
		if x.stopping || x.job == nil && now.Sub(p.claimedAt) >= p.cfg.Timing.AdoptionGrace {
			p.stop(now, m, x)
			continue
		}
		p.checkProgress(now, m, x)
	}
	if m.Left && len(m.runs) == 0 {
		p.drop(m)
	}
}

// pollWait returns how long the minion may delay its answer to a poll.
func (p *Pool) pollWait(m *minion) time.Duration {
	if !m.reachable {
		return 0
	}
	if len(m.runs) == 0 {
		return p.cfg.Timing.IdlePollWait
	}
	return p.cfg.Timing.BusyPollWait
}
