package telemetry

import (
	"context"
	"fmt"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// HeaderTraceparent is the W3C trace context header.
const HeaderTraceparent = "traceparent"

// Names of the spans, one per hop.
const (
	SpanRequest   = "request"   // a caller's request, from its first byte to the written answer
	SpanAdmission = "admission" // until the job was accepted
	SpanControl   = "control"   // looking for the owner of the key
	SpanQueue     = "queue"     // the critical task's wait for a slot
	SpanPeer      = "peer"      // another host that dispatched or owns the job
	SpanTask      = "task"      // one start, from the sending to the minion's answer
	SpanRun       = "run"       // the run, as the minion reported it
	SpanAnswer    = "answer"    // encoding and writing the answer
)

// Spans makes the spans of one daemon. A nil Spans makes none.
type Spans struct {
	tracer trace.Tracer
}

// NewSpans returns Spans of a provider.
func NewSpans(tp *sdktrace.TracerProvider) *Spans {
	return &Spans{tracer: tp.Tracer("laburnumd")}
}

// Request is the span of a caller's request; nil when it is not sampled.
type Request struct {
	spans  *Spans
	ctx    context.Context
	span   trace.Span
	parent string
}

// StartRequest begins the span of a request. traceparent is the caller's trace
// context, or empty; its sampling decision is followed.
func (s *Spans) StartRequest(traceparent string, at time.Time) *Request {
	if s == nil {
		return nil
	}
	ctx, span := s.tracer.Start(contextOf(traceparent), SpanRequest, trace.WithTimestamp(at), trace.WithSpanKind(trace.SpanKindServer))
	if !span.IsRecording() {
		span.End()
		return nil
	}
	return &Request{spans: s, ctx: ctx, span: span, parent: traceparentOf(span.SpanContext())}
}

// Traceparent returns the context to hand on with the job's tasks; it is empty
// when the request is not sampled.
func (r *Request) Traceparent() string {
	if r == nil {
		return ""
	}
	return r.parent
}

// End ends the span of a request. received is when its last byte arrived and
// replied when its answer was known; a is nil when there is no job's answer.
func (r *Request) End(received, replied, written time.Time, a *job.Answer) {
	if r == nil {
		return
	}
	if a != nil {
		r.legs(received, a)
	}
	r.child(SpanAnswer, replied, written)
	r.span.End(trace.WithTimestamp(written))
}

func (r *Request) legs(received time.Time, a *job.Answer) {
	b := &a.Breakdown
	r.span.SetAttributes(
		attribute.String("job.team", a.ID.Team), attribute.String("job.key", a.ID.Key), attribute.Int("result.code", int(a.Code)),
		attribute.String("verdict.part", string(b.Verdict.Part)), attribute.String("verdict.where", b.Verdict.Where),
		attribute.Float64("verdict.share", b.Verdict.Share),
	)
	searched := received.Add(b.Admit)
	accepted := searched.Add(b.Control)
	r.child(SpanAdmission, received, searched)
	if b.Control > 0 {
		r.child(SpanControl, searched, accepted)
	}
	if b.Peer != "" {
		r.child(SpanPeer, accepted, accepted.Add(b.PeerTrip), attribute.String("host", b.Peer), attribute.Int64("held_us", b.PeerHeld.Microseconds()))
		return
	}
	r.child(SpanQueue, accepted, accepted.Add(b.Queue), attribute.Int("task", b.Task))
}

func (r *Request) child(name string, from, to time.Time, attrs ...attribute.KeyValue) {
	_, span := r.spans.tracer.Start(r.ctx, name, trace.WithTimestamp(from), trace.WithAttributes(attrs...))
	span.End(trace.WithTimestamp(to))
}

// Task is the span of one start; nil when it is not sampled.
type Task struct {
	spans *Spans
	ctx   context.Context
	span  trace.Span
}

// StartTask begins the span of a start under the job's trace context, which is
// empty when the job is not sampled.
func (s *Spans) StartTask(parent string, id job.TaskID, minion string) *Task {
	if s == nil || parent == "" {
		return nil
	}
	ctx, span := s.tracer.Start(contextOf(parent), SpanTask, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.Int("task", id.Index), attribute.String("minion", minion)))
	return &Task{spans: s, ctx: ctx, span: span}
}

// Traceparent returns the context to send to the minion.
func (t *Task) Traceparent() string {
	if t == nil {
		return ""
	}
	return traceparentOf(t.span.SpanContext())
}

// End ends the span of a start. The run is drawn in the middle of the trip:
// only its length is known.
func (t *Task) End(o *job.Outcome, disproved bool) {
	if t == nil {
		return
	}
	t.span.SetAttributes(attribute.Int("result.code", int(o.Code)), attribute.Bool("disproved", disproved))
	if o.Code != 0 {
		t.span.SetStatus(codes.Error, o.Detail)
	}
	if o.Run > 0 && !o.SentAt.IsZero() {
		begin := o.SentAt.Add(max(0, o.Trip-o.Run) / 2)
		_, run := t.spans.tracer.Start(t.ctx, SpanRun, trace.WithTimestamp(begin))
		run.End(trace.WithTimestamp(begin.Add(o.Run)))
	}
	t.span.End()
}

func contextOf(traceparent string) context.Context {
	if traceparent == "" {
		return context.Background()
	}
	carrier := propagation.MapCarrier{HeaderTraceparent: traceparent}
	return propagation.TraceContext{}.Extract(context.Background(), carrier)
}

func traceparentOf(c trace.SpanContext) string {
	return fmt.Sprintf("00-%s-%s-%s", c.TraceID(), c.SpanID(), c.TraceFlags())
}

// reporting passes export failures to a function and hides them from the SDK,
// which would write them to standard error.
type reporting struct {
	sdktrace.SpanExporter
	failed func(error)
}

// ExportSpans implements sdktrace.SpanExporter.
func (r reporting) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	if err := r.SpanExporter.ExportSpans(ctx, spans); err != nil {
		r.failed(err)
	}
	return nil
}
