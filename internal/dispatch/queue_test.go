package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	testTeams   = 45
	testJobs    = 1000
	testMinions = 70
	testTrials  = 16
)

func testTable() *job.Table {
	return job.NewTable(job.Limits{MaxActive: 1 << 20, MaxRecords: 1 << 20, KeyLifetime: time.Hour}, start)
}

func testRegistry(minions, slots int) *minion.Registry {
	r := minion.NewRegistry(time.Hour)
	for i := range minions {
		name := fmt.Sprintf("m%d", i)
		r.Announce(start, minion.Announcement{
			Name: name, Worker: name, Rack: fmt.Sprintf("r%d", i/8), Services: []string{"s", "other"},
			Slots: slots, Address: name + ":1", MilliCPU: 64000, MemoryMB: 128000,
		}, time.Hour, true)
	}
	return r
}

func submitJob(tb testing.TB, t *job.Table, team, key string, tasks int) *job.Job {
	s := &job.Submission{
		ID: job.ID{Team: team, Key: key}, Attempt: 1, Service: "s", SubmittedAt: start.Add(time.Second),
		Deadline: start.Add(time.Hour), Tasks: make([]job.Task, tasks),
	}
	j, _, err := t.Submit(start.Add(time.Second), s, true)
	must.Nil(tb, err)
	return j
}

// BenchmarkStart measures the decision about one start and the processing of its
// end, with 45 teams, 1,000 queued jobs and 70 minions that have one free slot
// in total.
func BenchmarkStart(b *testing.B) {
	const slots = 8
	now := start.Add(time.Second)
	t, r, q := testTable(), testRegistry(testMinions, slots), NewQueue(testTrials)
	for i := range testJobs {
		q.Add(submitJob(b, t, fmt.Sprintf("team%d", i%testTeams), fmt.Sprint(i), 600))
	}
	var inProgress []Assignment
	begin := func() {
		a, ok := q.Next(now, r)
		if !ok {
			b.Fatal("no start")
		}
		t.Start(now, a.Task, a.Minion.Name)
		r.Acquire(now, a.Minion, a.Size)
		inProgress = append(inProgress, a)
	}
	for range testMinions*slots - 1 {
		begin()
	}
	for b.Loop() {
		begin()
		a := inProgress[0]
		inProgress = inProgress[1:]
		t.Disprove(now, a.Task)
		r.Release(a.Minion.Name, a.Size)
		q.TaskEnded(a.Task)
	}
}

// runAll starts and finishes one task at a time until the queue is empty and
// returns the jobs' keys in the order in which their tasks started.
func runAll(tb testing.TB, q *Queue, t *job.Table, r *minion.Registry) []string {
	var order []string
	now := start.Add(time.Second)
	for {
		a, ok := q.Next(now, r)
		if !ok {
			return order
		}
		must.True(tb, t.Start(now, a.Task, a.Minion.Name))
		r.Acquire(now, a.Minion, a.Size)
		order = append(order, a.Task.Job.Key)
		t.Finish(now, a.Task, job.Outcome{})
		r.Release(a.Minion.Name, a.Size)
		q.TaskEnded(a.Task)
		if t.Get(a.Task.Job).Ended() {
			q.Remove(a.Task.Job)
		}
	}
}

func TestFewestRemainingTasksFirst(t *testing.T) {
	table, q := testTable(), NewQueue(testTrials)
	for _, n := range []int{3, 1, 2} {
		q.Add(submitJob(t, table, "t", fmt.Sprint(n), n))
	}
	must.Eq(t, []string{"1", "2", "2", "3", "3", "3"}, runAll(t, q, table, testRegistry(1, 1)))
	must.MapEmpty(t, q.teams)
}

// A large job starts before a small one that arrives agePerTask per task later.
func TestWaitingRaisesLargeJobs(t *testing.T) {
	table, q := testTable(), NewQueue(testTrials)
	q.Add(submitJob(t, table, "t", "large", 3))
	late := &job.Submission{
		ID: job.ID{Team: "t", Key: "late"}, Attempt: 1, Service: "s", SubmittedAt: start.Add(time.Second),
		Deadline: start.Add(time.Hour), Tasks: make([]job.Task, 1),
	}
	j, _, err := table.Submit(start.Add(time.Second+3*agePerTask), late, true)
	must.Nil(t, err)
	q.Add(j)
	must.Eq(t, []string{"large", "large", "large", "late"}, runAll(t, q, table, testRegistry(1, 1)))
}

func TestTeamsShareSlotsByWeight(t *testing.T) {
	table, q, r := testTable(), NewQueue(testTrials), testRegistry(1, 8)
	q.SetQuotas(map[string]Quota{"a": {Weight: 3}, "b": {Weight: 1}})
	q.Add(submitJob(t, table, "a", "a", 20))
	q.Add(submitJob(t, table, "b", "b", 10))
	for range 8 {
		a, ok := q.Next(start.Add(time.Second), r)
		must.True(t, ok)
		table.Start(start, a.Task, a.Minion.Name)
		r.Acquire(start, a.Minion, a.Size)
	}
	must.Eq(t, 6, q.Running("a"))
	must.Eq(t, 2, q.Running("b"))
}

func TestQuotaLimitsTasksInProgress(t *testing.T) {
	table, q, r := testTable(), NewQueue(testTrials), testRegistry(1, 8)
	q.SetQuotas(map[string]Quota{"a": {Weight: 1, MaxSlots: 3}})
	q.Add(submitJob(t, table, "a", "a", 20))
	for {
		a, ok := q.Next(start.Add(time.Second), r)
		if !ok {
			break
		}
		table.Start(start, a.Task, a.Minion.Name)
		r.Acquire(start, a.Minion, a.Size)
	}
	must.Eq(t, 3, q.Running("a"))
	must.Eq(t, 17, q.Queued("a"))
}

// A job whose task does not fit any minion's free capacity does not block the
// jobs behind it.
func TestLargeTaskDoesNotBlockSmallOnes(t *testing.T) {
	table, q, r := testTable(), NewQueue(testTrials), testRegistry(1, 8)
	for i, cpu := range []int{40000, 40000, 10000} {
		j := submitJob(t, table, "t", fmt.Sprint(i), 1)
		j.Tasks[0].Size.MilliCPU = cpu
		q.Add(j)
	}
	var keys []string
	for {
		a, ok := q.Next(start.Add(time.Second), r)
		if !ok {
			break
		}
		table.Start(start, a.Task, a.Minion.Name)
		r.Acquire(start, a.Minion, a.Size)
		keys = append(keys, a.Task.Job.Key)
	}
	must.Eq(t, []string{"0", "2"}, keys)
}
