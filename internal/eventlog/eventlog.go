// Package eventlog writes structured log lines without ever blocking the
// caller: lines go through a bounded ring to one writer, and each event has a
// rate of its own, so that many lines of one event do not push out the others.
// What was left out is counted and told.
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
	ringLines  = 8192                   // lines that wait for the writer; more are dropped
	writeEvery = 100 * time.Millisecond // one write for all lines of that time
	// writeBytes bounds a batch: a pipe takes that much in one piece, so lines
	// of several processes do not mix.
	writeBytes = 4 << 10
	tellEvery  = time.Second // of the lines that were left out

	// Lines of one event in a second, and at once. The ordinary course of a job
	// takes the first; what went wrong, the second.
	usualRate, usualBurst   = 150, 300
	failureRate, failureMax = 400, 800
)

// Log is a bounded log.
type Log struct {
	*slog.Logger
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	mu      sync.Mutex
	kinds   map[event.ID]*kind
	counts  expvar.Map // by event, written or not
	done    chan struct{}
}

// kind is the rate of one event.
type kind struct {
	limit *rate.Limiter
	left  uint64 // lines left out since it was told
}

// New returns a log of JSON lines at or above a level.
func New(out io.Writer, level slog.Level) *Log {
	l := &Log{out: out, lines: ring.New[[]byte](ringLines), kinds: make(map[event.ID]*kind), done: make(chan struct{})}
	l.counts.Init()
	l.Logger = slog.New(&limiter{log: l, next: slog.NewJSONHandler(sink{l}, &slog.HandlerOptions{Level: level})})
	return l
}

// Counts returns how often each event occurred, by its number.
func (l *Log) Counts() *expvar.Map { return &l.counts }

// Dropped returns how many lines the full ring refused.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// sink takes the lines of the JSON handler.
type sink struct{ log *Log }

// Write implements io.Writer. It never blocks.
func (s sink) Write(p []byte) (int, error) {
	if !s.log.lines.TryPush(append([]byte(nil), p...)) {
		s.log.dropped.Add(1)
	}
	return len(p), nil
}

// Run writes lines until ctx ends, and then what is left.
func (l *Log) Run(ctx context.Context) {
	defer close(l.done)
	every := time.NewTicker(writeEvery)
	defer every.Stop()
	told := time.Now()
	for {
		select {
		case <-ctx.Done():
			l.drain()
			return
		case now := <-every.C:
			if now.Sub(told) >= tellEvery {
				told = now
				l.tell()
			}
			l.drain()
		}
	}
}

// Wait returns when Run has written everything.
func (l *Log) Wait() { <-l.done }

// drain writes all lines that wait, in batches of whole lines.
func (l *Log) drain() {
	var batch []byte
	write := func() {
		if len(batch) > 0 {
			// A failed write cannot be logged: it is the log that fails.
			_, _ = l.out.Write(batch)
			batch = batch[:0]
		}
	}
	defer write()
	for {
		select {
		case line := <-l.lines.C():
			if len(batch)+len(line) > writeBytes {
				write()
			}
			batch = append(batch, line...)
		default:
			return
		}
	}
}

// tell logs how many lines were left out.
func (l *Log) tell() {
	var attrs []slog.Attr
	l.mu.Lock()
	for id, k := range l.kinds {
		if k.left > 0 {
			attrs = append(attrs, slog.Uint64(strconv.Itoa(int(id)), k.left))
			k.left = 0
		}
	}
	l.mu.Unlock()
	dropped := l.dropped.Swap(0)
	if dropped > 0 || len(attrs) > 0 {
		event.Log(context.Background(), l.Logger, event.LinesLeftOut, slog.Uint64("ring", dropped), slog.Attr{Key: "by_event", Value: slog.GroupValue(attrs...)})
	}
}

// allow counts an event and reports whether its line is written.
func (l *Log) allow(id event.ID, level slog.Level) bool {
	l.counts.Add(strconv.Itoa(int(id)), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[id]
	if k == nil {
		k = &kind{limit: rate.NewLimiter(usualRate, usualBurst)}
		if level > slog.LevelInfo {
			k.limit = rate.NewLimiter(failureRate, failureMax)
		}
		l.kinds[id] = k
	}
	if k.limit.Allow() {
		return true
	}
	k.left++
	return false
}

// limiter passes on the records that their event's rate allows.
type limiter struct {
	log  *Log
	next slog.Handler
}

// Enabled implements slog.Handler.
func (h *limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *limiter) Handle(ctx context.Context, r slog.Record) error {
	var id event.ID
	r.Attrs(func(a slog.Attr) bool { // the number comes first
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
func (h *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{h.log, h.next.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *limiter) WithGroup(name string) slog.Handler { return &limiter{h.log, h.next.WithGroup(name)} }
