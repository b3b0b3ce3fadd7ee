// Package api serves the HTTP interface of a daemon to callers, minions and
// operators. docs/PROTOCOL.md describes it.
package api

import (
	"math"
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
	DeadlineMS    int64      `json:"deadline_ms"`     // from the receipt of the request
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

// TimingResponse is the job.Breakdown of an answer, which describes the task that
// ended last, with durations in microseconds. docs/design/slowness.md describes its
// parts.
type TimingResponse struct {
	TotalUS int64  `json:"total_us"` // from acceptance of the job to its answer
	QueueUS int64  `json:"queue_us"`
	TripUS  int64  `json:"trip_us"`
	RunUS   int64  `json:"run_us"` // 0 when the minion did not report it
	Minion  string `json:"minion,omitempty"`
	Task    int    `json:"task"`
	Retries int    `json:"retries"`

	ReceiveUS  int64       `json:"receive_us,omitempty"`
	AdmitUS    int64       `json:"admit_us,omitempty"`
	ControlUS  int64       `json:"control_us,omitempty"`
	RefusedUS  int64       `json:"refused_us,omitempty"`
	RefusedBy  string      `json:"refused_by,omitempty"`
	HandoffUS  int64       `json:"handoff_us,omitempty"`
	OwnUS      int64       `json:"own_us,omitempty"`
	OpenUS     int64       `json:"open_us,omitempty"`
	CollectUS  int64       `json:"collect_us,omitempty"`
	PauseUS    int64       `json:"pause_us,omitempty"`
	Peer       string      `json:"peer,omitempty"`
	PeerTripUS int64       `json:"peer_trip_us,omitempty"`
	PeerHeldUS int64       `json:"peer_held_us,omitempty"`
	EncodeUS   int64       `json:"encode_us,omitempty"`
	WriteUS    int64       `json:"write_us,omitempty"`
	Verdict    job.Verdict `json:"verdict"`
}

func timingResponse(b *job.Breakdown) *TimingResponse {
	v := b.Verdict
	v.Share = math.Round(v.Share*shareScale) / shareScale
	return &TimingResponse{
		TotalUS: b.Total.Microseconds(), QueueUS: b.Queue.Microseconds(), TripUS: b.Trip.Microseconds(),
		RunUS: b.Run.Microseconds(), Minion: b.Minion, Task: b.Task, Retries: b.Retries,

		ReceiveUS: b.Receive.Microseconds(), AdmitUS: b.Admit.Microseconds(), ControlUS: b.Control.Microseconds(),
		RefusedUS: b.Refused.Microseconds(), RefusedBy: b.RefusedBy, HandoffUS: b.Handoff.Microseconds(),
		OwnUS: b.Own.Microseconds(), OpenUS: b.Open.Microseconds(), CollectUS: b.Collect.Microseconds(),
		PauseUS: b.Pause.Microseconds(), Peer: b.Peer, PeerTripUS: b.PeerTrip.Microseconds(),
		PeerHeldUS: b.PeerHeld.Microseconds(), EncodeUS: b.Encode.Microseconds(), WriteUS: b.Write.Microseconds(),
		Verdict: v,
	}
}

// shareScale rounds a share to three decimals.
const shareScale = 1000

func jobResponse(a *job.Answer) JobResponse {
	r := errorResponse(&result.Error{Code: a.Code, Detail: a.Detail})
	r.Team, r.Key = a.ID.Team, a.ID.Key
	r.Timing = timingResponse(&a.Breakdown)
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

// LeaseResponse answers a minion's announcement, heartbeat or leave request.
type LeaseResponse struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Detail  string      `json:"detail,omitempty"`
	LeaseMS int64       `json:"lease_ms,omitempty"`
}

// HeartbeatRequest is the body of POST /v1/minions/heartbeat and
// POST /v1/minions/leave.
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
	Disk          string       `json:"disk,omitempty"` // ID of the data folder's contents
	Voting        bool         `json:"voting"`         // whether the host votes on configuration versions
	ConfigVersion uint64       `json:"config_version"`
	ConfigAgeMS   int64        `json:"config_age_ms"` // since this host applied the version
	Hosts         []HostInfo   `json:"hosts"`
	Minions       []MinionInfo `json:"minions"`
}

// HostInfo is the state of a peer as the answering host knows it.
type HostInfo struct {
	Name             string `json:"name"`
	FailureDomain    string `json:"failure_domain"`
	Region           string `json:"region"`
	Up               bool   `json:"up"`
	RoundTripUS      int64  `json:"round_trip_us"`
	ConfigVersion    uint64 `json:"config_version"`
	ConfigAgeMS      int64  `json:"config_age_ms"` // since the peer first reported the version
	LastMessageAgeMS int64  `json:"heard_ms"`      // since the peer's last message; -1 when there was none
}

// MinionInfo is the state of a minion as the answering host knows it.
type MinionInfo struct {
	Name     string   `json:"name"`
	Worker   string   `json:"worker"`
	Rack     string   `json:"rack"`
	Services []string `json:"services"`
	Slots    int      `json:"slots"`
	InUse    int      `json:"in_use"`
	LeaseMS  int64    `json:"lease_ms"` // remaining time of the lease
	State    string   `json:"state"`
}

// JobInfo is one job in the response to GET /v1/jobs on the operators' listener.
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
