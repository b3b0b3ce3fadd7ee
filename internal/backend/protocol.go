// Package backend is the host's side of the HTTP protocol to minions: the
// request that starts a task, its answer, and the request that cancels one.
// docs/PROTOCOL.md describes it for authors of minions.
package backend

import (
	"strconv"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
)

// Paths of a minion's HTTP server.
const (
	PathTasks  = "/v1/tasks"
	PathCancel = "/v1/cancel"
)

// Headers of the task request and its answer.
const (
	HeaderTask       = "Lw-Task"        // identity, echoed unchanged by the minion
	HeaderService    = "Lw-Service"     // service to run
	HeaderDeadline   = "Lw-Deadline-Ms" // milliseconds left when the request was sent
	HeaderNoRepeat   = "Lw-No-Repeat"   // "1" when the caller marked the task as not idempotent
	HeaderTraceID    = "Traceparent"    // W3C trace context, when sampled
	HeaderOutcome    = "Lw-Outcome"     // in the answer: one of the Outcome values
	HeaderTiming     = "Server-Timing"  // in the answer: run;dur=<milliseconds>, total;dur=<milliseconds>
	outcomeBodyBytes = 512              // bytes of a failure text that are kept
)

// Metrics of HeaderTiming.
const (
	timingRun   = "run"   // the task's run
	timingTotal = "total" // from the request's arrival to the answer
)

// Values of HeaderOutcome.
const (
	OutcomeDone       = "done"
	OutcomeFailed     = "failed"
	OutcomeNotStarted = "not-started" // the minion promises that it did not start the task
)

// Identity returns the value of HeaderTask. It differs between tasks, jobs,
// teams and process starts of a host.
func Identity(inc membership.Incarnation, id job.TaskID) string {
	return string(inc) + "/" + id.Job.Team + "/" + id.Job.Key + "/" + strconv.Itoa(id.Index)
}
