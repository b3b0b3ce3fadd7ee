package process

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

// load submits jobs to a host, one after the other per client, until stopped.
type load struct {
	wg      sync.WaitGroup
	stopped atomic.Bool
	mu      sync.Mutex
	answers []api.JobResponse
	errors  []error
}

func startLoad(h *host, clients int, payloads ...string) *load {
	l := &load{}
	for c := range clients {
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

// While the host that dispatches for its failure domain stops, the callers of
// the other hosts notice nothing.
func TestStopOfDispatchingHostCutsNothingElsewhere(t *testing.T) {
	a := hostSettings(t, "a-1", "a")
	b := hostSettings(t, "a-2", "a")
	joinAll(&a, &b)
	h1, h2 := startHost(t, a), startHost(t, b)
	startMinion(t, "m1", "a", h2) // no connection to h1, which could delay its end
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
	eventually(t, "load goes on", func() bool { return l.count() > after+200 })
	l.stop(t)
	t.Logf("%d jobs answered", l.count())
}
