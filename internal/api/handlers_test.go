package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/common/ut"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/shoenig/test/must"
)

// stubDaemon is a Daemon that accepts every submission and knows no job, minion
// or plan.
type stubDaemon struct{}

func (stubDaemon) Submit(_ context.Context, s *job.Submission, _ bool) (*job.Answer, *result.Error) {
	return &job.Answer{ID: s.ID, Results: make([][]byte, len(s.Tasks))}, nil
}

func (stubDaemon) Fetch(_ context.Context, id job.ID, wait bool) (*job.Answer, *result.Error) {
	if !wait {
		return nil, nil
	}
	return nil, result.Errorf(result.JobUnknown, "job %s", id)
}

func (a stubDaemon) Cancel(ctx context.Context, id job.ID, wait bool) (*job.Answer, *result.Error) {
	return a.Fetch(ctx, id, wait)
}

func (a stubDaemon) Explain(ctx context.Context, id job.ID) (*job.Answer, *result.Error) {
	return a.Fetch(ctx, id, true)
}

func (stubDaemon) RecordWriteTimes(job.ID, time.Duration, time.Duration) {}

func (stubDaemon) Announce(context.Context, minion.Announcement) (time.Duration, *result.Error) {
	return time.Second, nil
}

func (stubDaemon) Renew(_ context.Context, name string, _ uint64) (time.Duration, *result.Error) {
	return 0, result.Errorf(result.MinionUnknown, "minion %q", name)
}

func (stubDaemon) Leave(context.Context, string, uint64) *result.Error { return nil }

func (stubDaemon) Status(context.Context) (StatusResponse, *result.Error) {
	return StatusResponse{}, nil
}

func (stubDaemon) Jobs(context.Context, int) ([]JobInfo, *result.Error) { return nil, nil }

func (stubDaemon) Ready() bool { return true }

func (stubDaemon) Plan(context.Context, PlanRequest) (PlanResponse, *result.Error) {
	return PlanResponse{}, nil
}

func (stubDaemon) Confirm(_ context.Context, plan string, _ ConfirmRequest) (ConfirmResponse, *result.Error) {
	return ConfirmResponse{}, result.Errorf(result.UnknownPlan, "plan %q", plan)
}

func (stubDaemon) Config(context.Context) (ConfigResponse, *result.Error) {
	return ConfigResponse{}, nil
}

// newServers returns the three servers, which are not started, and their log.
func newServers(tb testing.TB) (servers []*server.Hertz, log *bytes.Buffer) {
	tb.Helper()
	hlog.SetOutput(io.Discard)
	log = new(bytes.Buffer)
	s := settings.Defaults()
	a := New(stubDaemon{}, &s, slog.New(slog.NewTextHandler(log, nil)))
	for _, build := range []func(net.Listener) *server.Hertz{a.CallerServer, a.MinionServer, a.OperatorServer} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(tb, err)
		tb.Cleanup(func() { l.Close() })
		servers = append(servers, build(l))
	}
	return servers, log
}

// Another writer's announcement may be nested deeply, or have a number or a port that is
// out of range.
func TestOddMinionAnnouncementsAreRefused(t *testing.T) {
	const valid = `"name":"m","worker":"w","rack":"r","failure_domain":"d","services":["s"],"slots":1,"connections":1,"address":"127.0.0.1:1"`
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	servers, _ := newServers(t)
	post := func(body string) int {
		w := ut.PerformRequest(servers[1].Engine, "POST", "/v1/minions", &ut.Body{Body: strings.NewReader(body), Len: len(body)})
		return w.Code
	}
	must.Eq(t, 200, post("{"+valid+"}"))
	for _, odd := range []string{
		`"services":` + nested, `"milli_cpu":9223372036854775807`, `"memory_mb":1e400`, `"accelerators":-1`, `"generation":18446744073709551615`,
		`"address":"127.0.0.1:99999"`, `"address":"127.0.0.1:0"`, `"address":"127.0.0.1"`, `"slots":1e30`, `"name":"` + strings.Repeat("n", 1<<20) + `"`,
	} {
		must.Eq(t, 400, post("{"+valid+","+odd+"}"), must.Sprintf("%.60s", odd))
	}
}

// FuzzHandlers sends arbitrary bodies to every path. No handler may panic, and each
// response must carry a known result code or have the HTTP status 200.
func FuzzHandlers(f *testing.F) {
	type request struct{ method, path, body string }
	for _, r := range []request{
		{"POST", "/v1/jobs", goodBody},
		{"POST", "/v1/jobs?wait=false", goodBody[:30]},
		{"POST", "/v1/jobs", `{"key":"k","team":"t","tasks":[{}]}`},
		{"GET", "/v1/jobs/t/k?wait=false", ""},
		{"DELETE", "/v1/jobs/t/k", "{}"},
		{"POST", "/v1/minions", `{"name":"m","worker":"w","rack":"r","failure_domain":"d","services":["s"],"slots":1,"connections":1,"address":"127.0.0.1:1"}`},
		{"POST", "/v1/minions", `{"services":null,"slots":-1}`},
		{"POST", "/v1/minions/heartbeat", `{"name":"m","generation":18446744073709551616}`},
		{"POST", "/v1/minions/leave", `{"name":"m","generation":1}`},
		{"GET", "/v1/status", ""},
		{"GET", "/v1/explain/t/k", ""},
		{"POST", "/v1/plans", `{"intent":"drain","minions":["m"]}`},
		{"POST", "/v1/plans/p/confirm", `{"command":"c","operator":"o"}`},
		{"POST", "/v1/plans/p/confirm", `{"command":"` + strings.Repeat("c", 200) + `"}`},
		{"GET", "/v1/config", ""},
		{"PATCH", "/nowhere", "x"},
	} {
		f.Add(r.method, r.path, []byte(r.body))
	}
	servers, log := newServers(f)
	f.Fuzz(func(t *testing.T, method, path string, body []byte) {
		if !strings.HasPrefix(path, "/v1/") || strings.ContainsAny(path, " \r\n\t") {
			t.Skip()
		}
		for _, s := range servers {
			log.Reset()
			w := ut.PerformRequest(s.Engine, method, path, &ut.Body{Body: bytes.NewReader(body), Len: len(body)})
			must.Eq(t, "", log.String())
			var answer struct{ Code *result.Code }
			if json.Unmarshal(w.Body.Bytes(), &answer) == nil && answer.Code != nil {
				_, known := result.Lookup(*answer.Code)
				must.True(t, known)
				continue
			}
			must.Eq(t, 200, w.Code, must.Sprintf("%s %s: %q", method, path, w.Body.Bytes()))
		}
	})
}
