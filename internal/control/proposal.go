// Package control agrees on configuration versions: each version is a
// write-once register over the control hosts, chosen by a two-phase majority
// round.
//
// The package is pure: every method takes the current time; it does no I/O,
// starts no goroutine and reads no clock.
package control

import "github.com/laburnumwalk/laburnumwalk/internal/result"

// Proposal is an operator's confirmed change.
type Proposal struct {
	Command  string // identity chosen by the operator; a resend gets the first outcome
	Operator string
	Base     uint64 // the version that the plan was made on
	Document []byte // the wanted document, as config.Document.Encode returns it
}

// Outcome is what became of a proposal.
type Outcome struct {
	Command string
	Code    result.Code // OK, NoMajority, VersionTaken, PlanStale or StoreUnavailable
	Version uint64      // the version chosen by or instead of the proposal
	Winner  string      // operator whose change was chosen, when another won
	Detail  string
}
