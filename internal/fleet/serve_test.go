package fleet

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/shoenig/test/must"
)

// An announcement that finds no room is not taken for heard.
func TestAnnouncementWithoutRoomIsNotTaken(t *testing.T) {
	h := &Host{inputs: ring.New[func(time.Time)](1)}
	must.True(t, h.Announce(peer.MinionRecord{ID: "a"}))
	must.False(t, h.Announce(peer.MinionRecord{ID: "b"}))
	must.False(t, h.Gone("a"))
}

// A refusal that no decision is made about is logged and counted like others.
func TestRefusalsAreLogged(t *testing.T) {
	var log bytes.Buffer
	h := &Host{log: slog.New(slog.NewJSONHandler(&log, nil)), metrics: newMetrics()}
	o := h.Refuse("j", "r", "q", "the host shuts down")
	must.Eq(t, peer.JobRefused, o.Outcome)
	must.StrContains(t, log.String(), `"event":2111`)
	must.StrContains(t, log.String(), `"reason":"the host shuts down"`)
	must.Eq(t, "1", h.metrics.jobs.Get("q/3/the host shuts down").String())
}
