package plan

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Intent is what an operator wants to do.
type Intent string

// Intents.
const (
	Change  Intent = "change"  // put a document in force
	Drain   Intent = "drain"   // no new work for minions or hosts
	Undrain Intent = "undrain" // work again
	Stop    Intent = "stop"    // drain hosts, then stop their processes
)

// Request is one intent with its arguments.
type Request struct {
	Intent   Intent
	Document *config.Document // of Change
	Minions  []string         // of Drain and Undrain
	Hosts    []string         // of Drain, Undrain and Stop
}

// View is what the planning host knows when it makes a plan.
type View struct {
	Host          string // the planning host
	FailureDomain string
	Version       uint64           // in force
	Document      *config.Document // in force; nil before the first
	Hosts         []Host           // the planning host and its peers
	Minions       []Minion         // of the failure domain
	Work          []Work           // on the planning host
}

// Host is an entry host in a View.
type Host struct {
	Name        string
	Incarnation string // empty while unknown
	Up          bool
}

// Minion is a minion in a View.
type Minion struct {
	Name     string
	Services []string
	Ready    bool
	Running  int // tasks of the planning host
}

// Work counts the tasks of one team and service in a View.
type Work struct {
	Team    string
	Service string
	Queued  int
	Running int
}

// Plan is a change that nobody has confirmed yet.
type Plan struct {
	Intent   Intent
	Base     uint64           // version in force when the plan was made
	Before   *config.Document // in force then; never nil
	Document *config.Document // wanted, normalized
	Encoded  []byte           // Document as config.Document.Encode returns it
	Digest   string           // of Encoded
	Changes  []string
	Warnings []string
	Touches  Touches
}

// Touches names what a plan affects, as the planning host sees it.
type Touches struct {
	Hosts       []string
	Minions     []string
	Teams       []string
	QueuedTasks int
	Running     int
}

// digestBytes is the length of a plan's digest before its hexadecimal encoding.
const digestBytes = 16

// Make returns the plan of a request. It refuses a request that changes
// nothing, names unknown hosts or would leave the control hosts without a
// majority.
func Make(r Request, v View) (*Plan, *result.Error) {
	before := normal(v.Document)
	wanted, err := want(r, v, before)
	if err != nil {
		return nil, err
	}
	wanted.Normalize()
	if err := checkControl(before, wanted, v); err != nil {
		return nil, err
	}
	if err := checkRegions(before, wanted); err != nil {
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
	p.Touches = touches(before, wanted, v)
	p.Warnings = warnings(before, wanted, v)
	return p, nil
}

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
