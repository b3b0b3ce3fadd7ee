package peer

import (
	"math"
	"time"
)

// Bounds of the numbers in documents and jobs. Larger numbers saturate where a document or a
// job is accepted. The bounds are checked there, and again in the messages that carry the
// numbers, so that a message between hosts is never refused for what was accepted. Sums and products that could exceed the range of an
// int64 within these bounds saturate.
const (
	// MaxAmount bounds counts and amounts of resources. It is the largest integer up to
	// which every JSON reader is exact.
	MaxAmount = maxExactInteger
	// MaxTimeMS bounds declared run times, deadlines and parts of objectives, in
	// milliseconds: 24 days.
	MaxTimeMS = math.MaxInt32
	// MaxStretchPct bounds the part of an objective that grows with the critical path.
	MaxStretchPct = math.MaxInt32
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps = 64
	// MaxTasks is the maximum number of tasks of a job, over all steps.
	MaxTasks = 4096
	// MaxWork is the largest amount of work or capacity that hosts report, in thousandths
	// of a processor, also times milliseconds. Larger sums are reported as this.
	MaxWork = 1 << 50
)

// CheckTerms reports why a queue can't have these terms, or nil.
func CheckTerms(attempts int, stretchPct, addMS int64) error {
	return firstInvalid(
		numberCheck{"attempts", int64(attempts), 0, MaxAmount},
		numberCheck{"stretch in percent", stretchPct, 0, MaxStretchPct},
		numberCheck{"constant part of the objective", addMS, 0, MaxTimeMS},
	)
}

// SaturateTerms replaces terms of a queue beyond the bounds by the nearest ones within them.
func SaturateTerms(attempts *int, stretchPct, addMS *int64) {
	*attempts = max(0, min(*attempts, MaxAmount))
	*stretchPct = max(0, min(*stretchPct, MaxStretchPct))
	*addMS = max(0, min(*addMS, MaxTimeMS))
}

// CheckSteps reports why no job can have these steps, or nil.
func CheckSteps(steps []TaskStep) error {
	if err := firstInvalid(numberCheck{"number of steps", int64(len(steps)), 0, MaxSteps}); err != nil {
		return err
	}
	tasks := int64(0)
	for i := range steps {
		if err := steps[i].check(i); err != nil {
			return err
		}
		tasks += int64(steps[i].Count)
	}
	return firstInvalid(numberCheck{"number of tasks", tasks, 0, MaxTasks})
}

// Saturate replaces numbers above their bounds by the bounds. No minion and no deadline is as
// large, so the job's outcome is the same. Numbers of tasks are left for CheckSteps to refuse.
func (s *TaskStep) Saturate() {
	s.CPU = min(s.CPU, MaxAmount)
	s.MemoryMB = min(s.MemoryMB, MaxAmount)
	s.Accelerators = min(s.Accelerators, MaxAmount)
	s.EstimateMS = min(s.EstimateMS, MaxTimeMS)
	s.MaxPerMinion = min(s.MaxPerMinion, MaxAmount)
}

// check checks the step with the given index.
func (s *TaskStep) check(index int) error {
	for _, a := range s.After {
		if err := firstInvalid(numberCheck{"step that must end first", int64(a), 0, int64(index) - 1}); err != nil {
			return err
		}
	}
	return firstInvalid(
		numberCheck{"number of tasks", int64(s.Count), 0, MaxTasks},
		numberCheck{"processors", s.CPU, 0, MaxAmount},
		numberCheck{"memory", s.MemoryMB, 0, MaxAmount},
		numberCheck{"accelerators", s.Accelerators, 0, MaxAmount},
		numberCheck{"estimate", s.EstimateMS, 0, MaxTimeMS},
		numberCheck{"tasks on one minion", int64(s.MaxPerMinion), 0, MaxAmount},
	)
}

// ExceedsEveryMinion reports whether no minion can be large enough for a task of the step:
// no announcement of such a minion would be accepted.
func (s *TaskStep) ExceedsEveryMinion() bool {
	return s.CPU > maxMinionCPU || s.MemoryMB > maxMinionMemoryMB || s.Accelerators > maxMinionAccelerators
}

// Work returns the product of an amount of processors and a time in milliseconds, both not
// negative, or MaxWork if it is larger.
func Work(cpu, ms int64) int64 {
	if ms > 0 && cpu > MaxWork/ms {
		return MaxWork
	}
	return cpu * ms
}

// AddWork returns the sum of two amounts of work, at most MaxWork each, or MaxWork if the
// sum is larger.
func AddWork(a, b int64) int64 { return min(MaxWork, a+b) }

// maxObjective bounds objectives, so that times computed from them stay in the range of a
// time.Duration.
const maxObjective = 2 * MaxTimeMS * time.Millisecond

// Objective returns the response-time objective of a job with the given critical path; 0 if
// it has none, so that an answer is of use until the caller's deadline.
func Objective(criticalPath time.Duration, stretchPct, addMS int64) time.Duration {
	stretched := float64(criticalPath) * float64(stretchPct) / 100
	return time.Duration(min(stretched, float64(maxObjective))) + time.Duration(addMS)*time.Millisecond
}
