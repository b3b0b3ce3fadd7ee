package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// runningOf returns a job's tasks that run on the minions.
func runningOf(minions []*minion, job string) []string {
	var out []string
	for _, m := range minions {
		m.mu.Lock()
		for task := range m.running {
			if strings.HasPrefix(task, job+".") {
				out = append(out, task+" on "+m.id)
			}
		}
		m.mu.Unlock()
	}
	return out
}

// cancelled: a client cancels its job with DELETE while the job runs. Nothing is disrupted.
func cancelled(rec *record, trouble bool) (string, error) {
	const (
		taskTime    = 9 * time.Second
		cancelTime  = 3 * time.Second       // cancel_ms
		stopTime    = 50 * time.Millisecond // stop_timeout_ms
		checkMargin = time.Second
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
	for i := range 2 {
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
	var all []*minion
	for i := range 4 {
		m, err := startMinion(f, obs, fmt.Sprintf("i-%02d", i), "z1", taskTime, controls)
		if err != nil {
			return "", err
		}
		defer m.close()
		all = append(all, m)
	}
	time.Sleep(8 * time.Second)
	const job = "5c0e7a21d94b36f8"
	body := fmt.Appendf(nil, `{"task_spec":"spec","best_effort":true,"steps":[{"count":4,"cpu":27000,"mem_mb":64,"estimate_ms":%d}]}`, taskTime.Milliseconds())
	path := routePrefix + job
	url := func(h *host) string { return "http://" + f.address(h.ip, f.ports.caller) + path }
	answered := make(chan string, 1)
	go func() {
		status, answer, err := call(newHTTPClient(), 25*time.Second, http.MethodPost, url(entries[0]), routeHost, map[string]string{"X-Deadline-Ms": "20000"}, body)
		rec.printf("client: POST %s: status %d %s, error %v", path, status, answer, err)
		answered <- fmt.Sprint(status, " ", string(answer))
	}()
	time.Sleep(2 * time.Second)
	if n := len(runningOf(all, job)); n != 4 {
		return "", fmt.Errorf("%d tasks of the job run, want 4", n)
	}
	if !trouble {
		if a := <-answered; a != `200 {"state":"complete"}` {
			return "", fmt.Errorf("the job was answered %q", a)
		}
		return "", nil
	}
	status, _, err := call(newHTTPClient(), 4*time.Second, http.MethodDelete, url(entries[0]), routeHost, nil, nil)
	rec.printf("client: DELETE %s: status %d, error %v", path, status, err)
	if err != nil || status != http.StatusGone && status/100 != 2 {
		return "", fmt.Errorf("the cancel was not acknowledged: status %d, error %v", status, err)
	}
	time.Sleep(cancelTime + stopTime + checkMargin)
	if left := runningOf(all, job); len(left) > 0 {
		rec.printf("running %v after the ack of the cancel: %v", cancelTime+stopTime+checkMargin, left)
		return fmt.Sprintf("UNASKED: %d tasks run on %v after the cancel was acknowledged with %d", len(left), cancelTime+stopTime+checkMargin, status), nil
	}
	return "", nil
}
