package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxEndsPerListing = 500
	maxLeaseMS        = 1000
	stopTime          = 50 * time.Millisecond
)

// minion is a stand-in for a back-end server that runs tasks under leases.
type minion struct {
	id      string
	zone    string
	service string
	labels  []string
	cpu     int64
	memMB   int64
	gpus    int64
	rate    float64 // of its clock, 0.98 to 1
	book    *book
	address string
	server  *http.Server

	mu       sync.Mutex
	state    string
	bootAt   time.Time
	born     int64
	boot     int // counted from 1; 0 while it is down
	seq      int
	token    uint64
	leaseEnd int64
	running  map[string]*run
	highest  map[string]int // by task: highest run that has ended or was stopped here
	ended    [][]any
	endCount uint64
	changed  chan struct{}
}

type run struct {
	task    string
	number  int
	begun   time.Time
	lasts   time.Duration
	timer   *time.Timer
	entry   *runEntry
	stopped bool
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run_id"`
	Spec     string `json:"task_spec"`
	Until    int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

func newMinion(b *book, ip, id, zone string) (*minion, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	m := &minion{
		id: id, zone: zone, service: "svc", labels: []string{"a", "r1"}, cpu: 64_000, memMB: 131_072, rate: 1, book: b, address: l.Addr().String(), state: "ready",
	}
	m.bootLocked()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", m.handle(m.startLocked))
	mux.HandleFunc("POST /-/run-stop", m.handle(m.stopLocked))
	mux.HandleFunc("POST /-/hold", m.hold)
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(l) }()
	go m.expire()
	return m, nil
}

func (m *minion) bootLocked() {
	m.bootAt, m.born = time.Now(), time.Now().UnixMilli()
	m.boot++
	m.seq, m.token, m.leaseEnd, m.endCount, m.ended = 0, 0, 0, 0, nil
	m.running, m.highest = make(map[string]*run), make(map[string]int)
	m.changed = make(chan struct{})
}

func (m *minion) clockLocked() int64 {
	return 1000 + int64(float64(time.Since(m.bootAt).Milliseconds())*m.rate)
}

func (m *minion) expire() {
	for range time.Tick(5 * time.Millisecond) {
		m.mu.Lock()
		if len(m.running) > 0 && m.clockLocked() > m.leaseEnd {
			for _, x := range m.running {
				x.timer.Stop()
				m.endLocked(x, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) announcement() (path, body string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	b, _ := json.Marshal(map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state, "cold_remaining_ms": 0,
		"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": m.memMB, "gpus": m.gpus}, "labels": m.labels, "clock_ms": m.clockLocked(), "seq": m.seq, "born": m.born,
	})
	return "/-/instances/" + m.id, string(b)
}

// guardLocked checks an order's token and takes over its lease.
func (m *minion) guardLocked(o *order) string {
	if o.Token < m.token {
		return "fence"
	}
	m.token = o.Token
	return ""
}

func (m *minion) leaseLocked(until int64) {
	m.leaseEnd = max(m.leaseEnd, min(until, m.clockLocked()+maxLeaseMS))
}

func (m *minion) reply(w http.ResponseWriter, reason string, more map[string]any) {
	m.mu.Lock()
	body := map[string]any{"clock_ms": m.clockLocked(), "born": m.born}
	m.mu.Unlock()
	for k, v := range more {
		body[k] = v
	}
	w.Header().Set("Content-Type", "application/json")
	if reason != "" {
		body["reason"] = reason
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(body)
}

// decode reads an order. It returns false if it is not for this minion or can't be read.
func (m *minion) decode(w http.ResponseWriter, r *http.Request, o *order) bool {
	if r.Header.Get("X-Target-Instance") != m.id {
		w.WriteHeader(421)
		return false
	}
	if json.NewDecoder(r.Body).Decode(o) != nil {
		w.WriteHeader(400)
		return false
	}
	return true
}

func (m *minion) handle(apply func(*order) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if !m.decode(w, r, &o) {
			return
		}
		m.mu.Lock()
		reason := apply(&o)
		m.mu.Unlock()
		m.reply(w, reason, nil)
	}
}

func (m *minion) startLocked(o *order) string {
	if reason := m.guardLocked(o); reason != "" {
		return reason
	}
	if x := m.running[o.Task]; x != nil && x.number == o.Run {
		m.leaseLocked(o.Until)
		return ""
	}
	if m.highest[o.Task] >= o.Run || m.running[o.Task] != nil && m.running[o.Task].number > o.Run {
		m.leaseLocked(o.Until)
		return "old"
	}
	if m.clockLocked() > o.Until {
		return "late"
	}
	m.leaseLocked(o.Until)
	entry, lasts := m.book.started(m, o)
	x := &run{task: o.Task, number: o.Run, begun: time.Now(), lasts: lasts, entry: entry}
	m.running[o.Task] = x
	x.timer = time.AfterFunc(lasts, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.running[o.Task] == x {
			m.endLocked(x, "done")
		}
	})
	return ""
}

func (m *minion) stopLocked(o *order) string {
	if reason := m.guardLocked(o); reason != "" {
		return reason
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if x := m.running[o.Task]; x != nil && x.number <= o.Run && !x.stopped {
		x.stopped = true
		time.AfterFunc(stopTime-10*time.Millisecond, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.running[o.Task] == x {
				x.timer.Stop()
				m.endLocked(x, "stopped")
			}
		})
	}
	return ""
}

func (m *minion) endLocked(x *run, how string) {
	delete(m.running, x.task)
	m.highest[x.task] = max(m.highest[x.task], x.number)
	m.endCount++
	m.ended = append(m.ended, []any{m.endCount, x.task, x.number, how, ""})
	m.book.ended(x.entry, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	touch := func(o *order) string {
		if reason := m.guardLocked(o); reason != "" {
			return reason
		}
		m.leaseLocked(o.Until)
		for len(m.ended) > 0 && m.ended[0][0].(uint64) <= o.LastSeen {
			m.ended = m.ended[1:]
		}
		return ""
	}
	if !m.decode(w, r, &o) {
		return
	}
	m.mu.Lock()
	reason := touch(&o)
	changed, wait := m.changed, len(m.ended) == 0
	m.mu.Unlock()
	if reason != "" {
		m.reply(w, reason, nil)
		return
	}
	if wait && o.WaitMS > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
	}
	m.mu.Lock()
	running := [][]any{}
	for _, x := range m.running {
		percent := min(99, 100*float64(time.Since(x.begun))/float64(x.lasts))
		running = append(running, []any{x.task, x.number, "", int(percent), 0})
	}
	ended := append([][]any{}, m.ended[:min(len(m.ended), maxEndsPerListing)]...)
	more := map[string]any{"clock_ms": m.clockLocked(), "born": m.born, "running": running, "ended": ended}
	m.mu.Unlock()
	m.reply(w, "", more)
}

// book records what was sent, run and answered, and what broke a rule.
type book struct {
	mu     sync.Mutex
	begun  time.Time
	lines  []string
	jobs   map[string]*jobEntry
	runs   map[string][]*runEntry // by task: those at work
	broken []string
}

type jobEntry struct {
	id      string
	spec    string
	steps   []step
	lasts   time.Duration
	done    map[string]bool
	starts  int
	answers []string
	sentAt  time.Time
	host    string // of the route; empty: the usual one
	prefix  string // of the route; empty: /q/
	// noStartsAfter is the time after which no task may start any more, since the job was cancelled.
	noStartsAfter time.Time
}

type step struct {
	Count  int    `json:"count"`
	CPU    int64  `json:"cpu,omitempty"`
	MemMB  int64  `json:"mem_mb,omitempty"`
	GPUs   int64  `json:"gpus,omitempty"`
	EstMS  int64  `json:"estimate_ms,omitempty"`
	After  []int  `json:"after,omitempty"`
	Label  string `json:"constraints,omitempty"`
	Rack   string `json:"affinity,omitempty"`
	AtMost int    `json:"anti_affinity,omitempty"`
}

type runEntry struct {
	job  *jobEntry
	step int
	task string
	on   *minion
	boot int
	num  int
}

func newBook() *book {
	return &book{begun: time.Now(), jobs: make(map[string]*jobEntry), runs: make(map[string][]*runEntry)}
}

func (b *book) noteLocked(format string, args ...any) {
	b.lines = append(b.lines, fmt.Sprintf("%8.3f ", time.Since(b.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (b *book) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteLocked(format, args...)
}

func (b *book) breakLocked(format string, args ...any) {
	b.noteLocked("BROKEN "+format, args...)
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

// started records and checks a start on the minion, whose lock is held.
func (b *book) started(m *minion, o *order) (*runEntry, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	parts := strings.Split(o.Task, ".")
	j := b.jobs[parts[0]]
	e := &runEntry{job: j, task: o.Task, on: m, boot: m.boot, num: o.Run}
	b.noteLocked("start %s run %d on %s token %d until %d", o.Task, o.Run, m.id, o.Token, o.Until)
	if j == nil || j.spec != o.Spec {
		b.breakLocked("UNASKED %s on %s", o.Task, m.id)
		return e, 100 * time.Millisecond
	}
	j.starts++
	var index int
	_, _ = fmt.Sscanf(parts[2]+" "+parts[3], "%d %d", &e.step, &index)
	s := &j.steps[e.step]
	for _, other := range b.runs[o.Task] {
		b.breakLocked("TWICE %s run %d on %s beside run %d on %s", o.Task, o.Run, m.id, other.num, other.on.id)
	}
	b.runs[o.Task] = append(b.runs[o.Task], e)
	var cpu, mem, gpus int64
	beside := 0
	for task, list := range b.runs {
		for _, x := range list {
			if x.on != m || x.job == nil {
				continue
			}
			y := &x.job.steps[x.step]
			cpu, mem, gpus = cpu+y.CPU, mem+y.MemMB, gpus+y.GPUs
			if x.job == j && x.step == e.step && task != o.Task {
				beside++
			}
		}
	}
	if cpu > m.cpu || mem > m.memMB || gpus > m.gpus {
		b.breakLocked("LIMIT %s: cpu %d of %d, memory %d of %d, gpus %d of %d", m.id, cpu, m.cpu, mem, m.memMB, gpus, m.gpus)
	}
	if s.AtMost > 0 && beside+1 > s.AtMost {
		b.breakLocked("ROUTE %d tasks of %s step %d on %s, at most %d", beside+1, j.id, e.step, m.id, s.AtMost)
	}
	if s.Label != "" && !has(m.labels, s.Label) {
		b.breakLocked("ROUTE %s without label %s on %s", o.Task, s.Label, m.id)
	}
	for _, a := range s.After {
		for i := range j.steps[a].Count {
			if name := fmt.Sprintf("%s.0.%d.%d", j.id, a, i); !j.done[name] {
				b.breakLocked("ORDER %s before %s is done", o.Task, name)
			}
		}
	}
	if !j.noStartsAfter.IsZero() && time.Now().After(j.noStartsAfter) {
		b.breakLocked("UNASKED %s starts %v after its job's cancelling had to be in effect", o.Task, time.Since(j.noStartsAfter))
	}
	if j.refusedOnly() {
		b.breakLocked("REFUSED %s starts after all tries of its job were rejected", o.Task)
	}
	return e, j.lasts
}

func (j *jobEntry) refusedOnly() bool {
	if len(j.answers) == 0 {
		return false
	}
	for _, a := range j.answers {
		if a != "503" && a != "429" {
			return false
		}
	}
	return true
}

func has(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (b *book) ended(e *runEntry, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteLocked("end %s run %d on %s: %s", e.task, e.num, e.on.id, how)
	list := b.runs[e.task][:0]
	for _, x := range b.runs[e.task] {
		if x != e {
			list = append(list, x)
		}
	}
	b.runs[e.task] = list
	if len(list) == 0 {
		delete(b.runs, e.task)
	}
	if how == "done" && e.job != nil {
		e.job.done[e.task] = true
	}
}

// answered records the answer to one try of a job.
func (b *book) answered(j *jobEntry, answer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteLocked("answer %s: %s", j.id, answer)
	j.answers = append(j.answers, answer)
	if answer == "complete" {
		for i, s := range j.steps {
			for k := range s.Count {
				if name := fmt.Sprintf("%s.0.%d.%d", j.id, i, k); !j.done[name] {
					b.breakLocked("MIXED %s is complete, but %s is not done", j.id, name)
				}
			}
		}
	}
	if j.refusedOnly() && j.starts > 0 {
		b.breakLocked("REFUSED %s: all tries were rejected, and %d starts were made", j.id, j.starts)
	}
}
