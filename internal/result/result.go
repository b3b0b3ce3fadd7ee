// Package result defines the numbered result codes that callers, minions and
// operators see. Codes are stable: a number is never reused for another
// meaning. docs/RESULT-CODES.md holds the table.
package result

import (
	"errors"
	"fmt"
)

// Class says what is known about the execution of a request's tasks.
type Class uint8

// Three classes describe the execution of a job; NoExecution is for codes of
// requests that execute no job.
const (
	// NotRun guarantees that no task of the request has started or will start.
	NotRun Class = iota + 1
	// Ran says that the outcome of every started task is known.
	Ran
	// MayHaveRun says that at least one task may have started and its outcome is
	// unknown.
	MayHaveRun
	// NoExecution is the class of codes of operator requests and lookups.
	NoExecution
)

// String returns the name of the class as callers receive it.
func (c Class) String() string {
	switch c {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	case MayHaveRun:
		return "may have run"
	default:
		return "no execution"
	}
}

// Code is a numbered result.
type Code uint16

// Result codes. The hundreds group them: 0 success, 1xx bad input, 2xx not
// run, 3xx ran, 4xx may have run, 5xx operators and control, 6xx lookups.
const (
	OK Code = 0

	Malformed          Code = 101
	TooLarge           Code = 102
	InvalidField       Code = 103
	UnsupportedRequest Code = 104

	QueueFull           Code = 201
	DeadlineUnreachable Code = 202
	UnknownService      Code = 203
	Unplaceable         Code = 204
	QuotaExceeded       Code = 205
	Stopping            Code = 206
	KeyConflict         Code = 207
	Expired             Code = 208
	CancelledNotRun     Code = 209
	DeadlineNotRun      Code = 210
	TaskNotStarted      Code = 211
	UnknownTeam         Code = 212
	Busy                Code = 213
	Joining             Code = 214

	TaskFailed     Code = 301
	DeadlineRan    Code = 302
	CancelledRan   Code = 303
	AnswerReleased Code = 304
	AnswerTooLarge Code = 305

	StartUnknown     Code = 401
	DeadlineUnknown  Code = 402
	OwnerUnknown     Code = 403
	AnswerMismatch   Code = 404
	CancelledUnknown Code = 405

	NoMajority       Code = 501
	PlanStale        Code = 502
	UnknownPlan      Code = 503
	PlanRefused      Code = 504
	VersionTaken     Code = 505
	StoreUnavailable Code = 506

	JobUnknown    Code = 601
	JobPending    Code = 602
	MinionUnknown Code = 603
	HostUnknown   Code = 604
)

// Info describes one code.
type Info struct {
	Code    Code
	Name    string
	Class   Class
	HTTP    int // HTTP status of a response that carries the code
	Meaning string
}

var table = []Info{
	{OK, "ok", Ran, 200, "Every task ran once and the answer is complete."},
	{Malformed, "malformed", NotRun, 400, "The request could not be decoded."},
	{TooLarge, "too large", NotRun, 413, "A body, payload, header or task count exceeds its limit."},
	{InvalidField, "invalid field", NotRun, 400, "A field is missing or has a value out of range."},
	{UnsupportedRequest, "unsupported request", NotRun, 404, "No such path or method."},
	{QueueFull, "queue full", NotRun, 503, "A bounded queue is full; submit again later under the next attempt number."},
	{DeadlineUnreachable, "deadline unreachable", NotRun, 503, "The job cannot finish before its deadline at the present load."},
	{UnknownService, "unknown service", NotRun, 404, "No minion of the failure domain offers the service."},
	{Unplaceable, "unplaceable", NotRun, 422, "No worker could ever run a task of the declared size."},
	{QuotaExceeded, "quota exceeded", NotRun, 429, "The team has used up its quota."},
	{Stopping, "stopping", NotRun, 503, "The host is stopping and takes no new work."},
	{KeyConflict, "key conflict", NotRun, 409, "The key was used before with another body."},
	{Expired, "expired", NotRun, 410, "The submission is older than the key lifetime."},
	{CancelledNotRun, "cancelled, not run", NotRun, 200, "The job was cancelled before any task started."},
	{DeadlineNotRun, "deadline, not run", NotRun, 504, "The deadline passed before any task started."},
	{TaskNotStarted, "task not started", NotRun, 503, "Every start was disproved and the retry budget is used up."},
	{UnknownTeam, "unknown team", NotRun, 403, "The configuration names no such team."},
	{Busy, "busy", NotRun, 503, "A minion has no free slot, or a host has no free ring entry."},
	{Joining, "joining", NotRun, 503, "The host was added lately and waits until its region knows it."},
	{TaskFailed, "task failed", Ran, 200, "A task ran and failed; the rest of the job was not started."},
	{DeadlineRan, "deadline, ran", Ran, 504, "The deadline passed with some tasks done and none in progress."},
	{CancelledRan, "cancelled, ran", Ran, 200, "The job was cancelled after tasks had run; none is in progress."},
	{AnswerReleased, "answer released", Ran, 410, "The job ended and its answer is no longer kept."},
	{AnswerTooLarge, "answer too large", Ran, 502, "The results of the job exceed limits.max_job_bytes; the rest of the job was not started."},
	{StartUnknown, "start unknown", MayHaveRun, 502, "The connection to a minion failed after a task may have started."},
	{DeadlineUnknown, "deadline, may have run", MayHaveRun, 504, "The deadline passed with tasks in progress."},
	{OwnerUnknown, "owner unknown", MayHaveRun, 409, "An earlier attempt may have run on a host that cannot be asked; nothing was started now."},
	{AnswerMismatch, "answer mismatch", MayHaveRun, 502, "A minion answered with another task's identity; its answer was dropped."},
	{CancelledUnknown, "cancelled, may have run", MayHaveRun, 200, "The job was cancelled with tasks in progress."},
	{NoMajority, "no majority", NoExecution, 503, "No majority of the control hosts answered in time."},
	{PlanStale, "plan stale", NoExecution, 409, "The configuration has changed since the plan was made."},
	{UnknownPlan, "unknown plan", NoExecution, 404, "No such plan on this host."},
	{PlanRefused, "plan refused", NoExecution, 422, "The plan is invalid or would leave no majority."},
	{VersionTaken, "version taken", NoExecution, 409, "Another operator's change won this version."},
	{StoreUnavailable, "store unavailable", NoExecution, 503, "The data folder cannot be written or read."},
	{JobUnknown, "job unknown", NoExecution, 404, "This host knows no such job."},
	{JobPending, "job pending", NoExecution, 202, "The job is in progress."},
	{MinionUnknown, "minion unknown", NoExecution, 404, "The minion is not announced here; announce it again."},
	{HostUnknown, "host unknown", NoExecution, 404, "The host is not in the configuration."},
}

var byCode = indexTable()

func indexTable() map[Code]*Info {
	m := make(map[Code]*Info, len(table))
	for i := range table {
		m[table[i].Code] = &table[i]
	}
	return m
}

// Table returns every code in ascending order.
func Table() []Info { return append([]Info(nil), table...) }

// Lookup returns the description of c.
func Lookup(c Code) (Info, bool) {
	info, ok := byCode[c]
	if !ok {
		return Info{}, false
	}
	return *info, true
}

// Class returns the execution class of c. An unknown code is MayHaveRun, the
// class with the weakest guarantee.
func (c Code) Class() Class {
	if info, ok := byCode[c]; ok {
		return info.Class
	}
	return MayHaveRun
}

// HTTPStatus returns the HTTP status of a response that carries c, 500 for an
// unknown code.
func (c Code) HTTPStatus() int {
	if info, ok := byCode[c]; ok {
		return info.HTTP
	}
	return 500
}

// String returns the name of c, or its number if the code is unknown.
func (c Code) String() string {
	if info, ok := byCode[c]; ok {
		return info.Name
	}
	return fmt.Sprintf("code %d", uint16(c))
}

// Error is a failure with a result code.
type Error struct {
	Code   Code
	Detail string
}

// Error returns the number and name of the code, and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", e.Code, e.Code)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Detail)
}

// Errorf returns an *Error with a formatted detail.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// CodeOf returns the code of the first *Error in err's chain; ok is false
// when the chain has none.
func CodeOf(err error) (code Code, ok bool) {
	var e *Error
	if errors.As(err, &e) {
		return e.Code, true
	}
	return 0, false
}
