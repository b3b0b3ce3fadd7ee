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

// injectedDelay is far above the delays that loopback and a busy machine add.
const injectedDelay = 1500 * time.Millisecond

// explain returns the output of "laburnumctl explain" for a job.
func (h *host) explain(t *testing.T, key string) api.JobResponse {
	t.Helper()
	out, err := exec.Command(filepath.Join(binaries, "laburnumctl"),
		"-host", h.settings.Listen.Operators, "-format", "json", "explain", "team", key).Output()
	must.NoError(t, err)
	var r api.JobResponse
	must.NoError(t, json.Unmarshal(out, &r))
	return r
}

// A delay inside a minion is attributed to the minion, whether it occurs before,
// during or after the run. The verdict is "unknown" if the minion does not
// report its own time.
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
			flags := []string{c.flag + "=" + injectedDelay.String()}
			if c.flag == "-unreported" {
				flags = []string{c.flag, "-delay-run=" + injectedDelay.String()}
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

// The delay of a caller that sends its request slowly is attributed to that
// caller. The time before the first byte of the request is not counted.
func TestVerdictOnSlowCaller(t *testing.T) {
	h := startHost(t, hostSettings(t, "a-1", "a"))
	startMinion(t, "m1", "a", h)
	h.awaitMinions(t, 1)
	body, err := json.Marshal(newRequest("k", "one"))
	must.NoError(t, err)
	conn, err := net.Dial("tcp", h.settings.Listen.Callers)
	must.NoError(t, err)
	defer conn.Close()
	time.Sleep(injectedDelay)
	head := fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\nExpect: 100-continue\r\n\r\n", len(body))
	_, err = io.WriteString(conn, head)
	must.NoError(t, err)
	// The host asks for the body after it has read the first byte, so the delay that it
	// measures is not shorter than the sleep below, however busy the machine is.
	answer := bufio.NewReader(conn)
	line, err := answer.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = conn.Write(body[:10])
	must.NoError(t, err)
	time.Sleep(injectedDelay)
	_, err = conn.Write(body[10:])
	must.NoError(t, err)
	_, err = io.ReadAll(answer)
	must.NoError(t, err)
	r := h.explain(t, "k")
	must.Eq(t, job.PartCaller, r.Timing.Verdict.Part)
	must.Eq(t, "team", r.Timing.Verdict.Where)
	must.Between(t, injectedDelay.Microseconds(), r.Timing.ReceiveUS, 2*injectedDelay.Microseconds()-1)
}

// Every limit on a request is answered with a result code when it is exceeded,
// also where the HTTP library itself refuses the request.
func TestRefusalsHaveResultCodes(t *testing.T) {
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
		{"too many tasks", postRequest(`{"key":"k","attempt":1,"team":"t","service":"s","deadline_ms":100,"submitted_at_ms":5,"tasks":[{"payload":""},{"payload":""},{"payload":""}]}`), 413, result.TooLarge},
		{"long payload", postRequest(`{"key":"k","attempt":1,"team":"t","service":"s","deadline_ms":100,"submitted_at_ms":5,"tasks":[{"payload":"123456789"}]}`), 413, result.TooLarge},
		{"unknown key", postRequest(`{"keys":"k"}`), 400, result.Malformed},
		{"truncated", postRequest(`{"key":`), 400, result.Malformed},
		{"empty", postRequest(""), 400, result.Malformed},
		{"no such path", "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 404, result.UnsupportedRequest},
		{"no such method", "PUT /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404, result.UnsupportedRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, r := h.sendRaw(t, c.request)
			must.Eq(t, c.status, status)
			must.Eq(t, c.code, r.Code)
		})
	}
}

// postRequest returns the text of an HTTP request that submits body.
func postRequest(body string) string {
	return fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// sendRaw sends the bytes of a request to the callers' listener and reads one
// answer.
func (h *host) sendRaw(t *testing.T, request string) (int, api.JobResponse) {
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
