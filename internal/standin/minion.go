// Package standin implements a small minion for tests, the demo and benchmarks. It
// speaks the published minion protocol and counts the starts of each task. The
// payload of a task can make the task sleep or fail.
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
	heartbeatInterval = time.Second
	requestTimeout    = time.Second
	idleTimeout       = 60 * time.Second
)

// Delays are delays added to every task, to simulate a slow minion.
type Delays struct {
	BeforeRun  time.Duration // between the arrival of the request and the run
	DuringRun  time.Duration // during the run
	AfterRun   time.Duration // between the run and the response
	OmitTiming bool          // omit the Server-Timing header
}

// Minion is a stand-in for a backend server.
type Minion struct {
	// Delays must be set before Run is called.
	Delays       Delays
	announcement minion.Announcement
	hosts        []string // addresses of the minion listeners of entry hosts
	http         http.Client
	server       *server.Hertz

	mu          sync.Mutex
	leaving     bool
	running     map[string]chan struct{} // by task identity (backend.HeaderTask); the channel is closed to cancel the task
	startCounts map[string]int           // number of starts by task identity
}

// New returns a stand-in that listens on l. While it runs, it announces itself to
// the first of hosts that answers. If the announcement has no address, that of l is
// announced.
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
		startCounts:  make(map[string]int),
	}
	m.server = server.New(
		server.WithListener(l),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
	)
	m.server.POST(backend.PathTasks, m.handleTask)
	m.server.POST(backend.PathCancel, m.handleCancel)
	return m
}

// Run serves tasks and renews the minion's lease until ctx is done. It then
// refuses new tasks, reports to an entry host that it is leaving, waits for the
// tasks in progress and stops the server.
func (m *Minion) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { _ = m.server.Run() }) // returns after Shutdown
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
	ticker := time.NewTicker(heartbeatInterval)
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

// post sends v as JSON to the hosts in turn until one answers, and returns the
// code of that answer.
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

// Starts returns the number of starts by task identity.
func (m *Minion) Starts() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int, len(m.startCounts))
	for k, n := range m.startCounts {
		out[k] = n
	}
	return out
}

// tryStart takes a slot for the task. ok is false if the minion is leaving, has no
// free slot or already runs the task. cancelled is closed when the task is to be
// cancelled.
func (m *Minion) tryStart(identity string) (cancelled chan struct{}, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || len(m.running) >= m.announcement.Slots || m.running[identity] != nil {
		return nil, false
	}
	cancelled = make(chan struct{})
	m.running[identity] = cancelled
	m.startCounts[identity]++
	return cancelled, true
}

func (m *Minion) finish(identity string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, identity)
}

func (m *Minion) handleTask(_ context.Context, c *app.RequestContext) {
	arrived := time.Now()
	identity := string(c.GetHeader(backend.HeaderTask))
	c.Response.Header.Set(backend.HeaderTask, identity)
	cancelled, ok := m.tryStart(identity)
	if !ok {
		c.Response.Header.Set(backend.HeaderOutcome, backend.OutcomeNotStarted)
		c.String(http.StatusServiceUnavailable, "no free slot")
		return
	}
	defer m.finish(identity)
	sleep(m.Delays.BeforeRun)
	runStart := time.Now()
	sleep(m.Delays.DuringRun)
	body, done := runPayload(string(c.Request.Body()), cancelled)
	run := time.Since(runStart)
	sleep(m.Delays.AfterRun)
	if !m.Delays.OmitTiming {
		c.Response.Header.Set(backend.HeaderTiming, serverTiming(run, time.Since(arrived)))
	}
	outcome := backend.OutcomeDone
	if !done {
		outcome = backend.OutcomeFailed
	}
	c.Response.Header.Set(backend.HeaderOutcome, outcome)
	c.String(http.StatusOK, body)
}

func sleep(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}

// serverTiming returns the value of the Server-Timing header.
func serverTiming(run, total time.Duration) string {
	b := append(make([]byte, 0, 48), "run;dur="...)
	b = appendMillis(b, run)
	b = append(b, ", total;dur="...)
	return string(appendMillis(b, total))
}

func appendMillis(b []byte, d time.Duration) []byte {
	const digits = 3
	return strconv.AppendFloat(b, float64(d)/float64(time.Millisecond), 'f', digits, 64)
}

// runPayload executes a payload. It returns the response body and whether the task
// succeeded. "sleep DURATION" sleeps until the duration is over, or fails when the
// task is cancelled; "fail" fails; any other payload succeeds and is returned after
// the prefix "done ".
func runPayload(payload string, cancelled <-chan struct{}) (string, bool) {
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

func (m *Minion) handleCancel(_ context.Context, c *app.RequestContext) {
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
