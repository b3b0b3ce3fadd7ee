package emulator

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

const (
	maxUnavailableStart = 3 * time.Second // no start is sent to a minion that is unavailable for longer
	answerSlack         = 2*tickInterval + 10*time.Millisecond
)

// submission is one attempt that a caller sent.
type submission struct {
	id       job.ID
	seq      int // position among all submissions of the run, in the order of sending
	attempt  int // 0 if the caller does not number its attempts
	digest   uint64
	deadline time.Duration
	sentAt   time.Time
}

// refusal is a "not run" answer to a submission.
type refusal struct {
	submission *submission
	at         time.Time
}

// covers reports whether the "not run" answer applies to x as well. It applies
// to its own attempt and the earlier ones or, if either attempt has no number,
// to every submission sent before the answer.
func (r *refusal) covers(x *submission) bool {
	if r.submission.digest != x.digest {
		return false
	}
	if r.submission.attempt == 0 || x.attempt == 0 {
		return !x.sentAt.After(r.at)
	}
	return x.attempt <= r.submission.attempt
}

// pendingSubmission is a submission that a host accepted and has not answered.
type pendingSubmission struct {
	*submission
	frozenAtReceipt time.Duration
}

// keyHistory is what really happened to the job of one key.
type keyHistory struct {
	starts         map[int]int // by task index
	startedFor     []*submission
	inProgress     int
	outcomeLost    bool // an outcome did not reach the host that sent the start
	answeredRan    bool // a caller received an answer of class Ran
	refusals       []*refusal
	latestDeadline time.Time // latest deadline of the accepted submissions
}

// ledger records what really happened and checks the hosts' answers against it.
type ledger struct {
	t           *testing.T
	seed        uint64
	now         func() time.Time
	submissions []*submission
	histories   map[job.ID]*keyHistory
	// pending holds, by host name, the submissions that the host's current
	// process has accepted and not answered.
	pending                map[string]map[job.ID][]*pendingSubmission
	codes                  map[result.Code]int
	latestUnavailableStart time.Duration // longest time from a minion's becoming unavailable to a start sent to it
}

func newLedger(t *testing.T, seed uint64, now func() time.Time) *ledger {
	return &ledger{
		t: t, seed: seed, now: now, histories: map[job.ID]*keyHistory{},
		pending: map[string]map[job.ID][]*pendingSubmission{}, codes: map[result.Code]int{},
	}
}

func (l *ledger) check(ok bool, format string, args ...any) {
	l.t.Helper()
	if !ok {
		l.t.Fatalf("seed %d, %v: %s", l.seed, l.now().Sub(startTime), fmt.Sprintf(format, args...))
	}
}

func (l *ledger) history(id job.ID) *keyHistory {
	history := l.histories[id]
	if history == nil {
		history = &keyHistory{starts: map[int]int{}}
		l.histories[id] = history
	}
	return history
}

// recordSubmission records a submission when its caller sends it.
func (l *ledger) recordSubmission(s *submission) {
	s.seq = len(l.submissions)
	s.sentAt = l.now()
	l.submissions = append(l.submissions, s)
}

// payload returns a task's payload, which identifies the submission, so that a
// start can be traced back to the attempt that it runs for.
func payload(s *submission, task int) []byte {
	return fmt.Appendf(nil, "%s/%d/%d", s.id.Key, task, s.seq)
}

// submissionOf returns the submission that a payload identifies.
func (l *ledger) submissionOf(payload []byte) *submission {
	text := string(payload)
	seq, err := strconv.Atoi(text[strings.LastIndexByte(text, '/')+1:])
	must.NoError(l.t, err)
	return l.submissions[seq]
}

// checkStart checks the start of a task on a minion against earlier starts and
// answers.
func (l *ledger) checkStart(h *Host, s engine.Start) {
	history := l.history(s.Task.Job)
	x := l.submissionOf(s.Payload)
	history.starts[s.Task.Index]++
	history.startedFor = append(history.startedFor, x)
	history.inProgress++
	l.check(history.starts[s.Task.Index] == 1, "%v started a second time, by host %s", s.Task, h.Name)
	l.check(!history.answeredRan, "%v started by host %s after an answer of class Ran", s.Task, h.Name)
	for _, r := range history.refusals {
		l.check(!r.covers(x), "%v started by host %s for attempt %d (sent %v) after attempt %d was answered as not run at %v",
			s.Task, h.Name, x.attempt, x.sentAt.Sub(startTime), r.submission.attempt, r.at.Sub(startTime))
	}
}

func (l *ledger) recordEnd(s engine.Start, known bool) {
	history := l.history(s.Task.Job)
	history.inProgress--
	if !known {
		history.outcomeLost = true
	}
}

// checkStartSent checks that a host sends no start to a minion that has been
// unavailable for longer than maxUnavailableStart.
func (l *ledger) checkStartSent(m *Minion, s engine.Start) {
	if m.UnavailableSince().IsZero() {
		return
	}
	unavailable := l.now().Sub(m.UnavailableSince())
	l.latestUnavailableStart = max(l.latestUnavailableStart, unavailable)
	l.check(unavailable <= maxUnavailableStart, "start of %v sent to minion %s, unavailable for %v", s.Task, m.Name, unavailable)
}

// recordAccepted records that a host accepted a submission and owes an answer.
func (l *ledger) recordAccepted(h *Host, s *submission) {
	if l.pending[h.Name] == nil {
		l.pending[h.Name] = map[job.ID][]*pendingSubmission{}
	}
	history := l.history(s.id)
	until := l.now().Add(s.deadline)
	if until.After(history.latestDeadline) {
		history.latestDeadline = until
	}
	l.pending[h.Name][s.id] = append(l.pending[h.Name][s.id], &pendingSubmission{submission: s, frozenAtReceipt: h.TotalFrozen()})
}

// dropPending drops the pending submissions of a process that was killed: they
// get no answer.
func (l *ledger) dropPending(h *Host) { delete(l.pending, h.Name) }

// checkCode checks the code of an answer to one submission against what really
// happened.
func (l *ledger) checkCode(s *submission, code result.Code) {
	l.codes[code]++
	history := l.history(s.id)
	switch code.Class() {
	case result.NoExecution:
		l.check(false, "%s attempt %d answered as %q", s.id, s.attempt, code)
	case result.NotRun:
		r := &refusal{submission: s, at: l.now()}
		history.refusals = append(history.refusals, r)
		for _, x := range history.startedFor {
			l.check(!r.covers(x), "%s attempt %d answered as %q, but attempt %d started", s.id, s.attempt, code, x.attempt)
		}
	case result.Ran:
		history.answeredRan = true
		l.check(len(history.starts) > 0, "%s answered as %q, but no task started", s.id, code)
		l.check(history.inProgress == 0, "%s answered as %q with %d tasks in progress", s.id, code, history.inProgress)
		l.check(!history.outcomeLost, "%s answered as %q although an outcome did not reach the host", s.id, code)
	}
}

// checkFinalAnswer checks a host's final answer for every submission pending
// there. A repetition gets the answer of the job that it joined, so the latest
// deadline of the key's submissions applies.
func (l *ledger) checkFinalAnswer(h *Host, a *job.Answer) {
	for _, p := range l.pending[h.Name][a.ID] {
		limit := l.history(a.ID).latestDeadline.Add(answerSlack + h.TotalFrozen() - p.frozenAtReceipt)
		l.check(!l.now().After(limit), "%s attempt %d answered on %s %v late", a.ID, p.attempt, h.Name, l.now().Sub(limit))
		l.checkAnswer(p.submission, a)
	}
	delete(l.pending[h.Name], a.ID)
}

// checkAnswer checks that an answer with results has one result for every task,
// and that each result belongs to the submission's key and body.
func (l *ledger) checkAnswer(s *submission, a *job.Answer) {
	l.checkCode(s, a.Code)
	if a.Code != result.OK {
		l.check(a.Results == nil, "%s answered with a failure and results", a.ID)
		return
	}
	history := l.history(a.ID)
	l.check(len(a.Results) == len(history.starts), "%s answered with %d results, but %d tasks started", a.ID, len(a.Results), len(history.starts))
	for i, r := range a.Results {
		x := l.submissionOf(r)
		l.check(x.id == s.id && x.digest == s.digest && string(payload(x, i)) == string(r), "%s task %d answered with %q", a.ID, i, r)
	}
}

// checkNonePending requires that no submission is pending at any host.
func (l *ledger) checkNonePending() {
	for host, jobs := range l.pending {
		for id, list := range jobs {
			l.check(len(list) == 0, "%s has no answer from %s at the end of the run", id, host)
		}
	}
}
