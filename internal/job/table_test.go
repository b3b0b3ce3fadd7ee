package job

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var limits = Limits{MaxActive: 2, MaxRecords: 10, MaxAnswerBytes: answerOverhead + resultOverhead + 4, KeyLifetime: time.Minute, ClockError: time.Second}

func newTestTable() *Table { return NewTable(limits, t0.Add(-time.Hour)) }

func submission(key string, tasks int) *Submission {
	return &Submission{
		ID: ID{Team: "t", Key: key}, Attempt: 1, Service: "s", SubmittedAt: t0,
		Deadline: t0.Add(time.Second), Digest: 1, Tasks: make([]Task, tasks),
	}
}

func accept(t *testing.T, table *Table, key string, tasks int) *Job {
	t.Helper()
	j, a, err := table.Submit(t0, submission(key, tasks), false)
	must.Nil(t, err)
	must.Eq(t, Accepted, a)
	return j
}

func TestCompleteAnswerHasEveryResult(t *testing.T) {
	table := newTestTable()
	j := accept(t, table, "k", 2)
	for i, r := range []string{"a", "b"} {
		id := TaskID{Job: j.ID, Index: i}
		must.True(t, table.Start(t0, id, "m"))
		a := table.Finish(t0, id, Outcome{Code: result.OK, Result: []byte(r)})
		must.Eq(t, i == 1, a != nil)
	}
	must.Eq(t, [][]byte{[]byte("a"), []byte("b")}, j.Answer().Results)
}

func TestSecondStartBreaksInvariant(t *testing.T) {
	table := newTestTable()
	id := TaskID{Job: accept(t, table, "k", 1).ID}
	must.True(t, table.Start(t0, id, "m"))
	defer func() { must.NotNil(t, recover()) }()
	table.Start(t0, id, "m")
}

func TestDisprovedStartMayStartAgain(t *testing.T) {
	table := newTestTable()
	id := TaskID{Job: accept(t, table, "k", 1).ID}
	must.True(t, table.Start(t0, id, "m"))
	must.Nil(t, table.Disprove(t0, id))
	must.True(t, table.Start(t0, id, "n"))
}

func TestFailureWithdrawsQueuedTasks(t *testing.T) {
	table := newTestTable()
	j := accept(t, table, "k", 3)
	id := TaskID{Job: j.ID}
	must.True(t, table.Start(t0, id, "m"))
	a := table.Finish(t0, id, Outcome{Code: result.TaskFailed, Detail: "no"})
	must.Eq(t, result.TaskFailed, a.Code)
	must.Nil(t, a.Results)
	must.Eq(t, 0, j.Queued())
}

func TestDeadlineCodeDependsOnProgress(t *testing.T) {
	late := t0.Add(2 * time.Second)
	cases := []struct {
		name           string
		started, ended int
		want           result.Code
	}{
		{"none", 0, 0, result.DeadlineNotRun},
		{"one done", 1, 1, result.DeadlineRan},
		{"one in progress", 1, 0, result.DeadlineUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTestTable()
			id := TaskID{Job: accept(t, table, "k", 2).ID}
			if c.started > 0 {
				must.True(t, table.Start(t0, id, "m"))
			}
			if c.ended > 0 {
				table.Finish(t0, id, Outcome{Code: result.OK})
			}
			answers := table.Tick(late)
			must.SliceLen(t, 1, answers)
			must.Eq(t, c.want, answers[0].Code)
			must.SliceEmpty(t, table.Tick(late))
		})
	}
}

func TestRepetitionsOfAJob(t *testing.T) {
	table := newTestTable()
	accept(t, table, "k", 1)
	again := submission("k", 1)
	again.Attempt = 2
	_, a, err := table.Submit(t0, again, false)
	must.Nil(t, err)
	must.Eq(t, Attached, a)
	again.Digest = 2
	_, _, err = table.Submit(t0, again, false)
	must.Eq(t, result.KeyConflict, err.Code)
	_, _, err = table.Submit(t0, &Submission{ID: ID{Key: "x"}, Attempt: 2, SubmittedAt: t0}, false)
	must.Eq(t, result.OwnerUnknown, err.Code)
}

func TestOldSubmissionsAreRefused(t *testing.T) {
	table := newTestTable()
	_, _, err := table.Submit(t0.Add(2*time.Minute), submission("k", 1), false)
	must.Eq(t, result.Expired, err.Code)
	fresh := NewTable(limits, t0)
	_, _, err = fresh.Submit(t0, submission("k", 1), false)
	must.Eq(t, result.OwnerUnknown, err.Code)
}

// When the answers exceed MaxAnswerBytes, the oldest are released first. Their
// keys stay known.
func TestAnswersAreBounded(t *testing.T) {
	table := newTestTable()
	for _, key := range []string{"a", "b"} {
		id := TaskID{Job: accept(t, table, key, 1).ID}
		must.True(t, table.Start(t0, id, "m"))
		table.Finish(t0, id, Outcome{Code: result.OK, Result: []byte("123")})
	}
	table.Tick(t0)
	must.Eq(t, result.AnswerReleased, table.Get(ID{"t", "a"}).Answer().Code)
	must.Eq(t, result.OK, table.Get(ID{"t", "b"}).Answer().Code)
	table.Tick(t0.Add(2 * time.Minute))
	must.Eq(t, 0, table.Records())
}

// A job that is refused while a task is in progress gets a code whose class
// matches the outcome of the task: not run, ran or may have run.
func TestCodeOfRefusedJobDependsOnTaskOutcome(t *testing.T) {
	cases := []struct {
		name   string
		finish func(*Table, TaskID) *Answer
		want   result.Code
	}{
		{"disproved", func(x *Table, id TaskID) *Answer { return x.Disprove(t0, id) }, result.TaskNotStarted},
		{"ran", func(x *Table, id TaskID) *Answer { return x.Finish(t0, id, Outcome{Code: result.OK}) }, result.TaskFailed},
		{"unknown", func(x *Table, id TaskID) *Answer { return x.Finish(t0, id, Outcome{Code: result.StartUnknown}) }, result.StartUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTestTable()
			id := TaskID{Job: accept(t, table, "k", 2).ID}
			must.True(t, table.Start(t0, id, "m"))
			must.Nil(t, table.Refuse(t0, id.Job, result.TaskNotStarted, "budget"))
			must.Eq(t, c.want, c.finish(table, id).Code)
		})
	}
}

// When one task failed and the outcome of another is unknown, the answer says
// that the job may have run.
func TestUnknownOutcomeAfterFailure(t *testing.T) {
	table := newTestTable()
	j := accept(t, table, "k", 2)
	for i := range 2 {
		must.True(t, table.Start(t0, TaskID{Job: j.ID, Index: i}, "m"))
	}
	must.Nil(t, table.Finish(t0, TaskID{Job: j.ID}, Outcome{Code: result.TaskFailed}))
	a := table.Finish(t0, TaskID{Job: j.ID, Index: 1}, Outcome{Code: result.StartUnknown})
	must.Eq(t, result.StartUnknown, a.Code)
}
