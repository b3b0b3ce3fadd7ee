// Package settings reads and checks the settings files of the daemons. A file is
// JSON with comments; unknown keys and invalid values are refused with file,
// line and key.
package settings

import (
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Settings holds the settings of laburnumd. All keys are documented in
// docs/SETTINGS.md.
type Settings struct {
	Host          string   `json:"host" validate:"required,max=64"`
	FailureDomain string   `json:"failure_domain" validate:"required,max=64"`
	Region        string   `json:"region" validate:"required,max=64"`
	Listen        Listen   `json:"listen" validate:"required"`
	Peers         []Peer   `json:"peers" validate:"max=256,unique=Name,dive"`
	Joining       bool     `json:"joining"`
	DataFolder    string   `json:"data_folder"`
	Control       Control  `json:"control"`
	Limits        Limits   `json:"limits"`
	Timing        Timing   `json:"timing"`
	Dispatch      Dispatch `json:"dispatch"`
	Log           Log      `json:"log"`
	Traces        Traces   `json:"traces"`
	Profiling     bool     `json:"profiling"`
}

// Listen holds the four addresses (host:port) on which a daemon accepts
// connections.
type Listen struct {
	Callers   string `json:"callers" validate:"required,hostname_port"`
	Minions   string `json:"minions" validate:"required,hostname_port"`
	Operators string `json:"operators" validate:"required,hostname_port"`
	Peers     string `json:"peers" validate:"required,hostname_port"`
}

// Peer is another host of the system.
type Peer struct {
	Name          string `json:"name" validate:"required,max=64"`
	FailureDomain string `json:"failure_domain" validate:"required,max=64"`
	Region        string `json:"region" validate:"required,max=64"`
	Address       string `json:"address" validate:"required,hostname_port"`
}

// Control names the control hosts that choose the first configuration version.
// Each configuration document names the control hosts for later versions.
type Control struct {
	Members []string `json:"members" validate:"max=7,unique,dive,required,max=64"`
}

// Limits bounds requests and memory.
type Limits struct {
	MaxBodyBytes    int `json:"max_body_bytes" validate:"min=1024,max=62914560"`
	MaxTasks        int `json:"max_tasks" validate:"min=1,max=100000"`
	MaxPayloadBytes int `json:"max_payload_bytes" validate:"min=1,max=67108864"`
	MaxResultBytes  int `json:"max_result_bytes" validate:"min=1,max=67108864"`
	MaxHeaderBytes  int `json:"max_header_bytes" validate:"min=1024,max=1048576"`
	MaxConnections  int `json:"max_connections" validate:"min=1,max=1000000"`
	MaxJobBytes     int `json:"max_job_bytes" validate:"min=1024,max=62914560"`
	MaxActiveBytes  int `json:"max_active_bytes" validate:"min=1024"`
	MaxActiveJobs   int `json:"max_active_jobs" validate:"min=1,max=1000000"`
	MaxRecords      int `json:"max_records" validate:"min=1,max=10000000"`
	MaxAnswerBytes  int `json:"max_answer_bytes" validate:"min=1024"`
	MaxInFlight     int `json:"max_in_flight" validate:"min=1,max=100000"`
	MaxSearches     int `json:"max_searches" validate:"min=1,max=1000000"`
	RingSize        int `json:"ring_size" validate:"min=16,max=1048576"`
}

// Timing holds durations in milliseconds.
type Timing struct {
	HeartbeatMS      int `json:"heartbeat_ms" validate:"min=10,max=10000"`
	PeerTimeoutMS    int `json:"peer_timeout_ms" validate:"min=50,max=60000,gtfield=HeartbeatMS"`
	MinionLeaseMS    int `json:"minion_lease_ms" validate:"min=100,max=3000"`
	KeyLifetimeMS    int `json:"key_lifetime_ms" validate:"min=1000,max=86400000"`
	ClockErrorMS     int `json:"clock_error_ms" validate:"min=0,max=60000"`
	MaxDeadlineMS    int `json:"max_deadline_ms" validate:"min=1,max=3600000"`
	StopTimeoutMS    int `json:"stop_timeout_ms" validate:"min=0,max=600000"`
	StopLingerMS     int `json:"stop_linger_ms" validate:"min=0,max=60000"`
	TickMS           int `json:"tick_ms" validate:"min=1,max=1000"`
	LocateTimeoutMS  int `json:"locate_timeout_ms" validate:"min=10,max=60000"`
	BusyPauseMS      int `json:"busy_pause_ms" validate:"min=0,max=10000"`
	ProposeTimeoutMS int `json:"propose_timeout_ms" validate:"min=100,max=60000"`
}

// Dispatch holds the dispatch policy.
type Dispatch struct {
	RetryBudget int `json:"retry_budget" validate:"min=0,max=100000"`
}

// Log configures the structured log.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
	File  string `json:"file"` // empty: standard error
}

// Traces configures span export.
type Traces struct {
	File         string  `json:"file"`          // empty: no file
	OTLPEndpoint string  `json:"otlp_endpoint"` // host:port of an OTLP/HTTP collector; empty: no export
	SampleRate   float64 `json:"sample_rate" validate:"min=0,max=1"`
	RecordFile   string  `json:"record_file"` // records the inputs of the engine for replay; empty: no recording
}

// Defaults returns settings with the default value of every key that has one.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			MaxBodyBytes:    16 << 20,
			MaxTasks:        1000,
			MaxPayloadBytes: 1 << 20,
			MaxResultBytes:  1 << 20,
			MaxHeaderBytes:  16 << 10,
			MaxConnections:  4096,
			MaxActiveBytes:  256 << 20,
			MaxActiveJobs:   20000,
			MaxRecords:      1000000,
			MaxJobBytes:     32 << 20,
			MaxAnswerBytes:  64 << 20,
			MaxInFlight:     4096,
			MaxSearches:     4096,
			RingSize:        16384,
		},
		Timing: Timing{
			HeartbeatMS:      500,
			PeerTimeoutMS:    2000,
			MinionLeaseMS:    2500,
			KeyLifetimeMS:    300000,
			ClockErrorMS:     500,
			MaxDeadlineMS:    120000,
			StopTimeoutMS:    30000,
			StopLingerMS:     1000,
			TickMS:           10,
			LocateTimeoutMS:  500,
			BusyPauseMS:      5,
			ProposeTimeoutMS: 3000,
		},
		Dispatch: Dispatch{RetryBudget: 32},
		Log:      Log{Level: "info"},
		Traces:   Traces{SampleRate: 0.01},
	}
}

// Millis converts a setting in milliseconds to a duration.
func Millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Load reads, decodes and checks a settings file of laburnumd. The error names
// the file and the line and key of each problem.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s := Defaults()
	if err := Decode(path, text, &s); err != nil {
		return Settings{}, err
	}
	if err := s.checkControl(); err != nil {
		return Settings{}, Problems{{File: path, Line: 1, Key: "control.members", Text: err.Error()}}
	}
	return s, nil
}

// checkControl refuses control members that are neither this host nor a peer,
// and this host as a member if it has no data folder.
func (s *Settings) checkControl() error {
	for _, m := range s.Control.Members {
		if m == s.Host {
			if s.DataFolder == "" {
				return errors.New("this host is a member and needs a data_folder")
			}
			continue
		}
		if !slices.ContainsFunc(s.Peers, func(p Peer) bool { return p.Name == m }) {
			return errors.Errorf("%q is neither this host nor one of its peers", m)
		}
	}
	return nil
}
