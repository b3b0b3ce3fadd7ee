// Package eventlog writes structured log lines without blocking the caller. Lines
// go through a bounded ring to one writer. Each event has its own rate limit, so
// that a frequent event does not displace the lines of others. Dropped lines are
// counted, and the counts are logged.
package eventlog

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"golang.org/x/time/rate"
)

const (
	ringSize   = 8192                   // lines waiting for the writer; further lines are dropped
	writeEvery = 100 * time.Millisecond // interval between writes of the waiting lines
	// maxBatchBytes is the largest write that a pipe takes atomically, so that
	// lines of several processes do not interleave.
	maxBatchBytes = 4 << 10
	reportEvery   = time.Second // interval between reports of dropped lines

	// Rate limits of one event, in lines per second, and bursts, in lines. The info
	// limits apply to levels up to info, at which the normal course of a job is
	// logged, the failure limits to warnings and errors.
	infoRate, infoBurst       = 150, 300
	failureRate, failureBurst = 400, 800
)

// Log is a logger with bounded memory and a rate limit per event.
type Log struct {
	*slog.Logger
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	mu      sync.Mutex
	limits  map[event.ID]*eventLimit
	counts  expvar.Map // occurrences by event number, including dropped lines
	done    chan struct{}
}

// eventLimit is the rate limit of one event.
type eventLimit struct {
	limiter *rate.Limiter
	dropped uint64 // lines dropped since the last report
}

// New returns a Log that writes JSON lines at or above level to out once Run is
// called.
func New(out io.Writer, level slog.Level) *Log {
	l := &Log{out: out, lines: ring.New[[]byte](ringSize), limits: make(map[event.ID]*eventLimit), done: make(chan struct{})}
	l.counts.Init()
	l.Logger = slog.New(&rateHandler{log: l, next: slog.NewJSONHandler(sink{l}, &slog.HandlerOptions{Level: level})})
	return l
}

// Counts returns the number of occurrences of each event, by event number.
func (l *Log) Counts() *expvar.Map { return &l.counts }

// Dropped returns how many lines were dropped because the ring was full, since
// event LogLinesDropped was last logged.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// sink puts the lines of the JSON handler into the ring.
type sink struct{ log *Log }

// Write implements io.Writer. It does not block: a line that finds the ring full
// is dropped.
func (s sink) Write(p []byte) (int, error) {
	if !s.log.lines.TryPush(append([]byte(nil), p...)) {
		s.log.dropped.Add(1)
	}
	return len(p), nil
}

// Run writes lines until ctx is done, then the lines still in the ring.
func (l *Log) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(writeEvery)
	defer ticker.Stop()
	reportedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			l.drain()
			return
		case now := <-ticker.C:
			if now.Sub(reportedAt) >= reportEvery {
				reportedAt = now
				l.reportDropped()
			}
			l.drain()
		}
	}
}

// Wait blocks until Run has returned.
func (l *Log) Wait() { <-l.done }

// drain writes all lines in the ring, in batches of whole lines.
func (l *Log) drain() {
	var batch []byte
	write := func() {
		if len(batch) > 0 {
			// A failed write of the log itself can't be logged.
			_, _ = l.out.Write(batch)
			batch = batch[:0]
		}
	}
	defer write()
	for {
		select {
		case line := <-l.lines.C():
			if len(batch)+len(line) > maxBatchBytes {
				write()
			}
			batch = append(batch, line...)
		default:
			return
		}
	}
}

// reportDropped logs how many lines were dropped since the last report, if any.
func (l *Log) reportDropped() {
	var attrs []slog.Attr
	l.mu.Lock()
	for id, k := range l.limits {
		if k.dropped > 0 {
			attrs = append(attrs, slog.Uint64(strconv.Itoa(int(id)), k.dropped))
			k.dropped = 0
		}
	}
	l.mu.Unlock()
	dropped := l.dropped.Swap(0)
	if dropped > 0 || len(attrs) > 0 {
		event.Log(context.Background(), l.Logger, event.LogLinesDropped, slog.Uint64("ring", dropped), slog.Attr{Key: "by_event", Value: slog.GroupValue(attrs...)})
	}
}

// allow counts an event and reports whether its rate limit lets the line through.
func (l *Log) allow(id event.ID, level slog.Level) bool {
	l.counts.Add(strconv.Itoa(int(id)), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.limits[id]
	if k == nil {
		k = &eventLimit{limiter: rate.NewLimiter(infoRate, infoBurst)}
		if level > slog.LevelInfo {
			k.limiter = rate.NewLimiter(failureRate, failureBurst)
		}
		l.limits[id] = k
	}
	if k.limiter.Allow() {
		return true
	}
	k.dropped++
	return false
}

// rateHandler passes on records within the rate limit of their event.
type rateHandler struct {
	log  *Log
	next slog.Handler
}

// Enabled implements slog.Handler.
func (h *rateHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *rateHandler) Handle(ctx context.Context, r slog.Record) error {
	var id event.ID
	r.Attrs(func(a slog.Attr) bool { // event.Log puts the number first
		if a.Key == event.Key && a.Value.Kind() == slog.KindUint64 {
			id = event.ID(a.Value.Uint64())
		}
		return false
	})
	if !h.log.allow(id, r.Level) {
		return nil
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *rateHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateHandler{h.log, h.next.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *rateHandler) WithGroup(name string) slog.Handler {
	return &rateHandler{h.log, h.next.WithGroup(name)}
}
