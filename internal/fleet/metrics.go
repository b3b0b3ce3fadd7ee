package fleet

import (
	"expvar"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/eventlog"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
)

// metrics holds the counters, gauges and histograms of one host. docs/OPERATIONS.md
// lists them with their units.
type metrics struct {
	answeredJobs   expvar.Map   // answers to callers, by queue, outcome and reason
	openJobs       expvar.Int   // open jobs of callers connected to this host
	dispatchedJobs expvar.Int   // open jobs that this host dispatches
	queuedJobs     expvar.Int   // those of dispatchedJobs without a started task
	claimedShards  expvar.Int   // shards that this host has claimed
	minionsCarried expvar.Int   // minions that this host can dispatch for; 0: not known
	minionsClaimed expvar.Int   // minions of claimedShards
	cellShards     expvar.Int   // number of shards in the cell
	shardsWanted   expvar.Int   // number of shards that suits the cell's minions and hosts
	cpuCapacity    expvar.Int   // thousandths of a processor, of the claimed minions that accept work
	heldBack       expvar.Int   // steps of jobs that wait for a faster minion than the best free one
	interfering    expvar.Int   // ordered pairs of queues that interfere, over all claimed shards
	cpuFree        expvar.Int   // the part of cpuCapacity that is not in use
	listedHosts    expvar.Int   // other hosts in the roster
	refusedShare   expvar.Float // share of offers that this host refuses because of overload
	overloadedMS   expvar.Int   // for how long this host has been overloaded; 0: it is not

	evacuatedDomains expvar.Int // evacuated failure domains, as this host knows
	evacuatedSelf    expvar.Int // 1 if this host's failure domain is one of them
	knowledgeAge     expvar.Int // milliseconds since a control host confirmed that no newer version is known
	coldMinions      expvar.Int // claimed minions that are cold

	cellCarries atomic.Pointer[map[string]int] // by host of the cell: minions that it reports to carry

	orders expvar.Map // orders to minions, by kind and answer

	answerTimes     durations // from submission to answer, by outcome
	storeWriteTimes durations // synced writes of a control host's state, by outcome
}

// durations holds one histogram of durations, in microseconds, for each name.
type durations struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// record adds one duration.
func (t *durations) record(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.byName[name]
	if h == nil {
		h = hdrhistogram.New(1, maxDurationUS, histogramDigits)
		t.byName[name] = h
	}
	_ = h.RecordValue(min(took.Microseconds(), maxDurationUS)) // can't fail: the value is in the histogram's range
}

// snapshot returns the count, the maximum and the published percentiles of each
// histogram, in microseconds.
func (t *durations) snapshot() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]map[string]int64)
	for name, h := range t.byName {
		row := map[string]int64{"count": h.TotalCount(), "max": h.Max()}
		for _, q := range publishedPercentiles {
			row["p"+strconv.FormatFloat(q, 'f', -1, 64)] = h.ValueAtQuantile(q)
		}
		out[name] = row
	}
	return out
}

const (
	maxDurationUS   = int64(60 * time.Second / time.Microsecond)
	histogramDigits = 2 // significant digits
)

func newMetrics() *metrics {
	m := &metrics{}
	m.answeredJobs.Init()
	m.orders.Init()
	m.answerTimes.byName = make(map[string]*hdrhistogram.Histogram)
	m.storeWriteTimes.byName = make(map[string]*hdrhistogram.Histogram)
	return m
}

// jobAnswered counts an answer to a caller.
func (m *metrics) jobAnswered(queue string, o *entry.Outcome, took time.Duration) {
	outcome := strconv.Itoa(int(o.Outcome))
	m.answeredJobs.Add(queue+"/"+outcome+"/"+o.Reason, 1)
	m.answerTimes.record(outcome, took)
}

// stateSaved records how long a synced write of the control state took, and whether it
// failed.
func (m *metrics) stateSaved(took time.Duration, err error) {
	name := "state"
	if err != nil {
		name = "state_failed"
	}
	m.storeWriteTimes.record(name, took)
}

// orderAnswered counts an order to a minion and its answer.
func (m *metrics) orderAnswered(kind string, a pool.Answer) {
	m.orders.Add(kind+"/"+strconv.Itoa(int(a)), 1)
}

// publishedPercentiles are the percentiles published of each histogram.
var publishedPercentiles = []float64{50, 90, 99, 99.9}

// controlGroup returns the hosts that vote on documents, as far as this host knows,
// and whether this host votes.
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

// PublishMetrics publishes the host's metrics under the expvar name "laburnum". It
// must be called at most once in a process.
func (h *Host) PublishMetrics(events *eventlog.Log) {
	v := new(expvar.Map).Init()
	m := h.metrics
	v.Set("events_by_number", events.Counts())
	v.Set("log_lines_dropped", expvar.Func(func() any { return events.Dropped() }))
	v.Set("jobs_by_queue_outcome_reason", &m.answeredJobs)
	v.Set("answer_time_us_by_outcome", expvar.Func(m.answerTimes.snapshot))
	v.Set("store_write_us", expvar.Func(m.storeWriteTimes.snapshot))
	v.Set("orders_by_kind_answer", &m.orders)
	v.Set("control_group", expvar.Func(func() any { return h.controlGroup() }))
	v.Set("open_jobs", &m.openJobs)
	v.Set("dispatched_jobs", &m.dispatchedJobs)
	v.Set("queued_jobs", &m.queuedJobs)
	v.Set("claimed_shards", &m.claimedShards)
	v.Set("minions_carried", &m.minionsCarried)
	v.Set("minions_claimed", &m.minionsClaimed)
	v.Set("cell_shards", &m.cellShards)
	v.Set("cell_shards_wanted", &m.shardsWanted)
	v.Set("cell_minions_carried_by_host", expvar.Func(func() any { return m.cellCarries.Load() }))
	v.Set("minion_cpu_milli", &m.cpuCapacity)
	v.Set("minion_cpu_free_milli", &m.cpuFree)
	v.Set("steps_held_back", &m.heldBack)
	v.Set("interfering_pairs", &m.interfering)
	v.Set("hosts_listed", &m.listedHosts)
	v.Set("evacuated_domains", &m.evacuatedDomains)
	v.Set("evacuated_self", &m.evacuatedSelf)
	v.Set("evacuations_known_age_ms", &m.knowledgeAge)
	v.Set("cold_minions", &m.coldMinions)
	v.Set("overload_refused_share", &m.refusedShare)
	v.Set("overloaded_ms", &m.overloadedMS)
	v.Set("document_version", expvar.Func(func() any { return h.control.View().Version }))
	v.Set("document_age_ms", expvar.Func(func() any { return time.Since(h.control.View().LearnedAt).Milliseconds() }))
	v.Set("link_traffic_by_kind", expvar.Func(func() any { return h.mesh.Traffic() }))
	v.Set("inputs_waiting", expvar.Func(func() any { return h.inputs.Len() }))
	v.Set("inputs_refused", expvar.Func(func() any { return h.inputs.Refused() }))
	expvar.Publish("laburnum", v)
}
