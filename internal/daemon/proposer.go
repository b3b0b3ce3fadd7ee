package daemon

import (
	"context"

	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// proposer takes confirmed changes to the control hosts.
type proposer interface {
	// Propose waits for the outcome in bounded time. It may be called again
	// with the same command identity and then returns the first outcome.
	Propose(ctx context.Context, p control.Proposal) control.Outcome
}

// noControl is the proposer of a system without control hosts.
type noControl struct{}

// Propose implements proposer.
func (noControl) Propose(_ context.Context, p control.Proposal) control.Outcome {
	return control.Outcome{Command: p.Command, Code: result.NoMajority, Detail: "no control hosts are configured"}
}
