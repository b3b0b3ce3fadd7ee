package engine

import (
	"log/slog"
	"sort"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// SlotPolicy determines how the hosts of a failure domain share its minions' slots.
type SlotPolicy uint8

// Slot policies.
const (
	// SlotsCentral makes one host dispatch for the failure domain: the first by
	// name that is reachable. The others forward whole jobs to it. The hosts need
	// not agree on the choice, since a full minion refuses tasks.
	SlotsCentral SlotPolicy = iota
	// SlotsAnywhere lets every host start tasks on every minion.
	SlotsAnywhere
	// SlotsSplit gives each reachable host an equal share of every minion.
	SlotsSplit
	// SlotsLeased divides every minion's slots in proportion to the demand that
	// the hosts report in their heartbeats.
	SlotsLeased
)

const (
	// forwardMargin is subtracted from the deadline of a forwarded job, so that
	// the dispatching host's exact answer arrives before this host's own deadline
	// answer, which cannot say what has run.
	forwardMargin = 25 * time.Millisecond
	// forwardResend is the interval after which an unanswered forward is first
	// sent again; the interval doubles each time.
	forwardResend = 2 * time.Second
	// minDispatcherUptime is how long a peer must have been up before jobs are
	// forwarded to it: until then it may not know every minion.
	minDispatcherUptime = time.Second
	// refusalsPerSearch limits the remembered refusals of forwarded jobs, as a
	// multiple of Config.MaxSearches.
	refusalsPerSearch = 16
)

// forward is a job of this host that another host dispatches. All its tasks count
// as started, since the other host may have started any of them.
type forward struct {
	id       job.ID
	to       string
	inc      membership.Incarnation
	resendAt time.Time
	interval time.Duration
}

// refusal is the refusal of a job that was forwarded to this host. It is
// remembered because the job's owner answers "not run": a later copy of the
// forward must not run.
type refusal struct {
	code   result.Code
	detail string
	until  time.Time
}

// peerState is the state of the connection to a peer, and what the peer reported
// in its last heartbeat.
type peerState struct {
	upSince       time.Time     // when the peer last came up or restarted
	heartbeatAt   time.Time     // when the last heartbeat arrived
	echoHeld      time.Duration // time from the arrival of the echoed heartbeat at the peer until the peer sent this one
	echoed        bool          // the last heartbeat echoed one of this host
	refusesWork   bool          // the peer accepts no new jobs: it reported so, or refused a forwarded job
	demand        int           // tasks of the peer's own small jobs, or all its tasks under SlotsLeased
	lent          int           // slots that the peer lends to this host
	inUse         int           // tasks of the peer in progress on minions
	smoothedInUse float64       // inUse, smoothed
}

// forwarding is the state of the jobs that hosts forward to each other.
type forwarding struct {
	forwards   map[job.ID]*forward
	refusals   map[job.ID]refusal
	peerStates map[string]*peerState
}

func newForwarding() forwarding {
	return forwarding{
		forwards:   make(map[job.ID]*forward),
		refusals:   make(map[job.ID]refusal),
		peerStates: make(map[string]*peerState),
	}
}

// suspectAfter returns the time since the last message from a peer after which no
// new job is forwarded to it: one heartbeat is then overdue.
func (e *Engine) suspectAfter() time.Duration {
	return e.cfg.HeartbeatEvery + e.cfg.HeartbeatEvery/4
}

func (e *Engine) peerCameUp(now time.Time, name string) {
	e.peerStates[name] = &peerState{upSince: now}
	e.updateShare(now)
}

// recordPeerState stores the state that a peer reports in a heartbeat.
func (e *Engine) recordPeerState(now time.Time, from string, h *peer.Heartbeat) {
	p := e.peerStates[from]
	if p == nil {
		return
	}
	p.heartbeatAt = now
	p.echoHeld = h.EchoHeld
	p.echoed = h.EchoSentAt != 0
	p.refusesWork = h.RefusesWork
	p.demand = h.Demand
	p.lent = h.Lent
	p.inUse = h.InUse
	p.smoothedInUse += (float64(h.InUse) - p.smoothedInUse) * heartbeatSampleWeight
	if d := e.dispatcher(now); d != nil && d.Name == from {
		e.minions.SetPeerEjected(h.Ejected)
	}
	e.updateShare(now)
}

// canDispatch reports whether jobs can be forwarded to the peer: messages pass in
// both directions, the peer accepts new jobs, and it has been up for
// minDispatcherUptime.
func (e *Engine) canDispatch(now time.Time, p *membership.Peer) bool {
	state := e.peerStates[p.Name]
	if !p.Up() || state == nil || !state.echoed || state.refusesWork {
		return false
	}
	sinceHeard := now.Sub(p.LastHeard)
	sinceEchoed := state.echoHeld + now.Sub(state.heartbeatAt)
	return sinceHeard <= e.suspectAfter() && sinceEchoed <= 2*e.suspectAfter() && now.Sub(state.upSince) >= minDispatcherUptime
}

// dispatcher returns the peer that dispatches for the failure domain, or nil
// when this host dispatches its jobs itself.
func (e *Engine) dispatcher(now time.Time) *membership.Peer {
	if e.cfg.Slots != SlotsCentral {
		return nil
	}
	for _, p := range e.members.All() {
		if p.Name > e.cfg.Host.Name {
			return nil
		}
		if p.FailureDomain == e.cfg.Host.FailureDomain && e.canDispatch(now, p) {
			return p
		}
	}
	return nil
}

// enqueueOrForward queues an accepted job here or forwards it to the dispatching
// host.
func (e *Engine) enqueueOrForward(now time.Time, j *job.Job) {
	e.addSmallJob(j)
	to := e.dispatcher(now)
	if to == nil || j.Deadline.Sub(now) <= 2*forwardMargin || e.fitsLentSlots(now, j) {
		e.queue.Add(j)
		return
	}
	e.forwardJob(now, j, to)
}

// forwardQueued forwards the jobs without a started task that are queued here
// although another host dispatches: those whose tasks minions refused on lent
// slots, and those queued before the dispatching host changed.
func (e *Engine) forwardQueued(now time.Time) {
	if !e.queue.HasWaiting() {
		return
	}
	to := e.dispatcher(now)
	if to == nil {
		return
	}
	for _, j := range e.queue.TakeUnstarted() {
		if j.Deadline.Sub(now) <= 2*forwardMargin || e.hasAttached(j.ID) {
			e.queue.Add(j)
			continue
		}
		e.forwardJob(now, j, to)
	}
}

// hasAttached reports whether another host waits for the job's answer. Such a job
// may have been forwarded to this host and must not be forwarded back to its
// owner.
func (e *Engine) hasAttached(id job.ID) bool { return len(e.attached[id]) > 0 }

// forwardJob marks every task of the job as started and sends the job to another
// host.
func (e *Engine) forwardJob(now time.Time, j *job.Job, to *membership.Peer) {
	for i := range j.Tasks {
		if !e.jobs.Start(now, job.TaskID{Job: j.ID, Index: i}, to.Name) {
			return
		}
	}
	f := &forward{id: j.ID, to: to.Name, inc: to.Incarnation, interval: forwardResend}
	e.forwards[j.ID] = f
	e.sendForward(now, f, j)
}

func (e *Engine) sendForward(now time.Time, f *forward, j *job.Job) {
	f.resendAt = now.Add(f.interval)
	f.interval *= 2
	e.send(f.to, &peer.Forward{
		ToIncarnation: f.inc, Team: j.ID.Team, Key: j.ID.Key, Attempt: j.Attempt, Service: j.Service,
		SubmittedAt: j.SubmittedAt, Remaining: j.Deadline.Sub(now) - forwardMargin, SentAt: now.Sub(e.cfg.StartedAt), Digest: j.Digest, Tasks: j.Tasks,
		Trace: j.Trace,
	})
}

// receiveForward accepts or refuses a job that another host of the failure domain
// has forwarded to this incarnation.
func (e *Engine) receiveForward(now time.Time, from string, m *peer.Forward) {
	if m.ToIncarnation != e.cfg.Incarnation {
		return
	}
	id := job.ID{Team: m.Team, Key: m.Key}
	if r, ok := e.refusals[id]; ok {
		e.send(from, jobAnswer(&job.Answer{ID: id, Code: r.code, Detail: r.detail}, 0))
		return
	}
	e.endConflictingSearch(now, id, m.Digest)
	if e.jobs.Get(id) == nil && !e.acceptForward(now, from, id, m) {
		return
	}
	e.receiveAttach(now, from, &peer.Attach{Team: m.Team, Key: m.Key, Digest: m.Digest})
	e.dispatch(now)
}

// acceptForward queues a forwarded job, or refuses it and returns false. The
// sender owns the key, so a fence of the key on this host does not refuse the job.
func (e *Engine) acceptForward(now time.Time, from string, id job.ID, m *peer.Forward) bool {
	s := &job.Submission{
		ID: id, Attempt: m.Attempt, Service: m.Service, SubmittedAt: m.SubmittedAt,
		Deadline: now.Add(m.Remaining - e.messageDelay(now, from, m.SentAt)), Digest: m.Digest, Tasks: m.Tasks,
		Trace: m.Trace,
	}
	err := e.admit(now, s)
	if !now.Before(s.Deadline) {
		err = result.Errorf(result.DeadlineNotRun, "the forward came after the deadline")
	}
	if err == nil {
		var j *job.Job
		if j, _, err = e.jobs.Submit(now, s, true); err == nil {
			e.queue.Add(j)
			return true
		}
	}
	if err.Code == result.Expired {
		// An earlier copy of the forward may have run here and its record expired.
		err = result.Errorf(result.OwnerUnknown, "%s", err.Detail)
	}
	e.refuseForward(now, from, s, err)
	return false
}

// refuseForward answers a forward with an error and remembers the refusal until
// the submission can no longer be accepted. When the limit on remembered refusals
// is reached, it sends no answer: the sender repeats the forward, or answers its
// caller that the job may have run.
func (e *Engine) refuseForward(now time.Time, from string, s *job.Submission, err *result.Error) {
	e.log(event.JobRefused, slog.String("job", s.ID.String()), slog.Int("code", int(err.Code)))
	if len(e.refusals) >= refusalsPerSearch*e.cfg.MaxSearches {
		return
	}
	until := now.Add(e.cfg.Jobs.KeyLifetime + 2*e.cfg.Jobs.ClockError)
	e.refusals[s.ID] = refusal{code: err.Code, detail: err.Detail, until: until}
	e.send(from, jobAnswer(&job.Answer{ID: s.ID, Code: err.Code, Detail: err.Detail}, 0))
}

// receiveForwardAnswer ends a forwarded job with the answer of the host that
// dispatched it. It reports false when the message does not answer a forward.
func (e *Engine) receiveForwardAnswer(now time.Time, from string, m *peer.JobAnswer) bool {
	f := e.forwards[job.ID{Team: m.Team, Key: m.Key}]
	if f == nil || f.to != from {
		return false
	}
	e.endForward(now, f, m)
	return true
}

// endForward ends a forwarded job with an answer from the host that dispatched it,
// or one made here when that host is unreachable or has restarted.
func (e *Engine) endForward(now time.Time, f *forward, m *peer.JobAnswer) {
	delete(e.forwards, f.id)
	j := e.jobs.Get(f.id)
	if j == nil || j.Ended() {
		return
	}
	var a *job.Answer
	if m.Code.Class() == result.NotRun {
		a = e.finishNotRun(now, f, j, m)
	} else {
		a = e.finishForward(now, j, m)
	}
	if a == nil {
		return
	}
	if m.Breakdown.Total > 0 {
		own := a.Breakdown
		a.Breakdown = job.Breakdown(m.Breakdown)
		a.Breakdown.Total, a.Breakdown.Receive, a.Breakdown.Admit, a.Breakdown.Control = own.Total, own.Receive, own.Admit, own.Control
		a.Breakdown.Peer, a.Breakdown.PeerTrip, a.Breakdown.PeerHeld = f.to, own.Total, m.Breakdown.Admit+m.Breakdown.Total
	}
	e.answer(a)
}

// finishForward records the outcome of a forwarded job's tasks.
func (e *Engine) finishForward(now time.Time, j *job.Job, m *peer.JobAnswer) *job.Answer {
	code := m.Code
	if code == result.CancelledRan {
		e.jobs.Cancel(now, j.ID)
		code = result.TaskFailed // the job counts as cancelled; its started tasks have ended
	}
	for i := range len(j.Tasks) {
		o := job.Outcome{Code: code, Detail: m.Detail}
		if m.Code == result.OK {
			o.Result = m.Results[i]
		}
		if a := e.jobs.Finish(now, job.TaskID{Job: j.ID, Index: i}, o); a != nil {
			return a
		}
	}
	return nil
}

// finishNotRun records that no task of a forwarded job has run or will run on the
// other host. If that host refused the job because it is stopping or joining, or
// does not know the team, the service or a fitting minion, the job is dispatched
// here instead; any other refusal is the job's answer.
func (e *Engine) finishNotRun(now time.Time, f *forward, j *job.Job, m *peer.JobAnswer) *job.Answer {
	for i := range len(j.Tasks) {
		if a := e.jobs.Disprove(now, job.TaskID{Job: j.ID, Index: i}); a != nil {
			return a
		}
	}
	switch m.Code {
	case result.Stopping, result.Joining, result.UnknownService, result.Unplaceable, result.UnknownTeam:
		e.excludeDispatcher(now, f.to)
		e.queue.Add(j)
		e.dispatch(now)
		return nil
	}
	return e.jobs.Refuse(now, j.ID, m.Code, m.Detail)
}

// excludeDispatcher stops forwarding jobs to a peer until its next heartbeat.
func (e *Engine) excludeDispatcher(now time.Time, name string) {
	if p := e.peerStates[name]; p != nil {
		p.refusesWork = true
	}
	e.updateShare(now)
}

// failForwards ends the forwarded jobs whose dispatching host is unreachable or has
// restarted.
func (e *Engine) failForwards(now time.Time, p *membership.Peer) {
	orphaned := e.selectForwards(func(f *forward) bool {
		return f.to == p.Name && (!p.Up() || f.inc != p.Incarnation)
	})
	for _, f := range orphaned {
		e.endForward(now, f, &peer.JobAnswer{Code: result.StartUnknown, Detail: "host " + p.Name + ", which dispatched the job, is unreachable"})
	}
}

// resendForwards repeats the forwards that are due to be sent again, and deletes
// expired refusals.
func (e *Engine) resendForwards(now time.Time) {
	for _, f := range e.selectForwards(func(f *forward) bool { return !f.resendAt.After(now) }) {
		j := e.jobs.Get(f.id)
		if j == nil || j.Ended() {
			delete(e.forwards, f.id)
			continue
		}
		e.sendForward(now, f, j)
	}
	for id, r := range e.refusals {
		if r.until.Before(now) {
			delete(e.refusals, id)
		}
	}
}

// selectForwards returns the matching forwards, ordered by job so that a replay
// gives the same outputs.
func (e *Engine) selectForwards(match func(*forward) bool) []*forward {
	var out []*forward
	for _, f := range e.forwards {
		if match(f) {
			out = append(out, f)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].id.String() < out[k].id.String() })
	return out
}

// cancelForward asks the host that dispatches a job of this host to cancel it.
func (e *Engine) cancelForward(id job.ID) {
	if f := e.forwards[id]; f != nil {
		e.send(f.to, &peer.Attach{Team: id.Team, Key: id.Key, Cancel: true})
	}
}
