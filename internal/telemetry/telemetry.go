// Package telemetry holds the daemon's metrics (expvar) and traces.
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

// Metrics are the counters and gauges of one daemon, published under the
// expvar name "laburnum".
type Metrics struct {
	Submitted       expvar.Int
	Refused         expvar.Int
	Answered        expvar.Map // by result code
	TaskStarts      expvar.Int
	TaskDisproved   expvar.Int
	TaskUnknown     expvar.Int
	PeerSent        expvar.Int
	PeerReceived    expvar.Int
	InvariantBroken expvar.Int
}

// Map returns the metrics by their published names.
func (m *Metrics) Map() *expvar.Map {
	v := new(expvar.Map).Init()
	v.Set("jobs_submitted", &m.Submitted)
	v.Set("jobs_refused", &m.Refused)
	v.Set("jobs_answered_by_code", &m.Answered)
	v.Set("task_starts", &m.TaskStarts)
	v.Set("task_starts_disproved", &m.TaskDisproved)
	v.Set("task_starts_unknown", &m.TaskUnknown)
	v.Set("peer_messages_sent", &m.PeerSent)
	v.Set("peer_messages_received", &m.PeerReceived)
	v.Set("invariants_broken", &m.InvariantBroken)
	return v
}

// TraceConfig says where spans go.
type TraceConfig struct {
	Host       string
	File       string  // spans as JSON lines; empty: none
	Endpoint   string  // host:port of an OTLP/HTTP collector; empty: none
	SampleRate float64 // share of jobs that are traced
	// Failed is told of each batch of spans that was not exported.
	Failed func(error)
}

const (
	exportTimeout = 5 * time.Second
	maxQueueSpans = 4096 // waiting for export; more are dropped
)

func batcher(e sdktrace.SpanExporter, failed func(error)) sdktrace.TracerProviderOption {
	return sdktrace.WithBatcher(reporting{e, failed}, sdktrace.WithMaxQueueSize(maxQueueSpans), sdktrace.WithExportTimeout(exportTimeout))
}

// NewTracerProvider returns a provider that exports to the configured places.
// The returned closer flushes and closes them.
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
		opts = append(opts, sdktrace.WithSampler(sdktrace.NeverSample())) // nowhere to send them
	}
	var file io.Closer = io.NopCloser(nil)
	if c.File != "" {
		f, err := os.OpenFile(c.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, errors.Wrap(err, "span file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			f.Close()
			return nil, nil, errors.Wrap(err, "span file")
		}
		file = f
		opts = append(opts, batcher(exporter, c.Failed))
	}
	if c.Endpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(c.Endpoint), otlptracehttp.WithInsecure(), otlptracehttp.WithTimeout(exportTimeout))
		if err != nil {
			file.Close()
			return nil, nil, errors.Wrap(err, "otlp exporter")
		}
		opts = append(opts, batcher(exporter, c.Failed))
	}
	tp := sdktrace.NewTracerProvider(opts...)
	closer := func(ctx context.Context) error {
		err := tp.Shutdown(ctx)
		file.Close()
		return errors.WithStack(err)
	}
	return tp, closer, nil
}
