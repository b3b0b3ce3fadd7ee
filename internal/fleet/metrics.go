package fleet

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/eventlog"
)

// metrics are the counters and gauges of one host; docs/OPERATIONS.md lists
// them with their units.
type metrics struct {
	jobs       expvar.Map // answered here, by queue, outcome and reason
	openJobs   expvar.Int // of callers connected here
	dispatched expvar.Int // jobs that this host dispatches
	queued     expvar.Int // of these, without a start
	claims     expvar.Int // shards
	capacity   expvar.Int // thousandths of a processor on minions that take work
	free       expvar.Int // of these, not in use
	hosts      expvar.Int // other hosts that are listed

	mu    sync.Mutex
	times map[string]*hdrhistogram.Histogram // answer times in microseconds, by outcome
}

const (
	longestAnswer = int64(60 * time.Second / time.Microsecond)
	timeDigits    = 2 // significant digits of answer times
)

func newMetrics() *metrics {
	m := &metrics{times: make(map[string]*hdrhistogram.Histogram)}
	m.jobs.Init()
	return m
}

// answered counts an answer to a caller.
func (m *metrics) answered(queue string, o *entry.Outcome, took time.Duration) {
	outcome := strconv.Itoa(int(o.Outcome))
	m.jobs.Add(queue+"/"+outcome+"/"+o.Reason, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.times[outcome]
	if h == nil {
		h = hdrhistogram.New(1, longestAnswer, timeDigits)
		m.times[outcome] = h
	}
	_ = h.RecordValue(min(took.Microseconds(), longestAnswer)) // in range
}

// quantiles are those of answer times that are published.
var quantiles = []float64{50, 90, 99, 99.9}

func (m *metrics) answerTimes() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]map[string]int64)
	for outcome, h := range m.times {
		row := map[string]int64{"count": h.TotalCount(), "max": h.Max()}
		for _, q := range quantiles {
			row["p"+strconv.FormatFloat(q, 'f', -1, 64)] = h.ValueAtQuantile(q)
		}
		out[outcome] = row
	}
	return out
}

// PublishMetrics publishes the host's metrics under the expvar name
// "laburnum". It is called once in a process.
func (h *Host) PublishMetrics(events *eventlog.Log) {
	v := new(expvar.Map).Init()
	m := h.metrics
	v.Set("events_by_number", events.Counts())
	v.Set("log_lines_dropped", expvar.Func(func() any { return events.Dropped() }))
	v.Set("jobs_by_queue_outcome_reason", &m.jobs)
	v.Set("answer_time_us_by_outcome", expvar.Func(m.answerTimes))
	v.Set("open_jobs", &m.openJobs)
	v.Set("dispatched_jobs", &m.dispatched)
	v.Set("queued_jobs", &m.queued)
	v.Set("claimed_shards", &m.claims)
	v.Set("minion_cpu_milli", &m.capacity)
	v.Set("minion_cpu_free_milli", &m.free)
	v.Set("hosts_listed", &m.hosts)
	v.Set("document_version", expvar.Func(func() any { return h.control.View().Version }))
	v.Set("document_age_ms", expvar.Func(func() any { return time.Since(h.control.View().Since).Milliseconds() }))
	v.Set("inputs_waiting", expvar.Func(func() any { return h.inputs.Len() }))
	v.Set("inputs_refused", expvar.Func(func() any { return h.inputs.Refused() }))
	expvar.Publish("laburnum", v)
}
