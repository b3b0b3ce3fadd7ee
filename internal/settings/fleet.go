package settings

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Fleet configures a host whose minions run tasks under leases. All keys are
// documented in docs/SETTINGS.md.
type Fleet struct {
	Name          string   `json:"name" validate:"required,max=64"`
	IP            string   `json:"ip" validate:"required,ip"`
	FailureDomain string   `json:"failure_domain" validate:"required,max=64"`
	Region        string   `json:"region" validate:"required,max=64"`
	Entry         bool     `json:"entry"`   // takes callers' jobs
	Control       bool     `json:"control"` // takes announcements and documents
	CallerAddress string   `json:"caller_address"`
	ReadyAddress  string   `json:"ready_address"`
	ControlAddr   string   `json:"control_address"`
	PeerPort      string   `json:"peer_port" validate:"required,numeric"`
	PeerListen    string   `json:"peer_listen" validate:"omitempty,hostname_port"` // empty: ip and peer_port
	MetricsPort   int      `json:"metrics_port" validate:"min=0,max=65535"`        // 0: none
	Seeds         []string `json:"seeds" validate:"dive,hostname_port"`
	FirstStart    bool     `json:"first_start"`                             // of the whole system
	DataFolder    string   `json:"data_folder"`                             // empty: no disk
	StopGraceS    float64  `json:"stop_grace_s" validate:"min=1,max=60"`    // from a stop signal until the process is killed
	Losses        int      `json:"tolerated_losses" validate:"min=0,max=3"` // control hosts that may be lost at once
	Log           FleetLog `json:"log"`
}

// FleetLog configures the structured log on standard output.
type FleetLog struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// ControlGroup returns how many control hosts choose a document: a majority of
// them outlives the losses.
func (s *Fleet) ControlGroup() int { return 2*s.Losses + 1 }

// FleetDefaults returns the settings of every key that has a default.
func FleetDefaults() Fleet {
	return Fleet{StopGraceS: 6, Losses: 1, Log: FleetLog{Level: "info"}}
}

// PeerAddress returns where connections of other hosts arrive.
func (s *Fleet) PeerAddress() string {
	if s.PeerListen != "" {
		return s.PeerListen
	}
	return net.JoinHostPort(s.IP, s.PeerPort)
}

const (
	// longestLinger is how long a stopping host takes jobs at most: few run longer.
	longestLinger = 5 * time.Second
	// closeShare is the part of the grace that is left for the last answers and
	// for a process that gets little processor time.
	closeShare = 6
)

// Linger returns for how long a stopping host goes on answering requests.
func (s *Fleet) Linger() time.Duration {
	grace := time.Duration(s.StopGraceS * float64(time.Second))
	return min(longestLinger, grace-grace/closeShare)
}

// LoadFleet reads, decodes and checks a settings file. The error names the
// file, and the line and key of each problem.
func LoadFleet(path string) (Fleet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Fleet{}, errors.Wrap(err, "settings")
	}
	s := FleetDefaults()
	if err := Decode(path, text, &s); err != nil {
		return Fleet{}, err
	}
	if s.Entry && (s.CallerAddress == "" || s.ReadyAddress == "") {
		return Fleet{}, At(path, text, "entry", "an entry host needs caller_address and ready_address")
	}
	if s.Control && s.ControlAddr == "" {
		return Fleet{}, At(path, text, "control", "a control host needs control_address")
	}
	return s, nil
}
