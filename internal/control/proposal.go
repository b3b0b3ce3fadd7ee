package control

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Proposal is a change to the configuration, confirmed by an operator or
// proposed by a host itself.
type Proposal struct {
	Command  string // unique identity (idempotency key): the same command sent again gets its original outcome
	Operator string
	Base     uint64 // version that the plan is based on
	Document []byte // new document, encoded by config.Document.Encode
	// Group lists the control hosts that choose the version after this one;
	// nil keeps the current group.
	Group []peer.ControlMember
}

// Outcome is the result of a proposal.
type Outcome struct {
	Command string
	Code    result.Code // OK, NoMajority, VersionTaken, PlanStale, PlanRefused, Busy or StoreUnavailable
	Version uint64      // OK: the version that was chosen; otherwise the latest known version
	Winner  string      // operator whose change was chosen as version Base+1 instead; "" if unknown
	Detail  string
}

// digest returns a hash of the base, operator and document. It distinguishes a
// command that is sent again from another change with the same command identity.
func (p *Proposal) digest() uint64 {
	h := xxhash.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], p.Base)
	_, _ = h.Write(base[:]) // writes to a hash return no error
	_, _ = h.WriteString(p.Operator)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(p.Document)
	return h.Sum64()
}
