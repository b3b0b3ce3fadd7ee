package main

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// attempts: an operator changes the manifest to let tasks of a route be tried as often as
// the number holds. Clients are at all entry hosts alike.
func attempts(rec *record, trouble bool) (string, error) {
	const (
		taskTime  = 200 * time.Millisecond
		timeLimit = 1500 * time.Millisecond // of the clients
		apply     = 2 * time.Second         // config_apply_ms
		requests  = 400
		maxFailed = 0.6 // share of the requests that may be refused or fail
		interval  = 40 * time.Millisecond
	)
	f, err := newFleet(rec, 1)
	if err != nil {
		return "", err
	}
	defer f.close()
	controls, err := startControls(f, 3)
	if err != nil {
		return "", err
	}
	var entries []*host
	for i := range 4 {
		e, err := f.add(11+i, "z1", false)
		if err != nil {
			return "", err
		}
		entries = append(entries, e)
	}
	if err := startAll(f, entries); err != nil {
		return "", err
	}
	op := &operator{f: f, controls: controls, client: newHTTPClient()}
	if op.declare(manifestVersion, 15*time.Second) == nil {
		return "", errors.New("the manifest was not acknowledged")
	}
	obs := &observer{}
	for i := range 12 {
		m, err := startMinion(f, obs, fmt.Sprintf("i-%02d", i), "z1", taskTime, controls)
		if err != nil {
			return "", err
		}
		defer m.close()
	}
	time.Sleep(8 * time.Second)
	c := &callers{f: f, client: newHTTPClient(), timeLimit: timeLimit, answers: make(map[string]int)}
	before := c.load(entries, requests/4, interval)
	rec.printf("before the change: %d of %d requests served: %v", before, requests/4, c.answers)
	if before == 0 {
		return "", errors.New("no request was served before the change")
	}
	limit := 6
	if trouble {
		limit = math.MaxInt32
	}
	op.text = bytes.Replace(manifest(manifestVersion+2), []byte(`"max_attempts":4`), fmt.Appendf(nil, `"max_attempts":%d`, limit), 1)
	if op.declare(manifestVersion+2, 15*time.Second) == nil {
		return "", errors.New("the change was not acknowledged")
	}
	time.Sleep(apply + time.Second)
	clear(c.answers)
	served := c.load(entries, requests, interval)
	rec.printf("with max_attempts %d: %d of %d requests served: %v", limit, served, requests, c.answers)
	if out := f.exitedHosts(); len(out) > 0 {
		return "", fmt.Errorf("hosts %v have ended", out)
	}
	if failed := 1 - float64(served)/requests; failed > maxFailed {
		return fmt.Sprintf("Gate: %.0f%% of %d requests were refused or failed after the change of the manifest, by host and answer: %v", 100*failed, requests, c.answers), nil
	}
	return "", nil
}

// callers sends jobs of two tasks and doesn't send them again.
type callers struct {
	f         *fleet
	client    *http.Client
	timeLimit time.Duration

	mu      sync.Mutex
	answers map[string]int
}

// load sends jobs to the hosts in turn and returns how many were answered as complete.
func (c *callers) load(hosts []*host, n int, interval time.Duration) (served int) {
	var wg sync.WaitGroup
	for i := range n {
		h := hosts[i%len(hosts)]
		id := fmt.Sprintf("%016x", rand.Uint64())
		body := fmt.Appendf(nil, `{"task_spec":"spec of %s","best_effort":true,"steps":[{"count":2,"cpu":27000,"mem_mb":64,"estimate_ms":200}]}`, id)
		wg.Go(func() {
			sent := time.Now()
			status, answer, err := call(c.client, c.timeLimit, http.MethodPost, "http://"+c.f.address(h.ip, c.f.ports.caller)+routePrefix+id, routeHost,
				map[string]string{"X-Deadline-Ms": fmt.Sprint(c.timeLimit.Milliseconds())}, body)
			c.f.rec.printf("client: POST job %s to %s: status %d %s, error %v, after %v", id, h.ip, status, answer, err, time.Since(sent).Round(time.Millisecond))
			c.mu.Lock()
			defer c.mu.Unlock()
			key := fmt.Sprint(h.ip, " ", status, " ", string(answer))
			if err != nil {
				key = h.ip + " no answer"
			}
			c.answers[key]++
			if err == nil && status == http.StatusOK {
				served++
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return served
}
