package eventlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/shoenig/test/must"
)

func startWriter(l *Log) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	return func() {
		cancel()
		l.Wait()
	}
}

// A frequent event must not displace the lines of others; its dropped lines are
// reported and all its occurrences counted.
func TestOneEventDoesNotPushOutOthers(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, slog.LevelInfo)
	stop := startWriter(l)
	for range 5000 {
		event.Log(context.Background(), l.Logger, event.PoolMinionReachable)
	}
	event.Log(context.Background(), l.Logger, event.PoolLeaseExpired, slog.String("minion", "m"))
	time.Sleep(reportEvery + 3*writeEvery)
	stop()
	must.StrContains(t, out.String(), `"minion":"m"`)
	must.Less(t, 1000, strings.Count(out.String(), "minion reachable"))
	must.StrContains(t, out.String(), `"by_event":{"3104":`)
	must.Eq(t, "5000", l.Counts().Get("3104").String())
}

// A reader of the log that stops reading must not block the code that logs.
func TestBlockedOutputDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	l := New(w, slog.LevelInfo)
	stop := startWriter(l)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * ringSize {
			if _, err := (sink{l}).Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked although nothing reads the log")
	}
	must.Positive(t, l.Dropped())
	go func() { _, _ = io.Copy(io.Discard, r) }()
	stop()
}
