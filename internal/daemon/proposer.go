package daemon

import (
	"context"

	"github.com/laburnumwalk/laburnumwalk/internal/control"
)

// proposer takes confirmed changes to the control hosts.
type proposer interface {
	// Propose waits for the outcome in bounded time. It may be called again
	// with the same command identity and then returns the first outcome.
	Propose(ctx context.Context, p control.Proposal) control.Outcome
}
