package engine

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// search is the state of the search for the owner of one key. Until the owner is
// known, every host of the region is asked for it; from then on the owner is
// asked for the job's answer.
type search struct {
	id           job.ID
	submission   *job.Submission // repetition to run here once every host has fenced the key; nil for a fetch
	cancel       bool            // cancel the job when its owner is found
	round        uint64          // number of the current requests; replies to earlier ones are ignored
	notSeenBy    map[string]bool // by host asked: it replied that it has not seen the key
	owner        string
	ownerInc     membership.Incarnation
	deadline     time.Time // when the search, or the wait for the owner's answer, times out
	resendAt     time.Time
	startedAt    time.Time
	ownerFoundAt time.Time
}

// Lookup returns the answer of a job, and cancels the job first if cancel is
// set. While the job is in progress, or its owner is searched for, it returns nil
// and the answer follows in Ready.Answers. Ready.Pending lists the jobs that a
// search found and that are still in progress.
func (e *Engine) Lookup(now time.Time, id job.ID, cancel bool) (*job.Answer, *result.Error) {
	e.recordInput(now, Input{Lookup: &Lookup{Job: id, Cancel: cancel}})
	if j := e.jobs.Get(id); j != nil {
		if cancel {
			e.cancel(now, id)
		}
		return j.Answer(), nil
	}
	s := e.searches[id]
	if s == nil {
		return nil, e.startSearch(now, &search{id: id, cancel: cancel})
	}
	if cancel && !s.cancel {
		s.cancel = true
		e.sendRequests(now, s)
	}
	return nil, nil
}

// Searching reports whether a search for the owner of the key is in progress.
func (e *Engine) Searching(id job.ID) bool { return e.searches[id] != nil }

// locate starts or joins the search for the owner of a repeated submission.
func (e *Engine) locate(now time.Time, sub *job.Submission) *result.Error {
	if s := e.searches[sub.ID]; s != nil && s.submission != nil {
		if s.submission.Digest != sub.Digest {
			return result.Errorf(result.OwnerUnknown, "the owner of key %q is looked for with another body", sub.ID.Key)
		}
		return e.joinSearch(now, s, sub)
	}
	if err := e.jobs.CheckKeyLifetime(now, sub); err != nil {
		return err
	}
	if e.jobs.MayHaveForgotten(sub.SubmittedAt) {
		return result.Errorf(result.OwnerUnknown, "an earlier process of this host may have accepted the key")
	}
	if e.members.RemovedSince(e.cfg.Host.Region, sub.SubmittedAt.Add(-e.cfg.Jobs.ClockError)) {
		return result.Errorf(result.OwnerUnknown, "a host that was removed since may have accepted the key")
	}
	if err := e.jobs.Fence(sub.ID, sub.SubmittedAt, sub.Attempt); err != nil {
		return err
	}
	return e.startSearch(now, &search{id: sub.ID, submission: sub, cancel: e.endFetch(sub.ID)})
}

// joinSearch makes a repetition wait for a search in progress. If its attempt
// number is higher than the one that the hosts were asked to fence, all hosts are
// asked again.
func (e *Engine) joinSearch(now time.Time, s *search, sub *job.Submission) *result.Error {
	if s.owner != "" || sub.Attempt <= s.submission.Attempt {
		return nil
	}
	if err := e.jobs.Fence(sub.ID, sub.SubmittedAt, sub.Attempt); err != nil {
		return err
	}
	updated := *s.submission
	updated.Attempt = sub.Attempt
	s.submission = &updated
	e.restartRound(now, s)
	return nil
}

// restartRound discards the replies so far and asks every host again under a new
// round number.
func (e *Engine) restartRound(now time.Time, s *search) {
	e.lastRound++
	s.round = e.lastRound
	for host := range s.notSeenBy {
		s.notSeenBy[host] = false
	}
	e.sendRequests(now, s)
}

// endFetch ends the search of a fetch because a submission of the key has
// arrived; the callers that wait for the fetch get the submission's answer. It
// reports whether one of them asked to cancel the job.
func (e *Engine) endFetch(id job.ID) (cancel bool) {
	s := e.searches[id]
	if s == nil || s.submission != nil {
		return false
	}
	delete(e.searches, id)
	return s.cancel
}

// startSearch begins a search among the hosts of the region. It fails when too
// many searches are in progress.
func (e *Engine) startSearch(now time.Time, s *search) *result.Error {
	if len(e.searches) >= e.cfg.MaxSearches {
		return result.Errorf(result.OwnerUnknown, "%d searches in progress", len(e.searches))
	}
	e.lastRound++
	s.round = e.lastRound
	s.startedAt = now
	s.notSeenBy = make(map[string]bool)
	for _, p := range e.members.All() {
		if p.Region == e.cfg.Host.Region {
			s.notSeenBy[p.Name] = false
		}
	}
	s.deadline = now.Add(e.cfg.LocateTimeout)
	if s.submission != nil && s.submission.Deadline.Before(s.deadline) {
		s.deadline = s.submission.Deadline
	}
	e.searches[s.id] = s
	e.sendRequests(now, s)
	e.concludeIfNotSeen(now, s)
	return nil
}

// sendRequests asks every host that has not replied yet whether it knows the key
// or, once the owner is known, asks the owner for the job's answer.
func (e *Engine) sendRequests(now time.Time, s *search) {
	s.resendAt = now.Add(e.cfg.LocateResend)
	if s.owner != "" {
		e.send(s.owner, s.attachMessage())
		return
	}
	q := &peer.Locate{Team: s.id.Team, Key: s.id.Key, Round: s.round}
	if s.submission != nil {
		q.Fence = true
		q.SubmittedAt = s.submission.SubmittedAt
		q.Attempt = s.submission.Attempt
	}
	for _, p := range e.members.All() {
		if notSeen, ok := s.notSeenBy[p.Name]; ok && !notSeen {
			e.send(p.Name, q)
		}
	}
}

func (s *search) attachMessage() *peer.Attach {
	a := &peer.Attach{Team: s.id.Team, Key: s.id.Key, Cancel: s.cancel, Round: s.round}
	if s.submission != nil {
		a.Digest = s.submission.Digest
	}
	return a
}

// receiveLocate replies to another host's search for the owner of a key.
func (e *Engine) receiveLocate(now time.Time, from string, q *peer.Locate) {
	id := job.ID{Team: q.Team, Key: q.Key}
	r := &peer.LocateReply{Team: q.Team, Key: q.Key, Round: q.Round, ConfigVersion: e.configVersion}
	r.State, r.Ended = e.locateState(now, from, id, q)
	e.send(from, r)
}

// locateState returns what this host knows of a key, and whether its job has
// ended. If the request asks for a fence, the key is fenced here unless it is
// known. When both hosts search for the owner of the same key, the host whose name
// sorts first continues and the search of the other fails.
func (e *Engine) locateState(now time.Time, from string, id job.ID, q *peer.Locate) (state peer.LocateState, ended bool) {
	if j := e.jobs.Get(id); j != nil {
		return peer.Owned, j.Ended()
	}
	if !q.Fence {
		return peer.NotSeen, false
	}
	if s := e.searches[id]; s != nil && s.submission != nil && s.owner == "" {
		if e.cfg.Host.Name < from {
			return peer.Locating, false
		}
		e.failSearch(now, s, result.Errorf(result.OwnerUnknown, "host %s looks for the owner of the key as well", from))
	}
	if e.jobs.MayHaveForgotten(q.SubmittedAt) || e.jobs.Fence(id, q.SubmittedAt, q.Attempt) != nil {
		return peer.Uncertain, false
	}
	return peer.NotSeen, false
}

// receiveLocateReply handles a host's reply to a search.
func (e *Engine) receiveLocateReply(now time.Time, from string, inc membership.Incarnation, r *peer.LocateReply) {
	s := e.searches[job.ID{Team: r.Team, Key: r.Key}]
	if s == nil || s.round != r.Round || s.owner != "" {
		return
	}
	switch r.State {
	case peer.NotSeen:
		if r.ConfigVersion > e.configVersion {
			e.failSearch(now, s, result.Errorf(result.OwnerUnknown, "host %s has a newer configuration, which may list more hosts", from))
			return
		}
		if _, ok := s.notSeenBy[from]; ok {
			s.notSeenBy[from] = true
		}
		e.concludeIfNotSeen(now, s)
	case peer.Owned:
		e.attachToOwner(now, s, from, inc, r.Ended)
	case peer.Locating:
		e.failSearch(now, s, result.Errorf(result.OwnerUnknown, "host %s looks for the owner of the key as well", from))
	default:
		e.failSearch(now, s, result.Errorf(result.OwnerUnknown, "host %s cannot tell whether it accepted the key", from))
	}
}

// attachToOwner asks the owner for the job's answer and waits for it.
func (e *Engine) attachToOwner(now time.Time, s *search, owner string, inc membership.Incarnation, ended bool) {
	s.owner = owner
	s.ownerInc = inc
	s.ownerFoundAt = now
	s.deadline = now.Add(e.cfg.FollowTimeout)
	if s.submission != nil {
		s.deadline = s.submission.Deadline
	}
	if !ended {
		e.ready.Pending = append(e.ready.Pending, s.id)
	}
	e.sendRequests(now, s)
}

// concludeIfNotSeen ends a search when every host asked has replied that it has
// not seen the key: a repetition runs here, a fetch fails.
func (e *Engine) concludeIfNotSeen(now time.Time, s *search) {
	for _, notSeen := range s.notSeenBy {
		if !notSeen {
			return
		}
	}
	if s.submission == nil {
		e.failSearch(now, s, result.Errorf(result.JobUnknown, "job %s", s.id))
		return
	}
	if s.cancel {
		e.refuseLocated(now, s, result.Errorf(result.CancelledNotRun, "cancelled by the caller"))
		return
	}
	s.submission.Control = now.Sub(s.startedAt)
	if err := e.accept(now, s.submission, true); err != nil {
		e.refuseLocated(now, s, err)
		return
	}
	delete(e.searches, s.id)
	e.ready.Pending = append(e.ready.Pending, s.id)
}

// refuseLocated answers "not run" to a repetition whose key every host has fenced.
func (e *Engine) refuseLocated(now time.Time, s *search, err *result.Error) {
	if s.submission.Attempt == 0 {
		e.jobs.FenceEveryAttempt(s.id)
	}
	e.failSearch(now, s, err)
}

// failSearch ends a search without an answer from an owner. If a job of the key
// was meanwhile forwarded to this host for dispatch, the callers get the answer of
// that job instead of the error.
func (e *Engine) failSearch(now time.Time, s *search, err *result.Error) {
	delete(e.searches, s.id)
	if e.jobs.Get(s.id) == nil {
		e.answerSearch(&job.Answer{ID: s.id, Code: err.Code, Detail: err.Detail, Breakdown: s.breakdown(now)})
		return
	}
	if s.cancel {
		e.cancel(now, s.id)
	}
	if j := e.jobs.Get(s.id); j.Ended() {
		e.answerSearch(j.Answer())
		return
	}
	e.ready.Pending = append(e.ready.Pending, s.id)
}

// breakdown divides the time of a failed search between the search for the owner
// and the wait for its answer.
func (s *search) breakdown(now time.Time) job.Breakdown {
	if s.owner == "" {
		return job.Breakdown{Control: now.Sub(s.startedAt)}
	}
	return job.Breakdown{Peer: s.owner, Control: s.ownerFoundAt.Sub(s.startedAt), PeerTrip: now.Sub(s.ownerFoundAt)}
}

// endConflictingSearch fails the search for a key before a job of the same key
// but another body is accepted here: the callers of the search must not get the
// answer of that job.
func (e *Engine) endConflictingSearch(now time.Time, id job.ID, digest uint64) {
	s := e.searches[id]
	if s != nil && s.submission != nil && s.submission.Digest != digest {
		e.failSearch(now, s, result.Errorf(result.OwnerUnknown, "the key is in use with another body"))
	}
}

// answerSearch answers the callers that wait here for another host's job. It
// leaves a job of this host with the same key unchanged.
func (e *Engine) answerSearch(a *job.Answer) {
	e.ready.Answers = append(e.ready.Answers, a)
	e.log(event.JobEnded, slog.String("job", a.ID.String()), slog.Int("code", int(a.Code)))
}

// receiveAttach handles another host's request for the answer of a job of this
// host.
func (e *Engine) receiveAttach(now time.Time, from string, a *peer.Attach) {
	id := job.ID{Team: a.Team, Key: a.Key}
	j := e.jobs.Get(id)
	if j == nil {
		e.send(from, jobAnswer(&job.Answer{ID: id, Code: result.OwnerUnknown, Detail: "the owner forgot the key"}, a.Round))
		return
	}
	if a.Digest != 0 && a.Digest != j.Digest {
		e.send(from, jobAnswer(&job.Answer{ID: id, Code: result.KeyConflict, Detail: "the key was submitted with another body"}, a.Round))
		return
	}
	if j.Ended() {
		e.send(from, jobAnswer(j.Answer(), a.Round))
		return
	}
	if e.attached[id] == nil {
		e.attached[id] = make(map[string]attachment)
	}
	at, known := e.attached[id][from]
	if !known {
		at.since = now
	}
	at.round = a.Round
	e.attached[id][from] = at
	if a.Cancel {
		e.cancel(now, id)
	}
}

// attachment is the request of another host for the answer of a job of this host.
type attachment struct {
	since time.Time // when the first request arrived
	round uint64    // of the latest request, returned with the answer
}

// answerAttached sends a final answer to the hosts that attached to the job.
func (e *Engine) answerAttached(a *job.Answer) {
	attached := e.attached[a.ID]
	if len(attached) == 0 {
		return
	}
	endedAt := a.Accepted.Add(a.Breakdown.Total)
	for _, host := range slices.Sorted(maps.Keys(attached)) {
		at := attached[host]
		m := jobAnswer(a, at.round)
		m.Breakdown.PeerHeld = max(0, endedAt.Sub(at.since))
		e.send(host, m)
	}
	delete(e.attached, a.ID)
}

// receiveJobAnswer ends a search with the owner's answer.
func (e *Engine) receiveJobAnswer(now time.Time, from string, m *peer.JobAnswer) {
	s := e.searches[job.ID{Team: m.Team, Key: m.Key}]
	if s == nil || s.owner != from || s.round != m.Round {
		return
	}
	delete(e.searches, s.id)
	b := job.Breakdown(m.Breakdown)
	b.Control = s.ownerFoundAt.Sub(s.startedAt)
	b.Peer = from
	b.PeerTrip = now.Sub(s.ownerFoundAt)
	e.answerSearch(&job.Answer{ID: s.id, Code: m.Code, Detail: m.Detail, Results: m.Results, Breakdown: b})
}

func jobAnswer(a *job.Answer, round uint64) *peer.JobAnswer {
	return &peer.JobAnswer{
		Team: a.ID.Team, Key: a.ID.Key, Round: round, Code: a.Code, Detail: a.Detail,
		Results: a.Results, Breakdown: peer.Breakdown(a.Breakdown),
	}
}

// tickSearches repeats unanswered requests, and fails the searches that have
// timed out or whose owner is unavailable.
func (e *Engine) tickSearches(now time.Time) {
	for _, s := range e.dueSearches(now) {
		switch {
		case e.ownerUnavailable(s):
			e.failSearch(now, s, result.Errorf(result.OwnerUnknown, "host %s, which owns the key, is unreachable", s.owner))
		case !now.Before(s.deadline):
			e.failSearch(now, s, result.Errorf(result.OwnerUnknown, "no answer from %s in time", s.unansweredHost()))
		case !now.Before(s.resendAt):
			e.sendRequests(now, s)
		}
	}
}

// dueSearches returns the searches that need an action, in a fixed order so that
// a replay gives the same outputs.
func (e *Engine) dueSearches(now time.Time) []*search {
	var due []*search
	for _, s := range e.searches {
		if e.ownerUnavailable(s) || !now.Before(s.deadline) || !now.Before(s.resendAt) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *search) int { return cmp.Compare(a.round, b.round) })
	return due
}

// ownerUnavailable reports whether the owner was found but is now unreachable,
// restarted or removed from the configuration.
func (e *Engine) ownerUnavailable(s *search) bool {
	if s.owner == "" {
		return false
	}
	p := e.members.Get(s.owner)
	return p == nil || !p.Up() || p.Incarnation != s.ownerInc
}

// unansweredHost returns the name of a host that has not answered: the owner if
// it is known, otherwise the first by name.
func (s *search) unansweredHost() string {
	if s.owner != "" {
		return s.owner
	}
	name := ""
	for host, notSeen := range s.notSeenBy {
		if !notSeen && (name == "" || host < name) {
			name = host
		}
	}
	return name
}
