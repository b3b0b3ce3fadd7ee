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

// HeaderTraceparent is the name of the W3C trace context header.
const HeaderTraceparent = "traceparent"

// Names of the spans.
const (
	SpanRequest   = "request"   // a caller's request, from its first byte until the answer is written
	SpanAdmission = "admission" // from the last byte of the request to the job's acceptance, without SpanControl
	SpanControl   = "control"   // locating the owner of the key
	SpanQueue     = "queue"     // time in the queue of the task that job.Breakdown describes
	SpanPeer      = "peer"      // round trip to another host, which owns the job
	SpanTask      = "task"      // one start, from sending the task to the minion's response
	SpanRun       = "run"       // one run, with the duration that the minion reported
	SpanAnswer    = "answer"    // encoding and writing the answer
)

// Spans creates the spans of one daemon. A nil *Spans creates none.
type Spans struct {
	tracer trace.Tracer
}

// NewSpans returns a Spans that creates spans of tp.
func NewSpans(tp *sdktrace.TracerProvider) *Spans {
	return &Spans{tracer: tp.Tracer("laburnumd")}
}

// Request is the span of a caller's request. It is nil, and its methods do nothing,
// when the request is not sampled.
type Request struct {
	spans  *Spans
	ctx    context.Context
	span   trace.Span
	parent string // trace context for the spans of the job's tasks
}

// StartRequest begins the span of a request at the time at. traceparent is the
// caller's trace context, or empty. The caller's sampling decision, if any, applies.
func (s *Spans) StartRequest(traceparent string, at time.Time) *Request {
	if s == nil {
		return nil
	}
	ctx, span := s.tracer.Start(parentContext(traceparent), SpanRequest, trace.WithTimestamp(at), trace.WithSpanKind(trace.SpanKindServer))
	if !span.IsRecording() {
		span.End()
		return nil
	}
	return &Request{spans: s, ctx: ctx, span: span, parent: formatTraceparent(span.SpanContext())}
}

// Traceparent returns the trace context for the job's tasks, or an empty string
// when the request is not sampled.
func (r *Request) Traceparent() string {
	if r == nil {
		return ""
	}
	return r.parent
}

// End ends the span of a request and adds the spans of its parts. The last byte of
// the request arrived at received, encoding of the answer began at replied, and the
// answer was written to the connection at written. a is nil if the response is not a
// job's answer.
func (r *Request) End(received, replied, written time.Time, a *job.Answer) {
	if r == nil {
		return
	}
	if a != nil {
		r.addPhaseSpans(received, a)
	}
	r.addChild(SpanAnswer, replied, written)
	r.span.End(trace.WithTimestamp(written))
}

// addPhaseSpans adds the breakdown of the answer a to the request's span. The
// breakdown holds only durations, so the phases are placed one after another.
func (r *Request) addPhaseSpans(received time.Time, a *job.Answer) {
	b := &a.Breakdown
	r.span.SetAttributes(
		attribute.String("job.team", a.ID.Team), attribute.String("job.key", a.ID.Key), attribute.Int("result.code", int(a.Code)),
		attribute.String("verdict.part", string(b.Verdict.Part)), attribute.String("verdict.where", b.Verdict.Where),
		attribute.Float64("verdict.share", b.Verdict.Share),
	)
	admitted := received.Add(b.Admit)
	accepted := admitted.Add(b.Control)
	r.addChild(SpanAdmission, received, admitted)
	if b.Control > 0 {
		r.addChild(SpanControl, admitted, accepted)
	}
	if b.Peer != "" {
		r.addChild(SpanPeer, accepted, accepted.Add(b.PeerTrip), attribute.String("host", b.Peer), attribute.Int64("held_us", b.PeerHeld.Microseconds()))
		return
	}
	r.addChild(SpanQueue, accepted, accepted.Add(b.Queue), attribute.Int("task", b.Task))
}

func (r *Request) addChild(name string, from, to time.Time, attrs ...attribute.KeyValue) {
	_, span := r.spans.tracer.Start(r.ctx, name, trace.WithTimestamp(from), trace.WithAttributes(attrs...))
	span.End(trace.WithTimestamp(to))
}

// Task is the span of one start of a task. It is nil, and its methods do nothing,
// when the job is not sampled.
type Task struct {
	spans *Spans
	ctx   context.Context
	span  trace.Span
}

// StartTask begins the span of a start. parent is the job's trace context, empty
// when the job is not sampled.
func (s *Spans) StartTask(parent string, id job.TaskID, minion string) *Task {
	if s == nil || parent == "" {
		return nil
	}
	ctx, span := s.tracer.Start(parentContext(parent), SpanTask, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.Int("task", id.Index), attribute.String("minion", minion)))
	return &Task{spans: s, ctx: ctx, span: span}
}

// Traceparent returns the trace context to send to the minion, or an empty string
// when the job is not sampled.
func (t *Task) Traceparent() string {
	if t == nil {
		return ""
	}
	return formatTraceparent(t.span.SpanContext())
}

// End ends the span of a start. The span of the run is centered in the round trip,
// because the minion reports only its duration.
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

func parentContext(traceparent string) context.Context {
	if traceparent == "" {
		return context.Background()
	}
	carrier := propagation.MapCarrier{HeaderTraceparent: traceparent}
	return propagation.TraceContext{}.Extract(context.Background(), carrier)
}

func formatTraceparent(c trace.SpanContext) string {
	return fmt.Sprintf("00-%s-%s-%s", c.TraceID(), c.SpanID(), c.TraceFlags())
}

// reportingExporter passes export errors to onError and hides them from the SDK,
// which would write them to stderr.
type reportingExporter struct {
	sdktrace.SpanExporter
	onError func(error)
}

// ExportSpans implements sdktrace.SpanExporter.
func (r reportingExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	if err := r.SpanExporter.ExportSpans(ctx, spans); err != nil {
		r.onError(err)
	}
	return nil
}
