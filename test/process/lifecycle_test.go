package process

import (
	"sync"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

// A job submitted over HTTP runs on minions that are separate processes, and its
// results arrive in the order of its tasks.
func TestJobRunsOnRealProcesses(t *testing.T) {
	a := hostSettings(t, "a-1", "a")
	b := hostSettings(t, "a-2", "a")
	makeAllPeers(&a, &b)
	h1, h2 := startHost(t, a), startHost(t, b)
	startMinion(t, "m1", "a", h1)
	startMinion(t, "m2", "a", h2)
	h1.awaitMinions(t, 2)
	h2.awaitMinions(t, 2)
	r, err := h1.submit(newRequest("k", "one", "sleep 10ms", "two"))
	must.NoError(t, err)
	must.Eq(t, result.OK, r.Code)
	must.Eq(t, []string{"done one", "slept 10ms", "done two"}, r.Results)
}

// A host that is stopped by a signal answers the requests in progress completely.
func TestStopCutsNoRequest(t *testing.T) {
	h := startHost(t, hostSettings(t, "a-1", "a"))
	startMinion(t, "m1", "a", h)
	h.awaitMinions(t, 1)
	var wg sync.WaitGroup
	var r api.JobResponse
	var err error
	wg.Go(func() { r, err = h.submit(newRequest("k", "sleep 1s")) })
	eventually(t, "job in progress", func() bool {
		s, err := h.status()
		return err == nil && s.ActiveJobs == 1
	})
	h.stop()
	wg.Wait()
	must.NoError(t, err)
	must.Eq(t, result.OK, r.Code)
}

// The lease of a minion that is killed expires, and no host of its failure domain
// starts tasks on it after that.
func TestKilledMinionIsRemoved(t *testing.T) {
	a := hostSettings(t, "a-1", "a")
	b := hostSettings(t, "a-2", "a")
	makeAllPeers(&a, &b)
	h1, h2 := startHost(t, a), startHost(t, b)
	m := startMinion(t, "m1", "a", h1)
	h1.awaitMinions(t, 1)
	h2.awaitMinions(t, 1)
	m.kill()
	begin := time.Now()
	h1.awaitMinions(t, 0)
	h2.awaitMinions(t, 0)
	t.Logf("killed minion removed from both hosts after %v", time.Since(begin))
	r, err := h2.submit(newRequest("k", "one"))
	must.NoError(t, err)
	must.Eq(t, result.UnknownService, r.Code)
}
