package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// retransmit is the time after which a client sends a best-effort job again that had no
// response, a broken connection, 502 or 504: retransmit_ms.
const retransmit = 1300 * time.Millisecond

// clients submits best-effort jobs and sends them again as PROTOCOL.md says.
type clients struct {
	f      *fleet
	client *http.Client
	wg     sync.WaitGroup

	mu      sync.Mutex
	answers map[string]int
}

func newClients(f *fleet) *clients {
	return &clients{f: f, client: newHTTPClient(), answers: make(map[string]int)}
}

// submit sends a job with the given number of tasks.
func (c *clients) submit(hosts []*host, tasks int, estimate, limit time.Duration) {
	c.submitSteps(hosts, fmt.Sprintf(`{"count":%d,"cpu":27000,"mem_mb":64,"estimate_ms":%d}`, tasks, estimate.Milliseconds()), limit)
}

// submitSteps sends a job with the given steps to the first host and, after a broken
// connection and the like, to the others in turn, until limit has passed since the first
// try.
func (c *clients) submitSteps(hosts []*host, steps string, limit time.Duration) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	body := fmt.Appendf(nil, `{"task_spec":"spec of %s","best_effort":true,"steps":[%s]}`, id, steps)
	c.wg.Go(func() {
		until := time.Now().Add(limit)
		for i := 0; ; i++ {
			left := time.Until(until)
			if left <= 0 {
				c.count("gave up")
				return
			}
			h := hosts[i%len(hosts)]
			c.f.rec.printf("client: POST job %s to %s, try %d", id, h.ip, i+1)
			status, answer, err := call(c.client, left, http.MethodPost, "http://"+c.f.address(h.ip, c.f.ports.caller)+routePrefix+id, routeHost,
				map[string]string{"X-Deadline-Ms": fmt.Sprint(left.Milliseconds())}, body)
			c.f.rec.printf("client: job %s try %d: status %d %s, error %v", id, i+1, status, answer, err)
			if err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
				c.count(fmt.Sprint(status, " ", string(answer)))
				return
			}
			time.Sleep(retransmit)
		}
	})
}

func (c *clients) count(answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[answer]++
}
