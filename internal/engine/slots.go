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

// SlotPolicy says how the hosts of a failure domain share its minions' slots.
type SlotPolicy uint8

// Slot policies.
const (
	// SlotsCentral lets one host dispatch for the domain: the first by name
	// that is reachable. The others forward whole jobs to it. The choice needs
	// no agreement, since a full minion refuses.
	SlotsCentral SlotPolicy = iota
	// SlotsAnywhere lets every host start tasks on every minion.
	SlotsAnywhere
	// SlotsSplit gives each reachable host an equal share of every minion.
	SlotsSplit
	// SlotsLeased splits every minion's slots by what the hosts want, as told
	// on the heartbeats.
	SlotsLeased
)

const (
	// forwardMargin is kept back from a forwarded job's deadline, so that the
	// dispatching host's precise answer arrives before this host's vague one.
	forwardMargin = 25 * time.Millisecond
	// forwardResend is the first interval after which an unanswered forward is
	// sent again; it doubles.
	forwardResend = 2 * time.Second
	// settleTime is how long a peer must have been up before it dispatches for
	// others: until then it may not know every minion.
	settleTime = time.Second
	// refusalsPerSearch bounds the remembered refusals of forwarded jobs, in
	// units of Config.MaxSearches.
	refusalsPerSearch = 16
)

// forward is a job of this host that another host dispatches. Its tasks count
// as started: any of them may have been.
type forward struct {
	id       job.ID
	to       string
	inc      membership.Incarnation
	resendAt time.Time
	interval time.Duration
}

// refusal is a forwarded job that was refused. It is remembered, since its
// owner answered "not run" and the message may arrive again.
type refusal struct {
	code   result.Code
	detail string
	until  time.Time
}

// peerPath is what is known about the way to a peer and back.
type peerPath struct {
	upSince time.Time
	heardAt time.Time     // last heartbeat
	held    time.Duration // age, at the peer, of the last heartbeat it got from here
	echoed  bool
	stopped bool
	demand  int     // tasks of the peer's own small jobs in progress
	lent    int     // slots that the peer lends to this host
	inUse   int     // tasks that the peer has in progress on the minions
	used    float64 // their smoothed number
}

// sharing is the state of the slot policy.
type sharing struct {
	forwards map[job.ID]*forward
	refusals map[job.ID]refusal
	paths    map[string]*peerPath
}

func newSharing() sharing {
	return sharing{
		forwards: make(map[job.ID]*forward),
		refusals: make(map[job.ID]refusal),
		paths:    make(map[string]*peerPath),
	}
}

// suspectAfter is the silence after which no new job is forwarded to a peer:
// one missed heartbeat.
func (e *Engine) suspectAfter() time.Duration {
	return e.cfg.HeartbeatEvery + e.cfg.HeartbeatEvery/4
}

func (e *Engine) peerCameUp(now time.Time, name string) {
	e.paths[name] = &peerPath{upSince: now}
	e.reshare(now)
}

func (e *Engine) recordPath(now time.Time, from string, h *peer.Heartbeat) {
	p := e.paths[from]
	if p == nil {
		return
	}
	p.heardAt = now
	p.held = h.Held
	p.echoed = h.EchoAt != 0
	p.stopped = h.Stopped
	p.demand = h.Demand
	p.lent = h.Lent
	p.inUse = h.InUse
	p.used += (float64(h.InUse) - p.used) * demandWeight
	if d := e.dispatcher(now); d != nil && d.Name == from {
		e.minions.Bar(h.Ejected)
	}
	e.reshare(now)
}

// canDispatch reports whether both directions to the peer work and it takes
// new work.
func (e *Engine) canDispatch(now time.Time, p *membership.Peer) bool {
	path := e.paths[p.Name]
	if !p.Up() || path == nil || !path.echoed || path.stopped {
		return false
	}
	silent := now.Sub(p.LastHeard)
	unheard := path.held + now.Sub(path.heardAt)
	return silent <= e.suspectAfter() && unheard <= 2*e.suspectAfter() && now.Sub(path.upSince) >= settleTime
}

// dispatcher returns the peer that dispatches for the failure domain, or nil
// when this host does.
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

// place queues an accepted job here or forwards it.
func (e *Engine) place(now time.Time, j *job.Job) {
	e.countSmall(j)
	to := e.dispatcher(now)
	if to == nil || j.Deadline.Sub(now) <= 2*forwardMargin || e.startsHere(now, j) {
		e.queue.Add(j)
		return
	}
	e.forward(now, j, to)
}

// forwardWaiting hands over the jobs that wait here although another host
// dispatches: those that lent slots refused, or that are left from a change of
// roles.
func (e *Engine) forwardWaiting(now time.Time) {
	if !e.queue.Waiting() {
		return
	}
	to := e.dispatcher(now)
	if to == nil {
		return
	}
	for _, j := range e.queue.TakeUntouched() {
		if j.Deadline.Sub(now) <= 2*forwardMargin || e.followed(j.ID) {
			e.queue.Add(j)
			continue
		}
		e.forward(now, j, to)
	}
}

// followed reports whether another host waits for the job's answer. A job that
// was forwarded to this host must not go back to its owner.
func (e *Engine) followed(id job.ID) bool { return len(e.followers[id]) > 0 }

// forward counts every task of the job as started and sends it.
func (e *Engine) forward(now time.Time, j *job.Job, to *membership.Peer) {
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
		To: f.inc, Team: j.ID.Team, Key: j.ID.Key, Attempt: j.Attempt, Service: j.Service,
		SubmittedAt: j.SubmittedAt, Remaining: j.Deadline.Sub(now) - forwardMargin, SentAt: now.Sub(e.cfg.StartedAt), Digest: j.Digest, Tasks: j.Tasks,
		Trace: j.Trace,
	})
}

// receiveForward takes over a job of another host of the failure domain.
func (e *Engine) receiveForward(now time.Time, from string, m *peer.Forward) {
	if m.To != e.cfg.Incarnation {
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

// acceptForward queues a forwarded job. The sender owns the key, so that a
// fence of this host does not stand against it.
func (e *Engine) acceptForward(now time.Time, from string, id job.ID, m *peer.Forward) bool {
	s := &job.Submission{
		ID: id, Attempt: m.Attempt, Service: m.Service, SubmittedAt: m.SubmittedAt,
		Deadline: now.Add(m.Remaining - e.age(now, from, m.SentAt)), Digest: m.Digest, Tasks: m.Tasks,
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
		// A copy of the forward may have come, and its record gone, before.
		err = result.Errorf(result.OwnerUnknown, "%s", err.Detail)
	}
	e.refuseForward(now, from, s, err)
	return false
}

// refuseForward answers "not run", and remembers it until the submission can
// no longer be accepted. Without room for that it stays silent: the sender
// asks again, or says that the job may have run.
func (e *Engine) refuseForward(now time.Time, from string, s *job.Submission, err *result.Error) {
	e.log(event.JobRefused, slog.String("job", s.ID.String()), slog.Int("code", int(err.Code)))
	if len(e.refusals) >= refusalsPerSearch*e.cfg.MaxSearches {
		return
	}
	until := now.Add(e.cfg.Jobs.KeyLifetime + 2*e.cfg.Jobs.ClockError)
	e.refusals[s.ID] = refusal{code: err.Code, detail: err.Detail, until: until}
	e.send(from, jobAnswer(&job.Answer{ID: s.ID, Code: err.Code, Detail: err.Detail}, 0))
}

// settleForward ends a forwarded job by the answer of the host that dispatched
// it. It reports false when the message answers something else.
func (e *Engine) settleForward(now time.Time, from string, m *peer.JobAnswer) bool {
	f := e.forwards[job.ID{Team: m.Team, Key: m.Key}]
	if f == nil || f.to != from {
		return false
	}
	e.endForward(now, f, m)
	return true
}

func (e *Engine) endForward(now time.Time, f *forward, m *peer.JobAnswer) {
	delete(e.forwards, f.id)
	j := e.jobs.Get(f.id)
	if j == nil || j.Ended() {
		return
	}
	var a *job.Answer
	if m.Code.Class() == result.NotRun {
		a = e.takeBack(now, f, j, m)
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
		code = result.TaskFailed // of a cancelled job: what started has ended
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

// takeBack records that nothing of a forwarded job has run or will run there.
// What the other host could not judge is dispatched here.
func (e *Engine) takeBack(now time.Time, f *forward, j *job.Job, m *peer.JobAnswer) *job.Answer {
	for i := range len(j.Tasks) {
		if a := e.jobs.Disprove(now, job.TaskID{Job: j.ID, Index: i}); a != nil {
			return a
		}
	}
	switch m.Code {
	case result.Stopping, result.Joining, result.UnknownService, result.Unplaceable, result.UnknownTeam:
		e.passOver(now, f.to)
		e.queue.Add(j)
		e.dispatch(now)
		return nil
	}
	return e.jobs.Refuse(now, j.ID, m.Code, m.Detail)
}

// passOver keeps a peer from dispatching for this host until its next
// heartbeat.
func (e *Engine) passOver(now time.Time, name string) {
	if p := e.paths[name]; p != nil {
		p.stopped = true
	}
	e.reshare(now)
}

// failForwards ends the jobs that a lost process of a peer dispatched.
func (e *Engine) failForwards(now time.Time, p *membership.Peer) {
	lost := e.selectForwards(func(f *forward) bool {
		return f.to == p.Name && (!p.Up() || f.inc != p.Incarnation)
	})
	for _, f := range lost {
		e.endForward(now, f, &peer.JobAnswer{Code: result.StartUnknown, Detail: "host " + p.Name + ", which dispatched the job, is unreachable"})
	}
}

// resendForwards repeats the forwards that have waited long, and forgets old
// refusals.
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

// selectForwards returns matching forwards in a fixed order.
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

// cancelForward asks the dispatching host to cancel a job of this host.
func (e *Engine) cancelForward(id job.ID) {
	if f := e.forwards[id]; f != nil {
		e.send(f.to, &peer.Attach{Team: id.Team, Key: id.Key, Cancel: true})
	}
}
