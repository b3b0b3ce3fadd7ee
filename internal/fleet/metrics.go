package fleet

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/eventlog"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
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

	orders expvar.Map // to minions, by kind and answer

	answers times // of answers to callers, by outcome
	saves   times // of synced writes of a control host's state
}

// times are durations in microseconds, by name.
type times struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// add counts one duration.
func (t *times) add(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.byName[name]
	if h == nil {
		h = hdrhistogram.New(1, longestTime, timeDigits)
		t.byName[name] = h
	}
	_ = h.RecordValue(min(took.Microseconds(), longestTime)) // in range
}

// quantiles returns what is published.
func (t *times) quantiles() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]map[string]int64)
	for name, h := range t.byName {
		row := map[string]int64{"count": h.TotalCount(), "max": h.Max()}
		for _, q := range quantiles {
			row["p"+strconv.FormatFloat(q, 'f', -1, 64)] = h.ValueAtQuantile(q)
		}
		out[name] = row
	}
	return out
}

const (
	longestTime = int64(60 * time.Second / time.Microsecond)
	timeDigits  = 2 // significant digits
)

func newMetrics() *metrics {
	m := &metrics{}
	m.jobs.Init()
	m.orders.Init()
	m.answers.byName = make(map[string]*hdrhistogram.Histogram)
	m.saves.byName = make(map[string]*hdrhistogram.Histogram)
	return m
}

// answered counts an answer to a caller.
func (m *metrics) answered(queue string, o *entry.Outcome, took time.Duration) {
	outcome := strconv.Itoa(int(o.Outcome))
	m.jobs.Add(queue+"/"+outcome+"/"+o.Reason, 1)
	m.answers.add(outcome, took)
}

func (m *metrics) saved(took time.Duration) { m.saves.add("state", took) }

// ordered counts an order to a minion.
func (m *metrics) ordered(kind string, a pool.Answer) {
	m.orders.Add(kind+"/"+strconv.Itoa(int(a)), 1)
}

// quantiles are those of durations that are published.
var quantiles = []float64{50, 90, 99, 99.9}

// controlGroup returns the hosts that choose documents, as this host knows them,
// and whether this one is among them.
func (h *Host) controlGroup() any {
	v := h.control.View()
	var names []string
	if v.Record != nil {
		for _, m := range v.Record.Group {
			names = append(names, m.Host)
		}
	}
	return map[string]any{"hosts": names, "voting": v.Voting}
}

// PublishMetrics publishes the host's metrics under the expvar name
// "laburnum". It is called once in a process.
func (h *Host) PublishMetrics(events *eventlog.Log) {
	v := new(expvar.Map).Init()
	m := h.metrics
	v.Set("events_by_number", events.Counts())
	v.Set("log_lines_dropped", expvar.Func(func() any { return events.Dropped() }))
	v.Set("jobs_by_queue_outcome_reason", &m.jobs)
	v.Set("answer_time_us_by_outcome", expvar.Func(m.answers.quantiles))
	v.Set("store_write_us", expvar.Func(m.saves.quantiles))
	v.Set("orders_by_kind_answer", &m.orders)
	v.Set("control_group", expvar.Func(func() any { return h.controlGroup() }))
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
