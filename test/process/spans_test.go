package process

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// For a request that its caller marked as sampled, the host that received it and
// the host that dispatched it record one span per step, under the caller's trace
// ID.
func TestSpansOfARequest(t *testing.T) {
	const trace = "0af7651916cd43dd8448eb211c80319c"
	a, b := hostSettings(t, "a-1", "a"), hostSettings(t, "a-2", "a")
	makeAllPeers(&a, &b)
	a.Traces.File = filepath.Join(t.TempDir(), "a.jsonl")
	b.Traces.File = filepath.Join(t.TempDir(), "b.jsonl")
	a.Traces.SampleRate, b.Traces.SampleRate = 0, 0
	h1, h2 := startHost(t, a), startHost(t, b)
	startMinion(t, "m1", "a", h1)
	h1.awaitMinions(t, 1)
	h2.awaitMinions(t, 1)
	body, err := json.Marshal(newRequest("k", "one", "two"))
	must.NoError(t, err)
	req, err := http.NewRequest("POST", "http://"+b.Listen.Callers+"/v1/jobs", bytes.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	http.DefaultClient.CloseIdleConnections()
	h2.stop()
	h1.stop()
	spans := spansOf(t, a.Traces.File, trace) + spansOf(t, b.Traces.File, trace)
	for _, name := range []string{"request", "admission", "task", "run", "answer"} {
		must.StrContains(t, spans, `"Name":"`+name+`"`)
	}
	must.Eq(t, 2, strings.Count(spans, `"Name":"task"`))
}

// spansOf returns the lines of a span file that belong to the trace.
func spansOf(t *testing.T, file, trace string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	must.NoError(t, err)
	var out strings.Builder
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, trace) {
			out.WriteString(line)
		}
	}
	return out.String()
}
