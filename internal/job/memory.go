package job

import "github.com/laburnumwalk/laburnumwalk/internal/result"

// bytes returns the size of the submission's payloads.
func (s *Submission) bytes() int {
	n := 0
	for i := range s.Tasks {
		n += len(s.Tasks[i].Payload)
	}
	return n
}

func (t *Table) roomFor(bytes int) bool {
	return t.limits.MaxActiveBytes == 0 || t.activeBytes+bytes <= t.limits.MaxActiveBytes
}

// hold counts bytes of a job in progress.
func (t *Table) hold(j *Job, bytes int) {
	j.bytes += bytes
	t.activeBytes += bytes
}

// holdResult keeps the result of a finished task. Without room for it the job
// stops: its tasks ran, but its answer can't be kept whole.
func (t *Table) holdResult(j *Job, k *task) {
	if j.ended {
		k.outcome.Result = nil // too late for the answer
		return
	}
	n := len(k.outcome.Result)
	switch {
	case t.limits.MaxJobBytes > 0 && j.bytes+n > t.limits.MaxJobBytes:
		j.stop(result.AnswerTooLarge, "payloads and results of the job exceed the limit")
	case !t.roomFor(n):
		j.stop(result.AnswerReleased, "no room for the results of jobs in progress")
	default:
		t.hold(j, n)
		return
	}
	k.outcome.Result = nil
}

// dropResults frees the results of an ended job that its answer does not hold.
func (j *Job) dropResults() {
	for i := range j.tasks {
		j.tasks[i].outcome.Result = nil
	}
}

// task returns a task in progress and its job, which may have ended; nil
// when there is no such task.
func (t *Table) task(id TaskID) (*Job, *task) {
	j := t.jobs[id.Job]
	if j == nil || id.Index >= len(j.tasks) || j.tasks[id.Index].state != Started {
		return nil, nil
	}
	return j, &j.tasks[id.Index]
}
