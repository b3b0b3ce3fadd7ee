package daemon

import (
	"context"

	"github.com/laburnumwalk/laburnumwalk/internal/control"
)

// proposer proposes confirmed changes of the configuration to the control hosts.
type proposer interface {
	// Propose proposes a change and waits for its outcome for a limited time.
	// Another call with the same command returns the outcome of the first, or
	// proposes the change again if that outcome was NoMajority.
	Propose(ctx context.Context, p control.Proposal) control.Outcome
}
