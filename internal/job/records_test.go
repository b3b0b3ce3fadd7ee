package job

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

// The code of an ended job is kept until its retention ends. After that nothing
// of the job remains in the table.
func TestEndedJobIsForgottenAfterRetention(t *testing.T) {
	table := newTestTable()
	j := accept(t, table, "k", 1)
	id := TaskID{Job: j.ID}
	must.True(t, table.Start(t0, id, "m"))
	must.NotNil(t, table.Finish(t0, id, Outcome{Code: result.TaskFailed, Detail: "no"}))
	must.Eq(t, 0, len(table.jobs)+len(table.deadlines))
	must.Eq(t, "no", table.Get(id.Job).Answer().Detail)

	last := t0.Add(limits.KeyLifetime + limits.ClockError)
	table.Tick(last)
	must.Eq(t, result.TaskFailed, table.Get(id.Job).Answer().Code)
	table.Tick(last.Add(time.Second))
	must.Nil(t, table.Get(id.Job))
	must.Eq(t, 0, table.Records()+table.answerBytes+len(table.answers)+len(table.expiry.buckets))
}

// A job that ended with a task in progress is kept until the task's outcome is
// recorded.
func TestEndedJobIsKeptUntilItsTasksEnd(t *testing.T) {
	table := newTestTable()
	id := TaskID{Job: accept(t, table, "k", 1).ID}
	must.True(t, table.Start(t0, id, "m"))
	must.SliceLen(t, 1, table.Tick(t0.Add(2*time.Second)))
	started := 0
	table.Get(id.Job).EachStarted(func(int, string) { started++ })
	must.Eq(t, 1, started)
	must.Nil(t, table.Finish(t0.Add(3*time.Second), id, Outcome{Code: result.OK}))
	must.Eq(t, 0, len(table.jobs))
	must.Eq(t, result.DeadlineUnknown, table.Get(id.Job).Answer().Code)
}

func TestFencesOrderAttempts(t *testing.T) {
	table := newTestTable()
	id := ID{Team: "t", Key: "k"}
	must.Nil(t, table.Fence(id, t0, 3))
	must.NotNil(t, table.Fence(id, t0, 2))
	must.NotNil(t, table.Fence(id, t0, 0))
	must.Nil(t, table.Fence(id, t0, 4))
	table.FenceEveryAttempt(id)
	must.NotNil(t, table.Fence(id, t0, 5))
	table.Tick(t0.Add(limits.KeyLifetime + limits.ClockError + time.Second))
	must.Eq(t, 0, table.Records())
}

const (
	benchmarkRecords = 1000000
	benchmarkStep    = 200 * time.Microsecond // between submissions; all take 200 s, less than KeyLifetime, so that no record expires
)

// endedJobs returns a table of ended jobs with one task each, and the heap bytes
// per job. Each key and team is a separately allocated string, as after
// decoding.
func endedJobs(b *testing.B, maxAnswerBytes int) (*Table, float64) {
	b.Helper()
	l := Limits{MaxActive: 10, MaxRecords: 1 << 30, MaxAnswerBytes: maxAnswerBytes, KeyLifetime: 5 * time.Minute, ClockError: time.Second}
	table := NewTable(l, t0.Add(-time.Hour))
	table.Tick(t0)
	before := heapBytes()
	for i := range benchmarkRecords {
		now := t0.Add(time.Duration(i) * benchmarkStep)
		s := submission(fmt.Sprintf("registration-%08d", i), 1)
		s.ID.Team = strings.Clone("admissions")
		s.SubmittedAt = now
		if _, _, err := table.Submit(now, s, false); err != nil {
			b.Fatal(err)
		}
		id := TaskID{Job: s.ID}
		table.Start(now, id, "m")
		table.Finish(now, id, Outcome{Code: result.OK, Result: make([]byte, 64)})
		table.Tick(now)
	}
	return table, float64(heapBytes()-before) / benchmarkRecords
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkEndedRecord(b *testing.B) {
	for range b.N {
		table, bytes := endedJobs(b, 0)
		b.ReportMetric(bytes, "B/record")
		runtime.KeepAlive(table)
	}
}

func BenchmarkTickWithRecords(b *testing.B) {
	table, _ := endedJobs(b, 0)
	now := t0.Add(benchmarkRecords * benchmarkStep)
	for i := range benchmarkRecords {
		_ = table.Fence(ID{Team: "t", Key: fmt.Sprint(i)}, now, 2)
	}
	b.ResetTimer()
	for range b.N {
		now = now.Add(10 * time.Microsecond)
		table.Tick(now)
	}
}
