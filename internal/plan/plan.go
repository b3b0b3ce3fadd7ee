package plan

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Intent is the kind of change that an operator requests.
type Intent string

// The intents of a Request.
const (
	Change  Intent = "change"  // replace the configuration document
	Drain   Intent = "drain"   // stop giving new work to minions or hosts
	Undrain Intent = "undrain" // end the drain of minions or hosts
	Stop    Intent = "stop"    // drain hosts and shut down their processes
)

// Request is an intent with its arguments. Fields that the intent does not use
// are empty.
type Request struct {
	Intent   Intent
	Document *config.Document // for Change
	Minions  []string         // for Drain and Undrain
	Hosts    []string         // for Drain, Undrain and Stop
}

// View is the state, as known to the planning host, that a plan is made from.
type View struct {
	Host          string // the planning host
	FailureDomain string
	Version       uint64           // of the applied document
	Document      *config.Document // applied; nil before the first version
	Hosts         []Host           // the planning host and its peers
	Minions       []Minion         // announced in the failure domain
	TaskCounts    []TaskCounts     // queued and running tasks of the planning host
}

// Host is an entry host in a View.
type Host struct {
	Name        string
	Incarnation string // empty while unknown
	Reachable   bool   // reachable from the planning host
}

// Minion is a minion in a View.
type Minion struct {
	Name     string
	Services []string
	Ready    bool
	Running  int // tasks that the planning host runs on it
}

// TaskCounts holds the task counts of one team and service on the planning host.
type TaskCounts struct {
	Team    string
	Service string
	Queued  int
	Running int
}

// Plan is a proposed configuration document with the differences and the
// impact that are shown to the operator before confirmation.
type Plan struct {
	Intent   Intent
	Base     uint64           // version applied when the plan was made
	Before   *config.Document // document of version Base, normalized; never nil
	Document *config.Document // proposed, normalized
	Encoded  []byte           // Document as config.Document.Encode returns it
	Digest   string           // of Encoded: hexadecimal prefix of its SHA-256
	Changes  []string         // one line per difference
	Warnings []string         // consequences that the operator may not intend
	Impact   Impact
}

// Impact lists what a plan affects, as far as the planning host knows.
type Impact struct {
	Hosts       []string
	Minions     []string
	Teams       []string
	QueuedTasks int // of the planning host
	Running     int // running tasks of the planning host
}

// digestBytes is the length in bytes of a plan's digest before hexadecimal
// encoding.
const digestBytes = 16

// Make returns the plan for a request. It refuses a request that changes
// nothing, names unknown hosts, would leave the control hosts without a
// reachable majority, or adds too many hosts to a region at once.
func Make(r Request, v View) (*Plan, *result.Error) {
	before := normalizedClone(v.Document)
	wanted, err := wantedDocument(r, v, before)
	if err != nil {
		return nil, err
	}
	wanted.Normalize()
	if err := checkControlHosts(before, wanted, v); err != nil {
		return nil, err
	}
	if err := checkRegionGrowth(before, wanted); err != nil {
		return nil, err
	}
	p := &Plan{Intent: r.Intent, Base: v.Version, Before: before, Document: wanted}
	p.Changes = Changes(before, wanted)
	if len(p.Changes) == 0 {
		return nil, result.Errorf(result.PlanRefused, "nothing would change: version %d is already as wanted", v.Version)
	}
	if err := p.encode(); err != nil {
		return nil, err
	}
	p.Impact = estimateImpact(before, wanted, v)
	p.Warnings = warnings(before, wanted, v)
	return p, nil
}

// encode sets Encoded and Digest. It parses the encoded document again and
// refuses one that does not pass the checks of package config.
func (p *Plan) encode() *result.Error {
	text, err := p.Document.Encode()
	if err != nil {
		return result.Errorf(result.PlanRefused, "%v", err)
	}
	if _, err := config.Parse("plan", text); err != nil {
		return result.Errorf(result.PlanRefused, "%v", err)
	}
	sum := sha256.Sum256(text)
	p.Encoded = text
	p.Digest = hex.EncodeToString(sum[:digestBytes])
	return nil
}
