package process

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/shoenig/test/must"
)

// load submits jobs to a host until stopped. Each of its callers submits one job
// at a time.
type load struct {
	wg      sync.WaitGroup
	stopped atomic.Bool
	mu      sync.Mutex
	answers []api.JobResponse
	errors  []error
}

func startLoad(h *host, callers int, payloads ...string) *load {
	l := &load{}
	for c := range callers {
		l.wg.Go(func() {
			for n := 0; !l.stopped.Load(); n++ {
				r, err := h.submit(newRequest(fmt.Sprintf("load-%d-%d", c, n), payloads...))
				l.mu.Lock()
				l.answers = append(l.answers, r)
				if err != nil {
					l.errors = append(l.errors, err)
				}
				l.mu.Unlock()
			}
		})
	}
	return l
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

// stop ends the load and requires a complete answer to every job.
func (l *load) stop(t *testing.T) {
	t.Helper()
	l.stopped.Store(true)
	l.wg.Wait()
	must.SliceEmpty(t, l.errors)
	for _, r := range l.answers {
		must.Eq(t, result.OK, r.Code, must.Sprint(r.Key, " ", r.Detail))
	}
}

// While the host that dispatches for its failure domain stops, every job submitted
// to the other hosts still completes.
func TestStopOfDispatchingHostFailsNoJobOfOtherHosts(t *testing.T) {
	a := hostSettings(t, "a-1", "a")
	b := hostSettings(t, "a-2", "a")
	makeAllPeers(&a, &b)
	h1, h2 := startHost(t, a), startHost(t, b)
	startMinion(t, "m1", "a", h2) // not at h1, because an open connection could delay its exit
	h1.awaitMinions(t, 1)
	h2.awaitMinions(t, 1)
	l := startLoad(h2, 8, "sleep 5ms")
	eventually(t, "jobs are forwarded", func() bool {
		s, err := h1.status()
		return err == nil && s.Records > 200
	})
	http.DefaultClient.CloseIdleConnections()
	h1.stop()
	after := l.count()
	eventually(t, "jobs are still answered", func() bool { return l.count() > after+200 })
	l.stop(t)
	t.Logf("%d jobs answered", l.count())
}

// probeInterval is the interval of the test load balancer's readiness checks.
const probeInterval = 700 * time.Millisecond

// stopLingerMS is much longer than probeInterval, so that the test does not
// depend on the machine's speed.
const stopLingerMS = 5000

// runBehindBalancer stops the load when the readiness check fails. The first
// check is made after probeInterval, as by a load balancer that checked just
// before the host stopped being ready.
func runBehindBalancer(t *testing.T, h *host, l *load) {
	t.Helper()
	for range int(waitTimeout / probeInterval) {
		time.Sleep(probeInterval)
		resp, err := http.Get("http://" + h.settings.Listen.Callers + "/readyz")
		if err != nil {
			break
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			break
		}
	}
	l.stopped.Store(true)
	l.wg.Wait()
}

// While a host stops, no connection of a caller behind a load balancer that
// checks readiness fails: each request is answered completely, or refused as not
// run.
func TestPlannedStopBehindBalancer(t *testing.T) {
	a1, a2, _ := controlHosts(t, func(s *settings.Settings) { s.Timing.StopLingerMS = stopLingerMS })
	startMinion(t, "m1", "a", a1)
	a2.awaitMinions(t, 1)
	l := startLoad(a2, 8, "sleep 5ms")
	eventually(t, "more than 300 jobs answered", func() bool { return l.count() > 300 })
	p := a1.createPlan(t, api.PlanRequest{Intent: plan.Stop, Hosts: []string{"a-2"}})
	must.Eq(t, result.OK, a1.confirm(t, p.ID, "c", "ana").Code)
	runBehindBalancer(t, a2, l)
	must.NoError(t, <-a2.exited)
	a2.exited <- nil
	must.SliceEmpty(t, l.errors)
	refused := 0
	for _, r := range l.answers {
		if r.Code == result.Stopping {
			refused++
			continue
		}
		must.Eq(t, result.OK, r.Code, must.Sprint(r.Key, " ", r.Detail))
	}
	t.Logf("%d jobs answered, %d of them refused as not run", l.count(), refused)
}
