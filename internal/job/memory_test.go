package job

import (
	"strings"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

func boundedTable(maxActive int) (*Table, time.Time) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := Limits{MaxActive: 10, MaxRecords: 10, MaxAnswerBytes: 8, MaxActiveBytes: maxActive, KeyLifetime: time.Minute}
	return NewTable(l, now.Add(-time.Hour)), now
}

func submitBytes(t *testing.T, b *Table, now time.Time, key string, payload int, tasks int) *result.Error {
	t.Helper()
	s := &Submission{ID: ID{Team: "t", Key: key}, Attempt: 1, SubmittedAt: now, Deadline: now.Add(time.Second), Tasks: make([]Task, tasks)}
	for i := range s.Tasks {
		s.Tasks[i].Payload = []byte(strings.Repeat("x", payload))
	}
	_, _, err := b.Submit(now, s, false)
	return err
}

func finishTask(b *Table, now time.Time, key string, index, resultBytes int) *Answer {
	id := TaskID{Job: ID{Team: "t", Key: key}, Index: index}
	b.Start(now, id, "m")
	return b.Finish(now, id, Outcome{Code: result.OK, Result: make([]byte, resultBytes)})
}

// A submission whose payloads exceed MaxActiveBytes is refused as not run. When
// a job ends, its bytes are free for other jobs.
func TestActivePayloadsAreBounded(t *testing.T) {
	b, now := boundedTable(100)
	must.Nil(t, submitBytes(t, b, now, "a", 60, 1))
	must.Eq(t, result.QueueFull, submitBytes(t, b, now, "b", 41, 1).Code)
	must.NotNil(t, finishTask(b, now, "a", 0, 40))
	must.Zero(t, b.activeBytes)
	must.Nil(t, submitBytes(t, b, now, "b", 100, 1))
}

// A result that exceeds MaxActiveBytes ends the job with a code of class "ran",
// and the job's results are released.
func TestActiveResultsAreBounded(t *testing.T) {
	b, now := boundedTable(100)
	must.Nil(t, submitBytes(t, b, now, "a", 10, 3))
	must.Nil(t, finishTask(b, now, "a", 0, 60))
	a := finishTask(b, now, "a", 1, 11)
	must.NotNil(t, a)
	must.Eq(t, result.AnswerReleased, a.Code)
	must.Nil(t, a.Results)
	must.Zero(t, b.activeBytes)
}

// An ended job keeps no task results outside its answer. The result of an
// outcome that arrives after the end is dropped.
func TestEndedJobsKeepNoResults(t *testing.T) {
	b, now := boundedTable(0)
	must.Nil(t, submitBytes(t, b, now, "a", 1, 2))
	b.Start(now, TaskID{Job: ID{Team: "t", Key: "a"}}, "m")
	must.Nil(t, finishTask(b, now, "a", 1, 50))
	must.Len(t, 1, b.Tick(now.Add(time.Second)))
	id := ID{Team: "t", Key: "a"}
	must.Nil(t, b.Get(id).tasks[1].outcome.Result)
	must.Nil(t, b.Finish(now, TaskID{Job: id}, Outcome{Code: result.OK, Result: make([]byte, 50)}))
	must.MapEmpty(t, b.jobs)
	must.Nil(t, b.Finish(now, TaskID{Job: id}, Outcome{Code: result.OK}))
	must.Zero(t, b.activeBytes)
}

// A job whose payloads and results exceed MaxJobBytes ends with a code of class
// "ran" and without results.
func TestJobBytesAreBounded(t *testing.T) {
	l := limits
	l.MaxJobBytes = 5
	b := NewTable(l, t0.Add(-time.Hour))
	accept(t, b, "k", 3)
	must.Nil(t, finishTask(b, t0, "k", 0, 3))
	a := finishTask(b, t0, "k", 1, 3)
	must.Eq(t, result.AnswerTooLarge, a.Code)
	must.Nil(t, a.Results)
}

// A job that another host dispatched ends with that host's code, which already
// says what ran there.
func TestOutcomeOfAnotherHostKeepsItsCode(t *testing.T) {
	for _, code := range []result.Code{result.AnswerTooLarge, result.AnswerReleased, result.DeadlineRan} {
		b := newTestTable()
		id := TaskID{Job: accept(t, b, "k", 1).ID}
		must.True(t, b.Start(t0, id, "host"))
		must.Eq(t, code, b.Finish(t0, id, Outcome{Code: code}).Code)
	}
}
