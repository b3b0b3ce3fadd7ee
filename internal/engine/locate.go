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

// search is the state of looking for the owner of one key. While the owner is
// unknown every host of the region is asked; afterwards the answer is awaited
// from the owner.
type search struct {
	id         job.ID
	submission *job.Submission // a repetition to run when every host has fenced the key; nil for a fetch
	cancel     bool            // cancel the job
	round      uint64
	asked      map[string]bool // hosts asked; true when they have not seen the key
	owner      string
	ownerInc   membership.Incarnation
	until      time.Time // when the search, or the wait for the owner, is given up
	resendAt   time.Time
	since      time.Time // when the search began
	found      time.Time // when the owner was found
}

// Lookup returns the answer of a job, after cancelling it if asked to. While
// the job is in progress, or its owner is looked for, the answer follows in
// Ready.Answers; Ready.Pending names the keys whose owner was found and whose
// job is in progress.
func (e *Engine) Lookup(now time.Time, id job.ID, cancel bool) (*job.Answer, *result.Error) {
	e.record(now, Input{Lookup: &Lookup{Job: id, Cancel: cancel}})
	if j := e.jobs.Get(id); j != nil {
		if cancel {
			e.cancel(now, id)
		}
		return j.Answer(), nil
	}
	s := e.searches[id]
	if s == nil {
		return nil, e.search(now, &search{id: id, cancel: cancel})
	}
	if cancel && !s.cancel {
		s.cancel = true
		e.ask(now, s)
	}
	return nil, nil
}

// Searching reports whether the owner of the key is being looked for.
func (e *Engine) Searching(id job.ID) bool { return e.searches[id] != nil }

// locate looks for the owner of a repeated submission.
func (e *Engine) locate(now time.Time, sub *job.Submission) *result.Error {
	if s := e.searches[sub.ID]; s != nil && s.submission != nil {
		if s.submission.Digest != sub.Digest {
			return result.Errorf(result.OwnerUnknown, "the owner of key %q is looked for with another body", sub.ID.Key)
		}
		return e.join(now, s, sub)
	}
	if err := e.jobs.Expired(now, sub); err != nil {
		return err
	}
	if e.jobs.Forgot(sub.SubmittedAt) {
		return result.Errorf(result.OwnerUnknown, "an earlier process of this host may have accepted the key")
	}
	if e.members.DepartedSince(e.cfg.Host.Region, sub.SubmittedAt.Add(-e.cfg.Jobs.ClockError)) {
		return result.Errorf(result.OwnerUnknown, "a host that was removed since may have accepted the key")
	}
	if err := e.jobs.Fence(sub.ID, sub.SubmittedAt, sub.Attempt); err != nil {
		return err
	}
	return e.search(now, &search{id: sub.ID, submission: sub, cancel: e.endFetch(sub.ID)})
}

// join lets a repetition wait for a search in progress. The hosts are asked
// anew when it is a later attempt than they have fenced.
func (e *Engine) join(now time.Time, s *search, sub *job.Submission) *result.Error {
	if s.owner != "" || sub.Attempt <= s.submission.Attempt {
		return nil
	}
	if err := e.jobs.Fence(sub.ID, sub.SubmittedAt, sub.Attempt); err != nil {
		return err
	}
	raised := *s.submission
	raised.Attempt = sub.Attempt
	s.submission = &raised
	e.askAnew(now, s)
	return nil
}

// askAnew forgets the replies so far and asks every host under a new round.
func (e *Engine) askAnew(now time.Time, s *search) {
	e.round++
	s.round = e.round
	for host := range s.asked {
		s.asked[host] = false
	}
	e.ask(now, s)
}

// endFetch ends a search on behalf of a fetch: a submission of the key has
// arrived, and those who wait for the fetch get its answer. It reports whether
// the job was to be cancelled.
func (e *Engine) endFetch(id job.ID) (cancel bool) {
	s := e.searches[id]
	if s == nil || s.submission != nil {
		return false
	}
	delete(e.searches, id)
	return s.cancel
}

func (e *Engine) search(now time.Time, s *search) *result.Error {
	if len(e.searches) >= e.cfg.MaxSearches {
		return result.Errorf(result.OwnerUnknown, "%d searches in progress", len(e.searches))
	}
	e.round++
	s.round = e.round
	s.since = now
	s.asked = make(map[string]bool)
	for _, p := range e.members.All() {
		if p.Region == e.cfg.Host.Region {
			s.asked[p.Name] = false
		}
	}
	s.until = now.Add(e.cfg.LocateTimeout)
	if s.submission != nil && s.submission.Deadline.Before(s.until) {
		s.until = s.submission.Deadline
	}
	e.searches[s.id] = s
	e.ask(now, s)
	e.decide(now, s)
	return nil
}

// ask sends the question to every host that has not answered yet, or asks the
// owner for the answer.
func (e *Engine) ask(now time.Time, s *search) {
	s.resendAt = now.Add(e.cfg.LocateResend)
	if s.owner != "" {
		e.send(s.owner, s.attach())
		return
	}
	q := &peer.Locate{Team: s.id.Team, Key: s.id.Key, Round: s.round}
	if s.submission != nil {
		q.Fence = true
		q.SubmittedAt = s.submission.SubmittedAt
		q.Attempt = s.submission.Attempt
	}
	for _, p := range e.members.All() {
		if notSeen, ok := s.asked[p.Name]; ok && !notSeen {
			e.send(p.Name, q)
		}
	}
}

func (s *search) attach() *peer.Attach {
	a := &peer.Attach{Team: s.id.Team, Key: s.id.Key, Cancel: s.cancel, Round: s.round}
	if s.submission != nil {
		a.Digest = s.submission.Digest
	}
	return a
}

// receiveLocate answers a question about a key.
func (e *Engine) receiveLocate(now time.Time, from string, q *peer.Locate) {
	id := job.ID{Team: q.Team, Key: q.Key}
	r := &peer.LocateReply{Team: q.Team, Key: q.Key, Round: q.Round, Config: e.configVersion}
	r.State, r.Ended = e.knowledge(now, from, id, q)
	e.send(from, r)
}

func (e *Engine) knowledge(now time.Time, from string, id job.ID, q *peer.Locate) (state peer.LocateState, ended bool) {
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
		e.giveUp(now, s, result.Errorf(result.OwnerUnknown, "host %s looks for the owner of the key as well", from))
	}
	if e.jobs.Forgot(q.SubmittedAt) || e.jobs.Fence(id, q.SubmittedAt, q.Attempt) != nil {
		return peer.Uncertain, false
	}
	return peer.NotSeen, false
}

// receiveLocateReply records a host's knowledge of a key.
func (e *Engine) receiveLocateReply(now time.Time, from string, inc membership.Incarnation, r *peer.LocateReply) {
	s := e.searches[job.ID{Team: r.Team, Key: r.Key}]
	if s == nil || s.round != r.Round || s.owner != "" {
		return
	}
	switch r.State {
	case peer.NotSeen:
		if r.Config > e.configVersion {
			e.giveUp(now, s, result.Errorf(result.OwnerUnknown, "host %s has a newer configuration, which may list more hosts", from))
			return
		}
		if _, ok := s.asked[from]; ok {
			s.asked[from] = true
		}
		e.decide(now, s)
	case peer.Owned:
		e.follow(now, s, from, inc, r.Ended)
	case peer.Locating:
		e.giveUp(now, s, result.Errorf(result.OwnerUnknown, "host %s looks for the owner of the key as well", from))
	default:
		e.giveUp(now, s, result.Errorf(result.OwnerUnknown, "host %s cannot tell whether it accepted the key", from))
	}
}

// follow waits for the owner's answer.
func (e *Engine) follow(now time.Time, s *search, owner string, inc membership.Incarnation, ended bool) {
	s.owner = owner
	s.ownerInc = inc
	s.found = now
	s.until = now.Add(e.cfg.FollowTimeout)
	if s.submission != nil {
		s.until = s.submission.Deadline
	}
	if !ended {
		e.ready.Pending = append(e.ready.Pending, s.id)
	}
	e.ask(now, s)
}

// decide runs a repetition here, or ends a fetch, when no host has seen the key.
func (e *Engine) decide(now time.Time, s *search) {
	for _, notSeen := range s.asked {
		if !notSeen {
			return
		}
	}
	if s.submission == nil {
		e.giveUp(now, s, result.Errorf(result.JobUnknown, "job %s", s.id))
		return
	}
	if s.cancel {
		e.refuseLocated(now, s, result.Errorf(result.CancelledNotRun, "cancelled by the caller"))
		return
	}
	s.submission.Control = now.Sub(s.since)
	if err := e.accept(now, s.submission, true); err != nil {
		e.refuseLocated(now, s, err)
		return
	}
	delete(e.searches, s.id)
	e.ready.Pending = append(e.ready.Pending, s.id)
}

// refuseLocated answers a repetition that every host has fenced as not run.
func (e *Engine) refuseLocated(now time.Time, s *search, err *result.Error) {
	if s.submission.Attempt == 0 {
		e.jobs.Spend(s.id)
	}
	e.giveUp(now, s, err)
}

// giveUp ends a search without an answer from an owner. When the job has come
// here meanwhile, as one that this host dispatches, it answers.
func (e *Engine) giveUp(now time.Time, s *search, err *result.Error) {
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

// breakdown tells where the time of a search that is given up went.
func (s *search) breakdown(now time.Time) job.Breakdown {
	if s.owner == "" {
		return job.Breakdown{Control: now.Sub(s.since)}
	}
	return job.Breakdown{Peer: s.owner, Control: s.found.Sub(s.since), PeerTrip: now.Sub(s.found)}
}

// endConflictingSearch ends the search for a key with another body before a job
// of the key comes here: those who wait must not get its answer.
func (e *Engine) endConflictingSearch(now time.Time, id job.ID, digest uint64) {
	s := e.searches[id]
	if s != nil && s.submission != nil && s.submission.Digest != digest {
		e.giveUp(now, s, result.Errorf(result.OwnerUnknown, "the key is in use with another body"))
	}
}

// answerSearch answers those who wait here for another host's job; a job of
// this host with the same key goes on.
func (e *Engine) answerSearch(a *job.Answer) {
	e.ready.Answers = append(e.ready.Answers, a)
	e.log(event.JobEnded, slog.String("job", a.ID.String()), slog.Int("code", int(a.Code)))
}

// receiveAttach handles another host's wish for the answer of a job of this host.
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
	if e.followers[id] == nil {
		e.followers[id] = make(map[string]follower)
	}
	f, known := e.followers[id][from]
	if !known {
		f.since = now
	}
	f.round = a.Round
	e.followers[id][from] = f
	if a.Cancel {
		e.cancel(now, id)
	}
}

// follower is a host that attached to a job of this host.
type follower struct {
	since time.Time
	round uint64 // of its question, returned with the answer
}

// notifyFollowers sends a final answer to the hosts that attached to the job.
func (e *Engine) notifyFollowers(a *job.Answer) {
	followers := e.followers[a.ID]
	if len(followers) == 0 {
		return
	}
	end := a.Accepted.Add(a.Breakdown.Total)
	for _, host := range slices.Sorted(maps.Keys(followers)) {
		f := followers[host]
		m := jobAnswer(a, f.round)
		m.Breakdown.PeerHeld = max(0, end.Sub(f.since))
		e.send(host, m)
	}
	delete(e.followers, a.ID)
}

// receiveJobAnswer ends a search by the owner's answer.
func (e *Engine) receiveJobAnswer(now time.Time, from string, m *peer.JobAnswer) {
	s := e.searches[job.ID{Team: m.Team, Key: m.Key}]
	if s == nil || s.owner != from || s.round != m.Round {
		return
	}
	delete(e.searches, s.id)
	b := job.Breakdown(m.Breakdown)
	b.Control = s.found.Sub(s.since)
	b.Peer = from
	b.PeerTrip = now.Sub(s.found)
	e.answerSearch(&job.Answer{ID: s.id, Code: m.Code, Detail: m.Detail, Results: m.Results, Breakdown: b})
}

func jobAnswer(a *job.Answer, round uint64) *peer.JobAnswer {
	return &peer.JobAnswer{
		Team: a.ID.Team, Key: a.ID.Key, Round: round, Code: a.Code, Detail: a.Detail,
		Results: a.Results, Breakdown: peer.Breakdown(a.Breakdown),
	}
}

// tickSearches repeats questions and gives up on hosts that do not answer.
func (e *Engine) tickSearches(now time.Time) {
	for _, s := range e.dueSearches(now) {
		switch {
		case e.ownerLost(s):
			e.giveUp(now, s, result.Errorf(result.OwnerUnknown, "host %s, which owns the key, is unreachable", s.owner))
		case !now.Before(s.until):
			e.giveUp(now, s, result.Errorf(result.OwnerUnknown, "no answer from %s in time", s.missing()))
		case !now.Before(s.resendAt):
			e.ask(now, s)
		}
	}
}

// dueSearches returns the searches to act upon in a fixed order, so that a run
// can be repeated.
func (e *Engine) dueSearches(now time.Time) []*search {
	var due []*search
	for _, s := range e.searches {
		if e.ownerLost(s) || !now.Before(s.until) || !now.Before(s.resendAt) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *search) int { return cmp.Compare(a.round, b.round) })
	return due
}

func (e *Engine) ownerLost(s *search) bool {
	if s.owner == "" {
		return false
	}
	p := e.members.Get(s.owner)
	return p == nil || !p.Up() || p.Incarnation != s.ownerInc
}

// missing names a host that has not answered.
func (s *search) missing() string {
	if s.owner != "" {
		return s.owner
	}
	name := ""
	for host, notSeen := range s.asked {
		if !notSeen && (name == "" || host < name) {
			name = host
		}
	}
	return name
}
