package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits of minions, as the pages name them.
const (
	holdMax   = time.Second             // hold_max_ms
	heartbeat = 1500 * time.Millisecond // heartbeat_ms
	maxEnded  = 500                     // ends in one answer
)

// taskRun is a run on a minion, for the whole case.
type taskRun struct {
	minion, task string
	run          int
	begin, end   time.Time
	how          string
}

// observer collects the runs of all minions.
type observer struct {
	mu   sync.Mutex
	runs []*taskRun
}

// overlaps returns the pairs of runs of one task that were running at the same time.
func (o *observer) overlaps() [][2]*taskRun {
	o.mu.Lock()
	defer o.mu.Unlock()
	byTask := make(map[string][]*taskRun)
	var out [][2]*taskRun
	for _, r := range o.runs {
		for _, x := range byTask[r.task] {
			if x.begin.Before(r.end) && r.begin.Before(x.end) {
				out = append(out, [2]*taskRun{x, r})
			}
		}
		byTask[r.task] = append(byTask[r.task], r)
	}
	return out
}

// minion is a stand-in that runs tasks under leases as PROTOCOL.md says. Its tasks take a
// fixed time and never fail.
type minion struct {
	f        *fleet
	obs      *observer
	id       string
	domain   string
	address  string
	cpu      int64         // capacity, in thousandths of a core
	rack     string        // label of its rack
	duration time.Duration // of each task
	started  time.Time
	server   *http.Server
	stop     chan struct{}

	mu       sync.Mutex
	cut      chan struct{} // not nil: no machine reaches the minion until it is closed
	token    uint64
	leaseEnd int64 // on its clock, in ms
	running  map[string]*taskRun
	highest  map[string]int // by task: highest run that was stopped or has ended
	ended    [][]any
	ends     uint64
	changed  chan struct{} // closed at the next end
	most     int           // tasks that ran at a time
	seq      int           // of the newest ping
	draining bool
	pingNow  chan struct{} // makes it send a ping at once

	drainAckAt time.Time     // when its draining was acknowledged; zero: not yet
	startedAt  []time.Time   // of all runs
	holds      chan struct{} // gets a value with each hold that waits, if somebody waits for it
}

// startMinion starts a minion of the usual size at an address of its own.
func startMinion(f *fleet, obs *observer, id, domain string, duration time.Duration, controls []*host) (*minion, error) {
	l, err := net.Listen("tcp", f.net+".200:0")
	if err != nil {
		return nil, err
	}
	return serveMinion(f, obs, l, id, domain, "r1", 64_000, duration, controls), nil
}

// serveMinion starts a minion that listens on l.
func serveMinion(f *fleet, obs *observer, l net.Listener, id, domain, rack string, cpu int64, duration time.Duration, controls []*host) *minion {
	m := &minion{
		f: f, obs: obs, id: id, domain: domain, address: l.Addr().String(), cpu: cpu, rack: rack, duration: duration, started: time.Now(), stop: make(chan struct{}),
		running: make(map[string]*taskRun), highest: make(map[string]int), changed: make(chan struct{}), holds: make(chan struct{}), pingNow: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", m.serve(m.runStart))
	mux.HandleFunc("POST /-/run-stop", m.serve(m.runStop))
	mux.HandleFunc("POST /-/hold", m.serve(m.hold))
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(l) }() // returns when the listener is closed
	go m.expireLeases()
	go m.announce(controls)
	return m
}

// die ends the minion's pings and its runs, as a crash does. Its server is not closed.
func (m *minion) die() {
	close(m.stop)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.running {
		m.end(x, "crash")
	}
}

// awaitHold returns when a hold that waits for an end has arrived.
func (m *minion) awaitHold() { <-m.holds }

// mostTasks returns the largest number of tasks that ran at a time.
func (m *minion) mostTasks() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.most
}

func (m *minion) close() {
	close(m.stop)
	m.release()
	_ = m.server.Close() // nothing depends on its connections any more
}

// partition cuts the minion off from all machines: what they send is lost. It runs on.
func (m *minion) partition() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut == nil {
		m.cut = make(chan struct{})
	}
}

// release ends the partition.
func (m *minion) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut != nil {
		close(m.cut)
		m.cut = nil
	}
}

func (m *minion) partitioned() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

func (m *minion) clock() int64 { return 1000 + time.Since(m.started).Milliseconds() }

// order is the body of a call to the minion.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run_id"`
	Until    int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// serve decodes a call and answers it. A call that a partition holds up is lost, and so is
// an answer to it.
func (m *minion) serve(handle func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if cut := m.partitioned(); cut != nil {
			<-cut
			panic(http.ErrAbortHandler)
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Target-Instance") != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := handle(&o)
		if cut := m.partitioned(); cut != nil {
			<-cut
			panic(http.ErrAbortHandler)
		}
		body["clock_ms"] = m.clock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body) // the caller may have left
	}
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// fenced checks and keeps the fencing token. m.mu is held.
func (m *minion) fenced(token uint64) bool {
	if token < m.token {
		return true
	}
	m.token = token
	return false
}

// extend extends the lease of all runs. m.mu is held.
func (m *minion) extend(until int64) {
	m.leaseEnd = max(m.leaseEnd, min(until, m.clock()+holdMax.Milliseconds()))
}

func (m *minion) runStart(o *order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced(o.Token) {
		return refused("fence")
	}
	if x := m.running[o.Task]; x != nil && x.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	m.extend(o.Until)
	if o.Run <= m.highest[o.Task] {
		return refused("old")
	}
	if m.clock() > m.leaseEnd {
		return refused("late")
	}
	x := &taskRun{minion: m.id, task: o.Task, run: o.Run, begin: time.Now()}
	m.running[o.Task] = x
	m.most = max(m.most, len(m.running))
	m.startedAt = append(m.startedAt, x.begin)
	m.f.rec.printf("%s: task %s run %d begins", m.id, o.Task, o.Run)
	time.AfterFunc(m.duration, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.end(x, "done")
	})
	return http.StatusOK, map[string]any{}
}

func (m *minion) runStop(o *order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced(o.Token) {
		return refused("fence")
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if x := m.running[o.Task]; x != nil && x.run <= o.Run {
		m.end(x, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (m *minion) hold(o *order) (int, map[string]any) {
	m.mu.Lock()
	if m.fenced(o.Token) {
		defer m.mu.Unlock()
		return refused("fence")
	}
	m.extend(o.Until)
	for len(m.ended) > 0 && m.ended[0][0].(uint64) <= o.LastSeen {
		m.ended = m.ended[1:]
	}
	changed, pending := m.changed, len(m.ended) > 0
	m.mu.Unlock()
	if o.Wait > 0 && !pending {
		select {
		case m.holds <- struct{}{}:
		default:
		}
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	running := [][]any{}
	for _, x := range m.running {
		running = append(running, []any{x.task, x.run, "", 100 * float64(time.Since(x.begin)) / float64(m.duration), 0})
	}
	ended := append([][]any{}, m.ended[:min(len(m.ended), maxEnded)]...)
	return http.StatusOK, map[string]any{"born": m.started.UnixMilli(), "running": running, "ended": ended}
}

// end ends a run, if it has not ended yet. m.mu is held.
func (m *minion) end(x *taskRun, how string) {
	if m.running[x.task] != x {
		return
	}
	delete(m.running, x.task)
	x.end, x.how = time.Now(), how
	m.highest[x.task] = max(m.highest[x.task], x.run)
	m.ends++
	m.ended = append(m.ended, []any{m.ends, x.task, x.run, how, ""})
	close(m.changed)
	m.changed = make(chan struct{})
	m.f.rec.printf("%s: task %s run %d ends: %s", m.id, x.task, x.run, how)
	m.obs.mu.Lock()
	defer m.obs.mu.Unlock()
	m.obs.runs = append(m.obs.runs, x)
}

// expireLeases ends all runs once the lease has expired.
func (m *minion) expireLeases() {
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		m.mu.Lock()
		if m.clock() > m.leaseEnd {
			for _, x := range m.running {
				m.end(x, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// pingBody returns the body of a ping. slots is the text of that field.
func (m *minion) pingBody(seq int, state, slots string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%s,"state":%q,"cold_remaining_ms":0,"capacity":{"cpu":%d,"mem_mb":131072,"gpus":0},"labels":["a",%q],"clock_ms":%d,"seq":%d,"born":%d}`,
		serviceName, m.address, m.domain, slots, state, m.cpu, m.rack, m.clock(), seq, m.started.UnixMilli())
}

// sendPing sends a ping of the minion to a control host and reports whether it was
// acknowledged.
func (m *minion) sendPing(client *http.Client, h *host, body []byte) bool {
	status, _, err := call(client, time.Second, http.MethodPut, "http://"+m.f.address(h.ip, m.f.ports.control)+"/-/instances/"+m.id, "", nil, body)
	return err == nil && status == http.StatusOK
}

// announce sends the minion's pings until it is closed.
func (m *minion) announce(controls []*host) {
	client := newHTTPClient()
	for seq := 1; ; seq++ {
		m.mu.Lock()
		state := "ready"
		if m.draining {
			state = "draining"
		}
		m.seq = seq
		m.mu.Unlock()
		body := m.pingBody(seq, state, "8")
		for i := range controls {
			if m.partitioned() != nil {
				break
			}
			if m.sendPing(client, controls[(seq+i)%len(controls)], body) {
				m.acknowledged(state)
				break
			}
		}
		select {
		case <-m.stop:
			return
		case <-m.pingNow:
		case <-time.After(heartbeat):
		}
	}
}

// acknowledged notes when the first ping with the state draining was acknowledged.
func (m *minion) acknowledged(state string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state == "draining" && m.drainAckAt.IsZero() {
		m.drainAckAt = time.Now()
		m.f.rec.printf("%s: draining is acknowledged", m.id)
	}
}

// drain makes the minion report that it is draining, at once and with each later ping.
func (m *minion) drain() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.pingNow <- struct{}{}
}
