package settings

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Fleet holds the settings of laburnum-host, a host whose minions run tasks
// under leases. All keys are documented in docs/SETTINGS.md.
type Fleet struct {
	Name            string   `json:"name" validate:"required,max=64"`
	IP              string   `json:"ip" validate:"required,ip"`
	FailureDomain   string   `json:"failure_domain" validate:"required,max=64"`
	Region          string   `json:"region" validate:"required,max=64"`
	FailureDomains  []string `json:"failure_domains" validate:"dive,required,max=64"` // those that can be evacuated; empty: any
	Entry           bool     `json:"entry"`                                           // accepts jobs from callers
	Control         bool     `json:"control"`                                         // accepts minion announcements and documents
	CallerAddress   string   `json:"caller_address"`
	ReadyAddress    string   `json:"ready_address"`
	ControlAddress  string   `json:"control_address"`
	PeerPort        string   `json:"peer_port" validate:"required,numeric"`
	PeerListen      string   `json:"peer_listen" validate:"omitempty,hostname_port"` // empty: ip and peer_port
	MetricsPort     int      `json:"metrics_port" validate:"min=0,max=65535"`        // 0: no metrics listener
	Seeds           []string `json:"seeds" validate:"dive,hostname_port"`
	FirstStart      bool     `json:"first_start"`                                // the whole system starts for the first time: the seeds choose the first document
	DataFolder      string   `json:"data_folder"`                                // empty: no data on disk
	StopGraceS      float64  `json:"stop_grace_s" validate:"min=1,max=60"`       // seconds from the stop signal until the process is killed
	ToleratedLosses int      `json:"tolerated_losses" validate:"min=0,max=3"`    // control hosts that may fail at the same time
	LinkMbps        float64  `json:"link_mbps" validate:"min=0,max=1000000"`     // rate of the host's network link in megabits per second; 0: not limited
	ProcessorShare  float64  `json:"processor_share" validate:"min=0,max=1024"`  // share of processor_cores that the host may use; 0: not known
	ProcessorCores  float64  `json:"processor_cores" validate:"min=0,max=65536"` // processors of the host's machine; 0: not known
	MemoryMB        float64  `json:"memory_mb" validate:"min=0,max=1000000000"`  // memory that the host may use; 0: not known
	// SeparateInterfering: tasks of queues that slow each other down go to different minions.
	SeparateInterfering bool     `json:"separate_interfering"`
	Log                 FleetLog `json:"log"`
}

// Processors returns how many processors the host may use; 0: not known. A factor that is
// not known counts as 1 if the other one is known.
func (s *Fleet) Processors() float64 {
	if s.ProcessorShare == 0 || s.ProcessorCores == 0 {
		return max(s.ProcessorShare, s.ProcessorCores)
	}
	return s.ProcessorShare * s.ProcessorCores
}

// LinkBytesPerSecond returns the rate of the host's network link; 0: not limited.
func (s *Fleet) LinkBytesPerSecond() int64 { return int64(s.LinkMbps * 1e6 / 8) }

// FleetLog configures the structured log on standard output.
type FleetLog struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// ControlGroupSize returns the number of control hosts that vote on a document.
// A majority of them remains after the tolerated losses.
func (s *Fleet) ControlGroupSize() int { return 2*s.ToleratedLosses + 1 }

// FleetDefaults returns settings with the default value of every key that has
// one.
func FleetDefaults() Fleet {
	return Fleet{StopGraceS: 6, ToleratedLosses: 1, Log: FleetLog{Level: "info"}}
}

// PeerListenAddress returns the address (host:port) of the listener for other
// hosts.
func (s *Fleet) PeerListenAddress() string {
	if s.PeerListen != "" {
		return s.PeerListen
	}
	return net.JoinHostPort(s.IP, s.PeerPort)
}

const (
	// maxLinger bounds the time during which a host that is shutting down continues
	// to answer requests. Few jobs run longer.
	maxLinger = 5 * time.Second
	// graceReserveDivisor keeps the last 1/6 of the grace period in reserve, for
	// sending the last answers and in case the process gets little CPU time.
	graceReserveDivisor = 6
)

// Linger returns how long a host that is shutting down continues to answer
// requests.
func (s *Fleet) Linger() time.Duration {
	grace := time.Duration(s.StopGraceS * float64(time.Second))
	return min(maxLinger, grace-grace/graceReserveDivisor)
}

// LoadFleet reads, decodes and checks a settings file of laburnum-host. The
// error names the file and the line and key of each problem.
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
		return Fleet{}, ProblemAt(path, text, "entry", "an entry host needs caller_address and ready_address")
	}
	if s.Control && s.ControlAddress == "" {
		return Fleet{}, ProblemAt(path, text, "control", "a control host needs control_address")
	}
	return s, nil
}
