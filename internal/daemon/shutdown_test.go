package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Servers that are closed right after startServers must stop. The HTTP library
// ignores a shutdown that is requested before the accept loop runs; the servers
// would then run on.
func TestServersShutDownWhileStarting(t *testing.T) {
	const rounds, timeout = 50, 10 * time.Second
	for range rounds {
		d := newUnstartedDaemon(t, "a-1", newFakeProposer())
		must.NoError(t, d.startServers(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		d.closeServers(ctx)
		must.NoError(t, ctx.Err())
		cancel()
		d.wg.Wait()
		d.listeners.close()
	}
}
