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
	quietLimit  = 3 * time.Second // after which a quiet minion gets no start
	answerSlack = 2*tickEvery + 10*time.Millisecond
)

// submitted is one submission that a caller sent.
type submitted struct {
	id       job.ID
	seq      int // order of sending in the whole run
	attempt  int // 0 when the caller does not number its attempts
	digest   uint64
	deadline time.Duration
	sentAt   time.Time
}

// refusal is a "not run" answer to a submission.
type refusal struct {
	to *submitted
	at time.Time
}

// covers reports whether "not run" speaks of x as well: of its own attempt and
// the earlier ones, or, without numbers, of all that was sent before.
func (r *refusal) covers(x *submitted) bool {
	if r.to.digest != x.digest {
		return false
	}
	if r.to.attempt == 0 || x.attempt == 0 {
		return !x.sentAt.After(r.at)
	}
	return x.attempt <= r.to.attempt
}

// waiting is a submission that waits at a host for its answer.
type waiting struct {
	*submitted
	frozenFor time.Duration
}

// work is what really happened to one key.
type work struct {
	starts     map[int]int // by task
	by         []*submitted
	inProgress int
	lost       bool // an outcome never reached the host that started the task
	settled    bool // answered as "ran"
	refusals   []*refusal
	latest     time.Time // latest deadline of a submission that a host took
}

// ledger records what really happened, and checks it against the answers.
type ledger struct {
	t     *testing.T
	seed  uint64
	now   func() time.Time
	sent  []*submitted
	works map[job.ID]*work
	// waiting is what waits at each process of a host.
	waiting  map[string]map[job.ID][]*waiting
	codes    map[result.Code]int
	maxQuiet time.Duration // latest start sent to a quiet minion
}

func newLedger(t *testing.T, seed uint64, now func() time.Time) *ledger {
	return &ledger{
		t: t, seed: seed, now: now, works: map[job.ID]*work{},
		waiting: map[string]map[job.ID][]*waiting{}, codes: map[result.Code]int{},
	}
}

func (l *ledger) check(ok bool, format string, args ...any) {
	l.t.Helper()
	if !ok {
		l.t.Fatalf("seed %d, %v: %s", l.seed, l.now().Sub(start), fmt.Sprintf(format, args...))
	}
}

func (l *ledger) work(id job.ID) *work {
	w := l.works[id]
	if w == nil {
		w = &work{starts: map[int]int{}}
		l.works[id] = w
	}
	return w
}

// send records a submission at the moment that its caller sends it.
func (l *ledger) send(s *submitted) {
	s.seq = len(l.sent)
	s.sentAt = l.now()
	l.sent = append(l.sent, s)
}

// payload names the submission whose tasks a start runs.
func payload(s *submitted, task int) []byte {
	return fmt.Appendf(nil, "%s/%d/%d", s.id.Key, task, s.seq)
}

func (l *ledger) origin(payload []byte) *submitted {
	text := string(payload)
	seq, err := strconv.Atoi(text[strings.LastIndexByte(text, '/')+1:])
	must.NoError(l.t, err)
	return l.sent[seq]
}

// started holds a start at a minion against earlier starts and answers.
func (l *ledger) started(h *Host, s engine.Start) {
	w := l.work(s.Task.Job)
	x := l.origin(s.Payload)
	w.starts[s.Task.Index]++
	w.by = append(w.by, x)
	w.inProgress++
	l.check(w.starts[s.Task.Index] == 1, "second start of %v on %s", s.Task, h.Name)
	l.check(!w.settled, "%v starts on %s after a final answer", s.Task, h.Name)
	for _, r := range w.refusals {
		l.check(!r.covers(x), "%v starts on %s for attempt %d (sent %v) after attempt %d was answered as not run at %v",
			s.Task, h.Name, x.attempt, x.sentAt.Sub(start), r.to.attempt, r.at.Sub(start))
	}
}

func (l *ledger) ended(s engine.Start, known bool) {
	w := l.work(s.Task.Job)
	w.inProgress--
	if !known {
		w.lost = true
	}
}

// sending holds a request to a quiet minion against the limit.
func (l *ledger) sending(m *Minion, s engine.Start) {
	if m.QuietSince().IsZero() {
		return
	}
	quiet := l.now().Sub(m.QuietSince())
	l.maxQuiet = max(l.maxQuiet, quiet)
	l.check(quiet <= quietLimit, "%v is sent to %s, quiet for %v", s.Task, m.Name, quiet)
}

// waits records that a host took a submission and will answer it.
func (l *ledger) waits(h *Host, s *submitted) {
	if l.waiting[h.Name] == nil {
		l.waiting[h.Name] = map[job.ID][]*waiting{}
	}
	w := l.work(s.id)
	until := l.now().Add(s.deadline)
	if until.After(w.latest) {
		w.latest = until
	}
	l.waiting[h.Name][s.id] = append(l.waiting[h.Name][s.id], &waiting{submitted: s, frozenFor: h.FrozenFor()})
}

// forget drops what waited at a process that ended without warning.
func (l *ledger) forget(h *Host) { delete(l.waiting, h.Name) }

// answered checks an answer to one submission against what really happened.
func (l *ledger) answered(s *submitted, code result.Code) {
	l.codes[code]++
	w := l.work(s.id)
	switch code.Class() {
	case result.NoExecution:
		l.check(false, "%s attempt %d answered as %q", s.id, s.attempt, code)
	case result.NotRun:
		r := &refusal{to: s, at: l.now()}
		w.refusals = append(w.refusals, r)
		for _, x := range w.by {
			l.check(!r.covers(x), "%s attempt %d answered as %q, but attempt %d started", s.id, s.attempt, code, x.attempt)
		}
	case result.Ran:
		w.settled = true
		l.check(len(w.starts) > 0, "%s answered as %q, but nothing ran", s.id, code)
		l.check(w.inProgress == 0, "%s answered as %q with %d tasks in progress", s.id, code, w.inProgress)
		l.check(!w.lost, "%s answered as %q with an outcome unknown", s.id, code)
	}
}

// final gives a host's answer to every submission that waits there, by the
// latest deadline of the key's submissions: a repetition gets the answer of the
// job that it joined.
func (l *ledger) final(h *Host, a *job.Answer) {
	for _, w := range l.waiting[h.Name][a.ID] {
		limit := l.work(a.ID).latest.Add(answerSlack + h.FrozenFor() - w.frozenFor)
		l.check(!l.now().After(limit), "%s attempt %d answered on %s %v late", a.ID, w.attempt, h.Name, l.now().Sub(limit))
		l.complete(w.submitted, a)
	}
	delete(l.waiting[h.Name], a.ID)
}

// complete checks that a complete answer is whole and the request's own.
func (l *ledger) complete(s *submitted, a *job.Answer) {
	l.answered(s, a.Code)
	if a.Code != result.OK {
		l.check(a.Results == nil, "%s failed with results", a.ID)
		return
	}
	w := l.work(a.ID)
	l.check(len(a.Results) == len(w.starts), "%s answered with %d results of %d starts", a.ID, len(a.Results), len(w.starts))
	for i, r := range a.Results {
		x := l.origin(r)
		l.check(x.id == s.id && x.digest == s.digest && string(payload(x, i)) == string(r), "%s task %d answered with %q", a.ID, i, r)
	}
}

// finish requires that nobody waits any longer.
func (l *ledger) finish() {
	for host, jobs := range l.waiting {
		for id, list := range jobs {
			l.check(len(list) == 0, "%s still waits on %s", id, host)
		}
	}
}
