// Package telemetry holds the metrics (expvar) and traces (OpenTelemetry) of the
// daemon.
package telemetry

import (
	"context"
	"expvar"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdkresource "go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Metrics are the counters of one daemon, published under the expvar name
// "laburnum".
type Metrics struct {
	JobsSubmitted        expvar.Int
	JobsRefused          expvar.Int
	JobsAnswered         expvar.Map // by result code
	TaskStarts           expvar.Int
	TaskStartsDisproved  expvar.Int // starts of which it is certain that the task did not run
	TaskStartsUnknown    expvar.Int // starts with an unknown outcome
	PeerMessagesSent     expvar.Int
	PeerMessagesReceived expvar.Int
	InvariantsBroken     expvar.Int
}

// Map returns the metrics under their published names.
func (m *Metrics) Map() *expvar.Map {
	v := new(expvar.Map).Init()
	v.Set("jobs_submitted", &m.JobsSubmitted)
	v.Set("jobs_refused", &m.JobsRefused)
	v.Set("jobs_answered_by_code", &m.JobsAnswered)
	v.Set("task_starts", &m.TaskStarts)
	v.Set("task_starts_disproved", &m.TaskStartsDisproved)
	v.Set("task_starts_unknown", &m.TaskStartsUnknown)
	v.Set("peer_messages_sent", &m.PeerMessagesSent)
	v.Set("peer_messages_received", &m.PeerMessagesReceived)
	v.Set("invariants_broken", &m.InvariantsBroken)
	return v
}

// TraceConfig configures which spans are recorded and where they are exported to.
type TraceConfig struct {
	Host       string  // value of the attribute service.instance.id
	File       string  // path of a file to append spans to, as JSON lines; empty: none
	Endpoint   string  // host:port of an OTLP/HTTP collector; empty: none
	SampleRate float64 // share of the requests without a caller's sampling decision that are traced, from 0 to 1
	// OnExportError is called with the error of each batch of spans that can't be exported.
	OnExportError func(error)
}

const (
	exportTimeout  = 5 * time.Second
	maxQueuedSpans = 4096 // spans waiting for export; further spans are dropped
)

func batcher(e sdktrace.SpanExporter, failed func(error)) sdktrace.TracerProviderOption {
	return sdktrace.WithBatcher(reportingExporter{e, failed}, sdktrace.WithMaxQueueSize(maxQueuedSpans), sdktrace.WithExportTimeout(exportTimeout))
}

// NewTracerProvider returns a provider that exports spans to the file and the
// collector of c, and a function that exports the remaining spans and closes both.
func NewTracerProvider(ctx context.Context, c TraceConfig) (*sdktrace.TracerProvider, func(context.Context) error, error) {
	res := sdkresource.NewSchemaless(
		attribute.String("service.name", "laburnumd"),
		attribute.String("service.instance.id", c.Host),
	)
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(c.SampleRate))),
	}
	if c.File == "" && c.Endpoint == "" {
		opts = append(opts, sdktrace.WithSampler(sdktrace.NeverSample())) // there is no exporter
	}
	var file io.Closer = io.NopCloser(nil)
	if c.File != "" {
		f, err := os.OpenFile(c.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, errors.Wrap(err, "open span file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			f.Close()
			return nil, nil, errors.Wrap(err, "create span file exporter")
		}
		file = f
		opts = append(opts, batcher(exporter, c.OnExportError))
	}
	if c.Endpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(c.Endpoint), otlptracehttp.WithInsecure(), otlptracehttp.WithTimeout(exportTimeout))
		if err != nil {
			file.Close()
			return nil, nil, errors.Wrap(err, "create OTLP exporter")
		}
		opts = append(opts, batcher(exporter, c.OnExportError))
	}
	tp := sdktrace.NewTracerProvider(opts...)
	closer := func(ctx context.Context) error {
		err := tp.Shutdown(ctx)
		file.Close()
		return errors.WithStack(err)
	}
	return tp, closer, nil
}
