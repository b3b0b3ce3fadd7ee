package control

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Proposal is an operator's confirmed change.
type Proposal struct {
	Command  string // identity chosen by the operator; a resend gets the first outcome
	Operator string
	Base     uint64 // the version that the plan was made on
	Document []byte // the wanted document, as config.Document.Encode returns it
	// Group is who chooses the version after this one; nil: as before.
	Group []peer.ControlMember
}

// Outcome is what became of a proposal.
type Outcome struct {
	Command string
	Code    result.Code // OK, NoMajority, VersionTaken, PlanStale, PlanRefused, Busy or StoreUnavailable
	Version uint64      // the version chosen by or instead of the proposal
	Winner  string      // operator whose change was chosen, when another won
	Detail  string
}

// digest identifies the content of a command: a resend has the same one.
func (p *Proposal) digest() uint64 {
	h := xxhash.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], p.Base)
	_, _ = h.Write(base[:]) // never fails
	_, _ = h.WriteString(p.Operator)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(p.Document)
	return h.Sum64()
}
