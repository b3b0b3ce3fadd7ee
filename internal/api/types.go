// Package api is the HTTP interface of a daemon towards callers, minions and
// operators. docs/PROTOCOL.md describes it.
package api

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// SubmitRequest is the body of POST /v1/jobs.
type SubmitRequest struct {
	Key           string     `json:"key"`
	Attempt       int        `json:"attempt,omitempty"`
	Team          string     `json:"team"`
	Service       string     `json:"service"`
	DeadlineMS    int64      `json:"deadline_ms"`     // from receipt
	SubmittedAtMS int64      `json:"submitted_at_ms"` // caller's clock, Unix time of attempt 1
	Tasks         []TaskBody `json:"tasks"`
}

// TaskBody is one task of a SubmitRequest.
type TaskBody struct {
	Payload  string    `json:"payload"`
	Size     *SizeBody `json:"size,omitempty"`
	NoRepeat bool      `json:"no_repeat,omitempty"`
}

// SizeBody is the declared size of a task.
type SizeBody struct {
	MilliCPU     int   `json:"milli_cpu,omitempty"`
	MemoryMB     int   `json:"memory_mb,omitempty"`
	Accelerators int   `json:"accelerators,omitempty"`
	RunMS        int64 `json:"run_ms,omitempty"`
}

// JobResponse is the answer to a submission, a fetch or a cancellation.
type JobResponse struct {
	Team    string          `json:"team,omitempty"`
	Key     string          `json:"key,omitempty"`
	Code    result.Code     `json:"code"`
	Name    string          `json:"name"`
	Class   string          `json:"class"`
	Detail  string          `json:"detail,omitempty"`
	Results []string        `json:"results,omitempty"`
	Timing  *TimingResponse `json:"timing,omitempty"`
}

// TimingResponse is the breakdown of an answer's time, in microseconds.
type TimingResponse struct {
	TotalUS int64  `json:"total_us"`
	QueueUS int64  `json:"queue_us"`
	TripUS  int64  `json:"trip_us"`
	RunUS   int64  `json:"run_us"`
	Minion  string `json:"minion,omitempty"`
	Task    int    `json:"task"`
	Retries int    `json:"retries"`
}

func jobResponse(a *job.Answer) JobResponse {
	r := errorResponse(&result.Error{Code: a.Code, Detail: a.Detail})
	r.Team, r.Key = a.ID.Team, a.ID.Key
	b := a.Breakdown
	r.Timing = &TimingResponse{
		TotalUS: b.Total.Microseconds(),
		QueueUS: b.Queue.Microseconds(),
		TripUS:  b.Trip.Microseconds(),
		RunUS:   b.Run.Microseconds(),
		Minion:  b.Minion,
		Task:    b.Task,
		Retries: b.Retries,
	}
	if a.Code == result.OK {
		r.Results = make([]string, len(a.Results))
		for i, b := range a.Results {
			r.Results[i] = string(b)
		}
	}
	return r
}

func errorResponse(e *result.Error) JobResponse {
	return JobResponse{Code: e.Code, Name: e.Code.String(), Class: e.Code.Class().String(), Detail: e.Detail}
}

// LeaseResponse answers a minion's announcement or heartbeat.
type LeaseResponse struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Detail  string      `json:"detail,omitempty"`
	LeaseMS int64       `json:"lease_ms,omitempty"`
}

// HeartbeatRequest is the body of a minion's heartbeat and leave.
type HeartbeatRequest struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
}

// StatusResponse is the answer to GET /v1/status.
type StatusResponse struct {
	Host          string       `json:"host"`
	FailureDomain string       `json:"failure_domain"`
	Incarnation   string       `json:"incarnation"`
	UptimeMS      int64        `json:"uptime_ms"`
	Stopping      bool         `json:"stopping"`
	ActiveJobs    int          `json:"active_jobs"`
	Records       int          `json:"records"`
	Drained       bool         `json:"drained"`
	ConfigVersion uint64       `json:"config_version"`
	ConfigAgeMS   int64        `json:"config_age_ms"` // since this host put it in force
	Hosts         []HostInfo   `json:"hosts"`
	Minions       []MinionInfo `json:"minions"`
}

// HostInfo is one peer as seen by the answering host.
type HostInfo struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Up            bool   `json:"up"`
	RoundTripUS   int64  `json:"round_trip_us"`
	ConfigVersion uint64 `json:"config_version"`
	ConfigAgeMS   int64  `json:"config_age_ms"` // since it first reported the version
	HeardMS       int64  `json:"heard_ms"`      // since its last message; -1: never
}

// MinionInfo is one minion as seen by the answering host.
type MinionInfo struct {
	Name     string   `json:"name"`
	Worker   string   `json:"worker"`
	Rack     string   `json:"rack"`
	Services []string `json:"services"`
	Slots    int      `json:"slots"`
	InUse    int      `json:"in_use"`
	LeaseMS  int64    `json:"lease_ms"`
	State    string   `json:"state"`
}

// JobInfo is one job in the list of GET /v1/jobs of the operators' listener.
type JobInfo struct {
	Team    string      `json:"team"`
	Key     string      `json:"key"`
	Service string      `json:"service"`
	AgeMS   int64       `json:"age_ms"`
	Queued  int         `json:"queued"`
	Running int         `json:"running"`
	Done    int         `json:"done"`
	Ended   bool        `json:"ended"`
	Code    result.Code `json:"code"`
}

func unixMillis(ms int64) time.Time { return time.UnixMilli(ms) }
