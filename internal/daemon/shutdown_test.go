package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Closing the servers while they are starting ends them as well: the HTTP
// library forgets a shutdown that comes before its loop runs.
func TestServersCloseWhileStarting(t *testing.T) {
	const rounds, bound = 50, 10 * time.Second
	for range rounds {
		d := idleDaemon(t, "a-1", newRegister())
		must.NoError(t, d.startServers(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), bound)
		d.closeServers(ctx)
		must.NoError(t, ctx.Err())
		cancel()
		d.wg.Wait()
		d.listeners.close()
	}
}
