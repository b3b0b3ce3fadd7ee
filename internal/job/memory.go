package job

import "github.com/laburnumwalk/laburnumwalk/internal/result"

// payloadBytes returns the total size of the submission's payloads.
func (s *Submission) payloadBytes() int {
	n := 0
	for i := range s.Tasks {
		n += len(s.Tasks[i].Payload)
	}
	return n
}

// fitsActiveBytes reports whether jobs in progress may hold this many more bytes.
func (t *Table) fitsActiveBytes(bytes int) bool {
	return t.limits.MaxActiveBytes == 0 || t.activeBytes+bytes <= t.limits.MaxActiveBytes
}

// addActiveBytes adds to the bytes that a job in progress holds.
func (t *Table) addActiveBytes(j *Job, bytes int) {
	j.activeBytes += bytes
	t.activeBytes += bytes
}

// keepResult accounts for the result of a finished task. When the result
// exceeds a limit, keepResult drops it and stops the job with a code that says
// that its tasks ran but its answer is not available.
func (t *Table) keepResult(j *Job, k *task) {
	if j.ended {
		k.outcome.Result = nil // the answer is final and does not contain it
		return
	}
	n := len(k.outcome.Result)
	switch {
	case t.limits.MaxJobBytes > 0 && j.activeBytes+n > t.limits.MaxJobBytes:
		j.stop(result.AnswerTooLarge, "payloads and results of the job exceed the limit")
	case !t.fitsActiveBytes(n):
		j.stop(result.AnswerReleased, "no room for the results of jobs in progress")
	default:
		t.addActiveBytes(j, n)
		return
	}
	k.outcome.Result = nil
}

// dropResults releases the tasks' results when the job has ended. Those of a
// complete answer stay referenced by the answer.
func (j *Job) dropResults() {
	for i := range j.tasks {
		j.tasks[i].outcome.Result = nil
	}
}

// startedTask returns a task in progress and its job, which may have ended
// already. It returns nil when the task does not exist or is not in progress.
func (t *Table) startedTask(id TaskID) (*Job, *task) {
	j := t.jobs[id.Job]
	if j == nil || id.Index >= len(j.tasks) || j.tasks[id.Index].state != Started {
		return nil, nil
	}
	return j, &j.tasks[id.Index]
}
