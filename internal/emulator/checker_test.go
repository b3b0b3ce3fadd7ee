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
// to submissions with the same body: to its own attempt and the earlier ones or,
// if either attempt has no number, to all that were sent before the answer.
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
	frozenAtReceipt time.Duration // TotalFrozen of the host when it accepted the submission
}

// keyHistory is what really happened to the job of one key.
type keyHistory struct {
	starts         map[int]int   // by task index
	startedFor     []*submission // submission of each started task
	inProgress     int           // started tasks that have not ended
	outcomeLost    bool          // an outcome did not reach the host that sent the start
	answeredRan    bool          // a caller received an answer of class Ran
	refusals       []*refusal
	latestDeadline time.Time // latest deadline of the accepted submissions
}

// checker records what really happened in a simulation and checks the hosts'
// answers against it.
type checker struct {
	t           *testing.T
	seed        uint64
	now         func() time.Time
	submissions []*submission
	histories   map[job.ID]*keyHistory
	// pending holds, by host name, the submissions that the host's current
	// process has accepted and not answered.
	pending                map[string]map[job.ID][]*pendingSubmission
	codes                  map[result.Code]int // number of answers by code
	latestUnavailableStart time.Duration       // longest time from a minion's becoming unavailable to a start sent to it
}

func newChecker(t *testing.T, seed uint64, now func() time.Time) *checker {
	return &checker{
		t: t, seed: seed, now: now, histories: map[job.ID]*keyHistory{},
		pending: map[string]map[job.ID][]*pendingSubmission{}, codes: map[result.Code]int{},
	}
}

func (c *checker) check(ok bool, format string, args ...any) {
	c.t.Helper()
	if !ok {
		c.t.Fatalf("seed %d, %v: %s", c.seed, c.now().Sub(startTime), fmt.Sprintf(format, args...))
	}
}

func (c *checker) history(id job.ID) *keyHistory {
	history := c.histories[id]
	if history == nil {
		history = &keyHistory{starts: map[int]int{}}
		c.histories[id] = history
	}
	return history
}

// recordSubmission records a submission when its caller sends it.
func (c *checker) recordSubmission(s *submission) {
	s.seq = len(c.submissions)
	s.sentAt = c.now()
	c.submissions = append(c.submissions, s)
}

// payload returns a task's payload, which identifies the submission, so that a
// start can be traced back to the attempt that it runs for.
func payload(s *submission, task int) []byte {
	return fmt.Appendf(nil, "%s/%d/%d", s.id.Key, task, s.seq)
}

// submissionOf returns the submission that a payload identifies.
func (c *checker) submissionOf(payload []byte) *submission {
	text := string(payload)
	seq, err := strconv.Atoi(text[strings.LastIndexByte(text, '/')+1:])
	must.NoError(c.t, err)
	return c.submissions[seq]
}

// checkStart checks the start of a task on a minion against earlier starts and
// answers.
func (c *checker) checkStart(h *Host, s engine.Start) {
	history := c.history(s.Task.Job)
	x := c.submissionOf(s.Payload)
	history.starts[s.Task.Index]++
	history.startedFor = append(history.startedFor, x)
	history.inProgress++
	c.check(history.starts[s.Task.Index] == 1, "%v started a second time, by host %s", s.Task, h.Name)
	c.check(!history.answeredRan, "%v started by host %s after an answer of class Ran", s.Task, h.Name)
	for _, r := range history.refusals {
		c.check(!r.covers(x), "%v started by host %s for attempt %d (sent %v) after attempt %d was answered as not run at %v",
			s.Task, h.Name, x.attempt, x.sentAt.Sub(startTime), r.submission.attempt, r.at.Sub(startTime))
	}
}

func (c *checker) recordEnd(s engine.Start, known bool) {
	history := c.history(s.Task.Job)
	history.inProgress--
	if !known {
		history.outcomeLost = true
	}
}

// checkStartSent checks that a host sends no start to a minion that has been
// unavailable for longer than maxUnavailableStart.
func (c *checker) checkStartSent(m *Minion, s engine.Start) {
	if m.UnavailableSince().IsZero() {
		return
	}
	unavailable := c.now().Sub(m.UnavailableSince())
	c.latestUnavailableStart = max(c.latestUnavailableStart, unavailable)
	c.check(unavailable <= maxUnavailableStart, "start of %v sent to minion %s, unavailable for %v", s.Task, m.Name, unavailable)
}

// recordAccepted records that a host accepted a submission and will answer it
// later.
func (c *checker) recordAccepted(h *Host, s *submission) {
	if c.pending[h.Name] == nil {
		c.pending[h.Name] = map[job.ID][]*pendingSubmission{}
	}
	history := c.history(s.id)
	until := c.now().Add(s.deadline)
	if until.After(history.latestDeadline) {
		history.latestDeadline = until
	}
	c.pending[h.Name][s.id] = append(c.pending[h.Name][s.id], &pendingSubmission{submission: s, frozenAtReceipt: h.TotalFrozen()})
}

// dropPending drops the pending submissions of a process that was killed: they
// get no answer.
func (c *checker) dropPending(h *Host) { delete(c.pending, h.Name) }

// checkCode checks the code of an answer to one submission against what really
// happened.
func (c *checker) checkCode(s *submission, code result.Code) {
	c.codes[code]++
	history := c.history(s.id)
	switch code.Class() {
	case result.NoExecution:
		c.check(false, "%s attempt %d answered as %q", s.id, s.attempt, code)
	case result.NotRun:
		r := &refusal{submission: s, at: c.now()}
		history.refusals = append(history.refusals, r)
		for _, x := range history.startedFor {
			c.check(!r.covers(x), "%s attempt %d answered as %q, but attempt %d started", s.id, s.attempt, code, x.attempt)
		}
	case result.Ran:
		history.answeredRan = true
		c.check(len(history.starts) > 0, "%s answered as %q, but no task started", s.id, code)
		c.check(history.inProgress == 0, "%s answered as %q with %d tasks in progress", s.id, code, history.inProgress)
		c.check(!history.outcomeLost, "%s answered as %q although an outcome did not reach the host", s.id, code)
	}
}

// checkFinalAnswer checks a host's final answer for every submission pending
// there. A repetition gets the answer of the job that it attached to, so the
// latest deadline of the key's accepted submissions applies, extended by the time
// for which the host was frozen meanwhile.
func (c *checker) checkFinalAnswer(h *Host, a *job.Answer) {
	for _, p := range c.pending[h.Name][a.ID] {
		limit := c.history(a.ID).latestDeadline.Add(answerSlack + h.TotalFrozen() - p.frozenAtReceipt)
		c.check(!c.now().After(limit), "%s attempt %d answered on %s %v late", a.ID, p.attempt, h.Name, c.now().Sub(limit))
		c.checkAnswer(p.submission, a)
	}
	delete(c.pending[h.Name], a.ID)
}

// checkAnswer checks that an answer with results has one result for every task,
// and that each result belongs to the submission's key and body.
func (c *checker) checkAnswer(s *submission, a *job.Answer) {
	c.checkCode(s, a.Code)
	if a.Code != result.OK {
		c.check(a.Results == nil, "%s answered with a failure and results", a.ID)
		return
	}
	history := c.history(a.ID)
	c.check(len(a.Results) == len(history.starts), "%s answered with %d results, but %d tasks started", a.ID, len(a.Results), len(history.starts))
	for i, r := range a.Results {
		x := c.submissionOf(r)
		c.check(x.id == s.id && x.digest == s.digest && string(payload(x, i)) == string(r), "%s task %d answered with %q", a.ID, i, r)
	}
}

// checkNonePending requires that no submission is pending at any host.
func (c *checker) checkNonePending() {
	for host, jobs := range c.pending {
		for id, list := range jobs {
			c.check(len(list) == 0, "%s has no answer from %s at the end of the run", id, host)
		}
	}
}
