// Package backend implements the host's side of the HTTP protocol between hosts and
// minions: the request that starts a task, its answer, and the request that cancels a
// task. docs/PROTOCOL.md describes the protocol for authors of minions.
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

// Headers of the request that starts a task, and of its answer.
const (
	HeaderTask        = "Lw-Task"        // the task's Identity; the minion copies it into the answer
	HeaderService     = "Lw-Service"     // service to run
	HeaderDeadline    = "Lw-Deadline-Ms" // milliseconds from sending the request to the deadline
	HeaderNoRepeat    = "Lw-No-Repeat"   // "1" if the caller marked the task as not idempotent
	HeaderTraceparent = "Traceparent"    // W3C trace context, if the job is sampled
	HeaderOutcome     = "Lw-Outcome"     // in the answer: one of the Outcome values
	HeaderTiming      = "Server-Timing"  // in the answer: run;dur=<milliseconds>, total;dur=<milliseconds>
	outcomeBodyBytes  = 512              // maximum length of the failure text that is kept from an answer, in bytes
)

// Names of the metrics in HeaderTiming.
const (
	timingRun   = "run"   // duration of the task's run
	timingTotal = "total" // time from the arrival of the request at the minion to its answer
)

// Values of HeaderOutcome.
const (
	OutcomeDone       = "done"
	OutcomeFailed     = "failed"
	OutcomeNotStarted = "not-started" // the minion guarantees that it did not start the task
)

// Identity returns the value of HeaderTask for a task. It is unique across tasks, jobs,
// teams and incarnations of hosts.
func Identity(inc membership.Incarnation, id job.TaskID) string {
	return string(inc) + "/" + id.Job.Team + "/" + id.Job.Key + "/" + strconv.Itoa(id.Index)
}
