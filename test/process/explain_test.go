package process

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

// injected is far above what loopback and a busy machine add by themselves.
const injected = 1500 * time.Millisecond

// explain asks for a job's explanation by the command line.
func (h *host) explain(t *testing.T, key string) api.JobResponse {
	t.Helper()
	out, err := exec.Command(filepath.Join(binaries, "laburnumctl"),
		"-host", h.settings.Listen.Operators, "-format", "json", "explain", "team", key).Output()
	must.NoError(t, err)
	var r api.JobResponse
	must.NoError(t, json.Unmarshal(out, &r))
	return r
}

// A delay inside a minion is the minion's, wherever it sits, and unknown when
// the minion does not report its own time.
func TestVerdictOnDelaysInMinion(t *testing.T) {
	cases := []struct {
		flag string
		part job.Part
	}{
		{"-delay-before", job.PartMinionRun},
		{"-delay-run", job.PartMinionRun},
		{"-delay-after", job.PartMinionRun},
		{"-unreported", job.PartUnknown},
	}
	for _, c := range cases {
		t.Run(c.flag, func(t *testing.T) {
			t.Parallel()
			h := startHost(t, hostSettings(t, "a-1", "a"))
			flags := []string{c.flag + "=" + injected.String()}
			if c.flag == "-unreported" {
				flags = []string{c.flag, "-delay-run=" + injected.String()}
			}
			args := append([]string{"minion", "-name", "m1", "-domain", "a", "-hosts", h.settings.Listen.Minions}, flags...)
			startProcess(t, "lwbench", args...)
			h.awaitMinions(t, 1)
			r, err := h.submit(newRequest("k", "one"))
			must.NoError(t, err)
			must.Eq(t, result.OK, r.Code)
			must.Eq(t, c.part, r.Timing.Verdict.Part)
			must.Eq(t, "m1", r.Timing.Verdict.Where)
			must.Eq(t, r.Timing.Verdict, h.explain(t, "k").Timing.Verdict)
		})
	}
}

// A caller that sends its request slowly is named, and the time before the
// first byte is not counted.
func TestVerdictOnSlowCaller(t *testing.T) {
	h := startHost(t, hostSettings(t, "a-1", "a"))
	startMinion(t, "m1", "a", h)
	h.awaitMinions(t, 1)
	body, err := json.Marshal(newRequest("k", "one"))
	must.NoError(t, err)
	conn, err := net.Dial("tcp", h.settings.Listen.Callers)
	must.NoError(t, err)
	defer conn.Close()
	time.Sleep(injected)
	head := fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", len(body))
	_, err = io.WriteString(conn, head+string(body[:10]))
	must.NoError(t, err)
	time.Sleep(injected)
	_, err = conn.Write(body[10:])
	must.NoError(t, err)
	_, err = io.ReadAll(conn)
	must.NoError(t, err)
	r := h.explain(t, "k")
	must.Eq(t, job.PartCaller, r.Timing.Verdict.Part)
	must.Eq(t, "team", r.Timing.Verdict.Where)
	must.Between(t, injected.Microseconds(), r.Timing.ReceiveUS, 2*injected.Microseconds()-1)
}

// Every bound on a request has a numbered answer, also where the HTTP library
// refuses by itself.
func TestRefusalsAreNumbered(t *testing.T) {
	s := hostSettings(t, "a-1", "a")
	s.Limits.MaxBodyBytes = 2048
	s.Limits.MaxHeaderBytes = 1024
	s.Limits.MaxTasks = 2
	s.Limits.MaxPayloadBytes = 8
	h := startHost(t, s)
	cases := []struct {
		name, request string
		status        int
		code          result.Code
	}{
		{"body too large", "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 2049\r\n\r\n" + strings.Repeat("x", 2049), 413, result.TooLarge},
		{"header too large", "GET /v1/jobs HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 2048) + "\r\n\r\n", 431, result.TooLarge},
		{"not HTTP", "nonsense\r\n\r\n", 400, result.Malformed},
		{"too many tasks", post(`{"key":"k","attempt":1,"team":"t","service":"s","deadline_ms":100,"submitted_at_ms":5,"tasks":[{"payload":""},{"payload":""},{"payload":""}]}`), 413, result.TooLarge},
		{"long payload", post(`{"key":"k","attempt":1,"team":"t","service":"s","deadline_ms":100,"submitted_at_ms":5,"tasks":[{"payload":"123456789"}]}`), 413, result.TooLarge},
		{"unknown key", post(`{"keys":"k"}`), 400, result.Malformed},
		{"truncated", post(`{"key":`), 400, result.Malformed},
		{"empty", post(""), 400, result.Malformed},
		{"no such path", "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 404, result.UnsupportedRequest},
		{"no such method", "PUT /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404, result.UnsupportedRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, r := h.raw(t, c.request)
			must.Eq(t, c.status, status)
			must.Eq(t, c.code, r.Code)
		})
	}
}

func post(body string) string {
	return fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// raw sends bytes to the callers' listener and reads one answer.
func (h *host) raw(t *testing.T, request string) (int, api.JobResponse) {
	t.Helper()
	conn, err := net.Dial("tcp", h.settings.Listen.Callers)
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, request)
	must.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer resp.Body.Close()
	var r api.JobResponse
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&r))
	return resp.StatusCode, r
}
