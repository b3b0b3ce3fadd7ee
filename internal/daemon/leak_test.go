package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

// hertzGoroutines are goroutines that the HTTP library runs once per process, not
// per daemon: the poller, the updater of the Date header, and connection cleaners
// that end 10 s after the last connection of their client.
var hertzGoroutines = []goleak.Option{
	goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/app/client.(*Client).cleaner"),
	goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol/http1.(*HostClient).connsCleaner"),
	goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"),
	goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"),
}

// A daemon that has served requests must end all its goroutines when it stops.
func TestStopLeaksNoGoroutines(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	s := settings.Defaults()
	s.Host, s.FailureDomain, s.Region = "h", "d", "r"
	any := "127.0.0.1:0"
	s.Listen = settings.Listen{Callers: any, Minions: any, Operators: any, Peers: any}
	s.Traces.File = filepath.Join(t.TempDir(), "spans")
	s.Traces.SampleRate = 1
	d, err := New(s, slog.New(slog.NewJSONHandler(io.Discard, nil)))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(ctx) }()
	client := &http.Client{}
	body, err := json.Marshal(api.SubmitRequest{
		Key: "k", Attempt: 1, Team: "t", Service: "none", DeadlineMS: 100,
		SubmittedAtMS: time.Now().UnixMilli(), Tasks: make([]api.TaskBody, 1),
	})
	must.NoError(t, err)
	for range 3 {
		resp, err := client.Post("http://"+d.listeners.callers.Addr().String()+"/v1/jobs", "application/json", bytes.NewReader(body))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
	}
	client.CloseIdleConnections()
	cancel()
	must.NoError(t, <-stopped)
	must.NoError(t, goleak.Find(append(hertzGoroutines, ignore)...))
}
