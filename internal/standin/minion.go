// Package standin is a small minion for tests, the demo and benchmarks. It
// speaks the published protocol, keeps count of every start and can be told to
// fail, stall or crash a task by its payload.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/backend"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/pkg/errors"
)

const (
	heartbeatEvery = time.Second
	requestTimeout = time.Second
	idleTimeout    = 60 * time.Second
)

// Delays are added to every task.
type Delays struct {
	Before     time.Duration // between the request's arrival and the run
	Run        time.Duration // in the run
	After      time.Duration // between the run and the answer
	Unreported bool          // leave out Server-Timing
}

// Minion is a running stand-in.
type Minion struct {
	// Delays is set before Run.
	Delays       Delays
	announcement minion.Announcement
	hosts        []string // minion listeners of the entry hosts
	http         http.Client
	server       *server.Hertz

	mu      sync.Mutex
	leaving bool
	running map[string]chan struct{} // closed to cancel
	starts  map[string]int           // by task identity
}

// New returns a stand-in that listens on l and announces itself to hosts, under
// the address of l when the announcement has none.
func New(a minion.Announcement, l net.Listener, hosts []string) *Minion {
	if a.Address == "" {
		a.Address = l.Addr().String()
	}
	a.Generation = uint64(time.Now().UnixNano())
	m := &Minion{
		announcement: a,
		hosts:        hosts,
		http:         http.Client{Timeout: requestTimeout},
		running:      make(map[string]chan struct{}),
		starts:       make(map[string]int),
	}
	m.server = server.New(
		server.WithListener(l),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
	)
	m.server.POST(backend.PathTasks, m.task)
	m.server.POST(backend.PathCancel, m.cancel)
	return m
}

// Run serves and keeps the lease until ctx ends, then leaves: it refuses new
// tasks and finishes those in progress.
func (m *Minion) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { _ = m.server.Run() }) // ends by Shutdown
	m.keepLease(ctx)
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	_, _ = m.post("/v1/minions/leave", api.HeartbeatRequest{Name: m.announcement.Name, Generation: m.announcement.Generation})
	m.waitIdle()
	stop, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	err := m.server.Shutdown(stop)
	wg.Wait()
	return errors.WithStack(err)
}

func (m *Minion) keepLease(ctx context.Context) {
	announced := false
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		if announced {
			code, err := m.post("/v1/minions/heartbeat", api.HeartbeatRequest{Name: m.announcement.Name, Generation: m.announcement.Generation})
			announced = err == nil && code != result.MinionUnknown
		}
		if !announced {
			code, err := m.post("/v1/minions", m.announcement)
			announced = err == nil && code == result.OK
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// post sends v to the first host that answers.
func (m *Minion) post(path string, v any) (result.Code, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	for _, host := range m.hosts {
		resp, postErr := m.http.Post("http://"+host+path, "application/json", bytes.NewReader(body))
		if postErr != nil {
			err = postErr
			continue
		}
		var r api.LeaseResponse
		err = json.NewDecoder(resp.Body).Decode(&r)
		resp.Body.Close()
		if err == nil {
			return r.Code, nil
		}
	}
	return 0, errors.Wrap(err, "no host answered")
}

func (m *Minion) waitIdle() {
	for {
		m.mu.Lock()
		n := len(m.running)
		m.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Starts returns how often each task identity was started.
func (m *Minion) Starts() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int, len(m.starts))
	for k, n := range m.starts {
		out[k] = n
	}
	return out
}

// begin takes a slot for the task; ok is false when it was not started.
func (m *Minion) begin(identity string) (cancelled chan struct{}, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || len(m.running) >= m.announcement.Slots || m.running[identity] != nil {
		return nil, false
	}
	cancelled = make(chan struct{})
	m.running[identity] = cancelled
	m.starts[identity]++
	return cancelled, true
}

func (m *Minion) end(identity string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, identity)
}

func (m *Minion) task(_ context.Context, c *app.RequestContext) {
	arrived := time.Now()
	identity := string(c.GetHeader(backend.HeaderTask))
	c.Response.Header.Set(backend.HeaderTask, identity)
	cancelled, ok := m.begin(identity)
	if !ok {
		c.Response.Header.Set(backend.HeaderOutcome, backend.OutcomeNotStarted)
		c.String(http.StatusServiceUnavailable, "no free slot")
		return
	}
	defer m.end(identity)
	pause(m.Delays.Before)
	begin := time.Now()
	pause(m.Delays.Run)
	body, done := work(string(c.Request.Body()), cancelled)
	run := time.Since(begin)
	pause(m.Delays.After)
	if !m.Delays.Unreported {
		c.Response.Header.Set(backend.HeaderTiming, timing(run, time.Since(arrived)))
	}
	outcome := backend.OutcomeDone
	if !done {
		outcome = backend.OutcomeFailed
	}
	c.Response.Header.Set(backend.HeaderOutcome, outcome)
	c.String(http.StatusOK, body)
}

func pause(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}

// timing returns a Server-Timing header.
func timing(run, total time.Duration) string {
	b := append(make([]byte, 0, 48), "run;dur="...)
	b = appendMillis(b, run)
	b = append(b, ", total;dur="...)
	return string(appendMillis(b, total))
}

func appendMillis(b []byte, d time.Duration) []byte {
	const digits = 3
	return strconv.AppendFloat(b, float64(d)/float64(time.Millisecond), 'f', digits, 64)
}

// work carries out a payload: "sleep <duration>" waits, "fail" fails, anything
// else is returned with a prefix.
func work(payload string, cancelled <-chan struct{}) (string, bool) {
	verb, arg, _ := strings.Cut(payload, " ")
	switch verb {
	case "fail":
		return "told to fail", false
	case "sleep":
		d, err := time.ParseDuration(arg)
		if err != nil {
			return err.Error(), false
		}
		select {
		case <-time.After(d):
			return "slept " + arg, true
		case <-cancelled:
			return "cancelled", false
		}
	}
	return "done " + payload, true
}

func (m *Minion) cancel(_ context.Context, c *app.RequestContext) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ch := m.running[string(c.GetHeader(backend.HeaderTask))]; ch != nil {
		select {
		case <-ch:
		default:
			close(ch)
		}
	}
	c.String(http.StatusOK, "ok")
}
