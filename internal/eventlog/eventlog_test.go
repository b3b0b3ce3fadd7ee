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

func run(l *Log) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	return func() {
		cancel()
		l.Wait()
	}
}

// Many lines of one event leave room for the others, and are counted.
func TestOneEventDoesNotPushOutOthers(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, slog.LevelInfo)
	stop := run(l)
	for range 5000 {
		event.Log(context.Background(), l.Logger, event.PoolMinionHeld)
	}
	event.Log(context.Background(), l.Logger, event.PoolLeaseLapsed, slog.String("minion", "m"))
	time.Sleep(tellEvery + 3*writeEvery)
	stop()
	must.StrContains(t, out.String(), `"minion":"m"`)
	must.Less(t, 1000, strings.Count(out.String(), "minion held"))
	must.StrContains(t, out.String(), `"by_event":{"3104":`)
	must.Eq(t, "5000", l.Counts().Get("3104").String())
}

// A reader that has stopped reading does not stop the writers of lines.
func TestBlockedOutputDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	l := New(w, slog.LevelInfo)
	stop := run(l)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * ringLines {
			if _, err := (sink{l}).Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("blocked")
	}
	must.Positive(t, l.Dropped())
	go func() { _, _ = io.Copy(io.Discard, r) }()
	stop()
}
