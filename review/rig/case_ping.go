package main

import (
	"errors"
	"fmt"
	"time"
)

// copiedPing: another writer sends a ping under a minion's id, with a number above the
// minion's and a field of another type. Then the minion drains.
func copiedPing(rec *record, trouble bool) (string, error) {
	const (
		taskTime  = 200 * time.Millisecond
		interval  = 80 * time.Millisecond // between two jobs
		drainTime = 2 * time.Second       // drain_ms
		margin    = 300 * time.Millisecond
		ahead     = 1000 // how far the number of the other writer is ahead
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
	time.Sleep(10 * time.Second)
	leaving := all[0]
	c := &callers{f: f, client: newHTTPClient(), timeLimit: 1500 * time.Millisecond, answers: make(map[string]int)}
	if served := c.load(entries, 25, interval); served == 0 {
		return "", errors.New("no request was served")
	}
	if trouble {
		leaving.mu.Lock()
		body := leaving.pingBody(leaving.seq+ahead, "ready", `"eight"`)
		leaving.mu.Unlock()
		for _, h := range controls {
			acked := leaving.sendPing(newHTTPClient(), h, body)
			rec.printf("another writer: PUT /-/instances/%s to %s: %s: acknowledged %v", leaving.id, h.ip, body, acked)
		}
	}
	time.Sleep(time.Second)
	leaving.drain()
	c.load(entries, 125, interval)
	rec.printf("answers: %v", c.answers)
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	if leaving.drainAckAt.IsZero() {
		return "", errors.New("the minion's draining was not acknowledged")
	}
	late := 0
	var last time.Duration
	for _, at := range leaving.startedAt {
		if since := at.Sub(leaving.drainAckAt); since > drainTime+margin {
			late++
			last = since
		}
	}
	rec.printf("%d starts on %s later than %v after the ack of its draining", late, leaving.id, drainTime+margin)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d tasks were started on %s later than %v after its draining was acknowledged, the last one after %v", late, leaving.id, drainTime+margin, last.Round(time.Millisecond)), nil
	}
	return "", nil
}
