package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
)

// httpClient opens a connection for each request.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// call sends a request and returns the status and the body of the answer; status 0: none.
func call(method, url, hostHeader string, wait time.Duration, body []byte) (int, string) {
	return callUntil(context.Background(), method, url, hostHeader, wait, body)
}

// callUntil is call that breaks the connection when ctx ends.
func callUntil(ctx context.Context, method, url, hostHeader string, wait time.Duration, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if hostHeader != "" {
		r.Host = hostHeader
		r.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// manifest returns a manifest with one route.
func manifest(version int) []byte {
	return mustJSON(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": routeHost, "path_prefix": routePrefix, "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 60, "priority": 0,
			"service": serviceName, "max_attempts": 3, "stretch": 1.6,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": false, "standby": false,
		}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func (f *fleet) controlURL(h *host, path string) string {
	return fmt.Sprintf("http://%s:%d%s", h.ip, controlPort, path)
}

// putManifest sends a manifest to one control host after the other until one
// acknowledges it or the time is over. It returns whether it was acknowledged.
func (f *fleet) putManifest(version int, limit time.Duration) bool {
	controls := f.controls()
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		h := controls[i%len(controls)]
		code, text := call("PUT", f.controlURL(h, "/-/config"), "", 4*time.Second, manifest(version))
		f.log.printf("operator: PUT manifest %d to %s: %d %.60s", version, h.name, code, text)
		if code == 200 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// addMinions starts the minions and their pings.
func (f *fleet) addMinions(cpu, gpus int64) error {
	for z := range f.shape.zones {
		for i := range f.shape.minionsPerZone {
			m, err := newMinion(fmt.Sprintf("i-%s-%d", f.zone(z), i+1), f.zone(z), cpu, gpus, f.log)
			if err != nil {
				return err
			}
			f.minions = append(f.minions, m)
			go f.pingForever(m)
		}
	}
	return nil
}

// pingForever sends a minion's pings to control hosts. When one does not acknowledge a
// ping within a second, the next one gets it.
func (f *fleet) pingForever(m *minion) {
	controls := f.controls()
	next := rand.IntN(len(controls))
	for f.ctx.Err() == nil {
		for range controls {
			code, _ := call("PUT", f.controlURL(controls[next%len(controls)], "/-/instances/"+m.id), "", time.Second, m.ping())
			if code >= 200 && code < 300 {
				break
			}
			next++
		}
		time.Sleep(heartbeatMS*time.Millisecond - 100*time.Millisecond + rand.N(200*time.Millisecond))
	}
}

var lastJob atomic.Uint64

// newJobID returns an ID of 16 hexadecimal digits.
func newJobID() string {
	return fmt.Sprintf("%08x%08x", rand.Uint32(), lastJob.Add(1))
}

// step is one step of a job. Fields whose value is 0 or empty are omitted.
type step struct {
	Count      int   `json:"count"`
	CPU        int64 `json:"cpu,omitempty"`
	MemMB      int64 `json:"mem_mb,omitempty"`
	GPUs       int64 `json:"gpus,omitempty"`
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	After      []int `json:"after,omitempty"`
}

func jobBody(workMS int, steps []step) []byte {
	return mustJSON(map[string]any{"task_spec": string(mustJSON(workSpec{workMS})), "best_effort": true, "steps": steps})
}

// submit sends a job to an entry host and waits for the answer.
func (f *fleet) submit(h *host, id string, wait time.Duration, body []byte) (int, string) {
	return f.submitUntil(context.Background(), h, id, wait, body)
}

// submitUntil is submit that breaks the connection when ctx ends.
func (f *fleet) submitUntil(ctx context.Context, h *host, id string, wait time.Duration, body []byte) (int, string) {
	f.log.printf("client: POST %s to %s", id, h.name)
	code, text := callUntil(ctx, "POST", f.jobURL(h, id), routeHost, wait, body)
	f.log.printf("client: POST %s to %s answered: %d %.80s", id, h.name, code, text)
	return code, text
}

func (f *fleet) jobURL(h *host, id string) string {
	return fmt.Sprintf("http://%s:%d%s%s", h.ip, callerPort, routePrefix, id)
}

// awaitService sends small jobs to every entry host until each completes one.
func (f *fleet) awaitService(limit time.Duration, body func() []byte) bool {
	end := time.Now().Add(limit)
	for _, h := range f.entries("") {
		for {
			if code, _ := f.submit(h, newJobID(), 3*time.Second, body()); code == 200 {
				break
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return true
}
