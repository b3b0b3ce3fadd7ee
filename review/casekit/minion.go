package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the deployment that the stand-ins keep to, in milliseconds.
const (
	holdMaxMS     = 1000 // longest lease
	stopMS        = 20   // time that a stopped run takes to end; at most stop_timeout_ms, 50
	heartbeatMS   = 1500
	cancelMS      = 3000
	stopTimeoutMS = 50
	resendMS      = 1300
)

// minion is a stand-in for a minion that follows PROTOCOL.md. Its tasks sleep for the
// time that their task_spec names.
type minion struct {
	id, zone, address string
	cpu, gpus         int64
	log               *record
	born              time.Time
	server            *http.Server

	mu      sync.Mutex
	token   uint64
	lease   int64
	seq     int
	running map[string]*taskRun
	highest map[string]int // by task: highest run that was stopped or has ended
	ended   [][]any
	count   uint64
	changed chan struct{}
}

type taskRun struct {
	run   int
	began time.Time
	work  time.Duration
	timer *time.Timer
}

// workSpec is the task_spec of the stand-ins' jobs.
type workSpec struct {
	WorkMS int `json:"work_ms"`
}

// order is the body of any order.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run_id"`
	Spec     string `json:"task_spec"`
	UntilMS  int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// newMinion starts a minion on a free port of 127.0.0.1.
func newMinion(id, zone string, cpu, gpus int64, log *record) (*minion, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &minion{
		id: id, zone: zone, address: l.Addr().String(), cpu: cpu, gpus: gpus, log: log, born: time.Now(),
		running: make(map[string]*taskRun), highest: make(map[string]int), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", m.handle(m.start))
	mux.HandleFunc("POST /-/run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /-/hold", m.handle(m.hold))
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = m.server.Serve(l) }() // returns when the server is closed
	go m.expire()
	return m, nil
}

// clock returns the minion's steady clock in milliseconds.
func (m *minion) clock() int64 { return 1 + time.Since(m.born).Milliseconds() }

// ping returns the body of the next ping.
func (m *minion) ping() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	return mustJSON(map[string]any{
		"service": serviceName, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": 131072, "gpus": m.gpus}, "labels": []string{"a", "r1-1"},
		"clock_ms": m.clock(), "seq": m.seq, "born": m.born.UnixMilli(),
	})
}

// expire ends all runs when the lease has ended.
func (m *minion) expire() {
	for range time.Tick(5 * time.Millisecond) {
		m.mu.Lock()
		if m.clock() > m.lease {
			for task, x := range m.running {
				m.end(task, x, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// handle decodes an order, checks its target and epoch number, and answers it.
func (m *minion) handle(f func(*order) (reason string, body map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Target-Instance") != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		m.mu.Lock()
		reason, body := "fence", map[string]any{}
		if o.Token >= m.token {
			m.token = o.Token
			m.lease = max(m.lease, min(o.UntilMS, m.clock()+holdMaxMS))
			reason, body = f(&o)
		}
		if body == nil {
			body = map[string]any{}
		}
		body["clock_ms"], body["born"] = m.clock(), m.born.UnixMilli()
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		if reason != "" {
			body["reason"] = reason
			w.WriteHeader(http.StatusConflict)
		}
		_, _ = w.Write(mustJSON(body)) // the caller may be gone
	}
}

func (m *minion) start(o *order) (string, map[string]any) {
	x := m.running[o.Task]
	switch {
	case x != nil && x.run == o.Run:
		return "", nil
	case x != nil || m.highest[o.Task] >= o.Run:
		return "old", nil
	case m.clock() > o.UntilMS:
		return "late", nil
	}
	var w workSpec
	_ = json.Unmarshal([]byte(o.Spec), &w) // a task without work ends at once
	x = &taskRun{run: o.Run, began: time.Now(), work: time.Duration(w.WorkMS) * time.Millisecond}
	m.running[o.Task] = x
	m.log.runBegan(m.id, o.Task, o.Run)
	x.timer = time.AfterFunc(x.work, func() { m.endLocked(o.Task, x, "done") })
	return "", nil
}

func (m *minion) stop(o *order) (string, map[string]any) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if x := m.running[o.Task]; x != nil && x.run <= o.Run {
		x.timer.Stop()
		time.AfterFunc(stopMS*time.Millisecond, func() { m.endLocked(o.Task, x, "stopped") })
	}
	return "", nil
}

// hold is called with m.mu held. It releases m.mu while it waits for an end.
func (m *minion) hold(o *order) (string, map[string]any) {
	for len(m.ended) > 0 && m.ended[0][0].(uint64) <= o.LastSeen {
		m.ended = m.ended[1:]
	}
	if len(m.ended) == 0 && o.WaitMS > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
		m.mu.Lock()
	}
	running := [][]any{}
	for task, x := range m.running {
		percent := 99
		if x.work > 0 {
			percent = min(99, int(100*time.Since(x.began)/x.work))
		}
		running = append(running, []any{task, x.run, "", percent, 0})
	}
	ended := append([][]any{}, m.ended[:min(500, len(m.ended))]...)
	return "", map[string]any{"running": running, "ended": ended}
}

func (m *minion) endLocked(task string, x *taskRun, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.end(task, x, how)
}

// end ends a run that has not ended yet.
func (m *minion) end(task string, x *taskRun, how string) {
	if m.running[task] != x {
		return
	}
	x.timer.Stop()
	delete(m.running, task)
	m.highest[task] = max(m.highest[task], x.run)
	m.count++
	m.ended = append(m.ended, []any{m.count, task, x.run, how, ""})
	m.log.runEnded(m.id, task, x.run, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprint("a stand-in's message can't be encoded: ", err))
	}
	return b
}
