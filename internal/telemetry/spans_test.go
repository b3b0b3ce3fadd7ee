package telemetry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/shoenig/test/must"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	otlp "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

const (
	callerTrace = "0af7651916cd43dd8448eb211c80319c"
	sampled     = "00-" + callerTrace + "-b7ad6b7169203331-01"
	notSampled  = "00-" + callerTrace + "-b7ad6b7169203331-00"
)

// fakeCollector accepts OTLP over HTTP and stores the received spans.
type fakeCollector struct {
	*httptest.Server
	mu    sync.Mutex
	spans []*otlp.Span
}

func newFakeCollector(t *testing.T) *fakeCollector {
	t.Helper()
	c := &fakeCollector{}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var m collector.ExportTraceServiceRequest
		if r.URL.Path != "/v1/traces" || proto.Unmarshal(body, &m) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, rs := range m.ResourceSpans {
			for _, ss := range rs.ScopeSpans {
				c.spans = append(c.spans, ss.Spans...)
			}
		}
		w.Header().Set("Content-Type", "application/x-protobuf")
	}))
	t.Cleanup(c.Close)
	return c
}

func (c *fakeCollector) byName() map[string]*otlp.Span {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]*otlp.Span)
	for _, s := range c.spans {
		out[s.Name] = s
	}
	return out
}

func endpoint(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// recordJob creates the spans of one answered job.
func recordJob(s *Spans, traceparent string) {
	begin := time.Now()
	r := s.StartRequest(traceparent, begin)
	task := s.StartTask(r.Traceparent(), job.TaskID{Index: 4}, "m1")
	task.End(&job.Outcome{Run: time.Millisecond, Trip: 2 * time.Millisecond, SentAt: begin}, false)
	b := job.Breakdown{Control: time.Millisecond, Verdict: job.Verdict{Part: job.PartQueue, Where: "h", Share: 0.5}}
	r.End(begin, begin, begin.Add(time.Second), &job.Answer{Breakdown: b})
}

func TestSpansReachCollector(t *testing.T) {
	c := newFakeCollector(t)
	tp, stop, err := NewTracerProvider(context.Background(), TraceConfig{Host: "h", Endpoint: endpoint(c.Server), OnExportError: func(err error) { t.Error(err) }})
	must.NoError(t, err)
	s := NewSpans(tp)
	recordJob(s, sampled)
	recordJob(s, notSampled)
	recordJob(s, "") // not sampled: SampleRate is 0
	must.NoError(t, stop(context.Background()))
	spans := c.byName()
	must.MapLen(t, 7, spans)
	must.Len(t, 7, c.spans)
	for _, name := range []string{SpanRequest, SpanAdmission, SpanControl, SpanQueue, SpanTask, SpanRun, SpanAnswer} {
		must.MapContainsKey(t, spans, name)
		must.Eq(t, callerTrace, hexOf(spans[name].TraceId))
	}
	must.Eq(t, spans[SpanRequest].SpanId, spans[SpanTask].ParentSpanId)
	must.Eq(t, spans[SpanTask].SpanId, spans[SpanRun].ParentSpanId)
	must.Eq(t, "b7ad6b7169203331", hexOf(spans[SpanRequest].ParentSpanId))
	must.Eq(t, time.Second, time.Duration(spans[SpanRequest].EndTimeUnixNano-spans[SpanRequest].StartTimeUnixNano))
}

func hexOf(b []byte) string {
	const digits = "0123456789abcdef"
	var out strings.Builder
	for _, x := range b {
		out.WriteByte(digits[x>>4])
		out.WriteByte(digits[x&15])
	}
	return out.String()
}

func TestSpansReachFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.jsonl")
	tp, stop, err := NewTracerProvider(context.Background(), TraceConfig{Host: "h", File: file, SampleRate: 1, OnExportError: func(err error) { t.Error(err) }})
	must.NoError(t, err)
	recordJob(NewSpans(tp), "")
	must.NoError(t, stop(context.Background()))
	text, err := os.ReadFile(file)
	must.NoError(t, err)
	for _, name := range []string{SpanRequest, SpanAdmission, SpanControl, SpanQueue, SpanTask, SpanRun, SpanAnswer} {
		must.StrContains(t, string(text), `"Name":"`+name+`"`)
	}
}

// Spans must not block while the collector hangs, even when more spans are created
// than the export queue holds. An export that the collector refuses is reported.
func TestExportFailureIsReportedWithoutBlocking(t *testing.T) {
	release := make(chan struct{})
	c := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusBadRequest)
	}))
	defer c.Close()
	failures := make(chan error, maxQueuedSpans)
	tp, stop, err := NewTracerProvider(context.Background(), TraceConfig{Host: "h", Endpoint: endpoint(c), SampleRate: 1, OnExportError: func(err error) { failures <- err }})
	must.NoError(t, err)
	s := NewSpans(tp)
	for range 2 * maxQueuedSpans {
		recordJob(s, "")
	}
	close(release)
	must.NoError(t, stop(context.Background()))
	must.Positive(t, len(failures))
}
