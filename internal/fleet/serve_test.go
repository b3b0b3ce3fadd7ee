package fleet

import (
	"bytes"
	"compress/flate"
	"log/slog"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/queue"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/shoenig/test/must"
)

// An announcement or a notice of leaving that doesn't fit into the input ring must not
// be acknowledged.
func TestAnnouncementIsRefusedWhenInputRingIsFull(t *testing.T) {
	h := &Host{inputs: ring.New[func(time.Time)](1)}
	must.True(t, h.MinionLeft("a"))
	must.False(t, h.Announce(peer.MinionRecord{ID: "b"}))
	must.False(t, h.MinionLeft("a"))
}

// An announcement is acknowledged when the core has handled it, and not if it has no effect.
func TestAnnouncementIsAcknowledgedByTheCore(t *testing.T) {
	sim := newSimulation(simConfig{failureDomains: 1}, 1)
	c := sim.hosts[0]
	c.launch()
	h := &Host{inputs: ring.New[func(time.Time)](1), core: c.core}
	must.False(t, h.Announce(peer.MinionRecord{ID: "a"}), must.Sprint("the core doesn't run"))
	(<-h.inputs.C())(simStart)
	go func() {
		for range 3 {
			(<-h.inputs.C())(simStart)
		}
	}()
	must.True(t, h.Announce(peer.MinionRecord{ID: "a", Seq: 9}))
	must.False(t, h.Announce(peer.MinionRecord{ID: "a", Seq: 5, Draining: true}))
	must.True(t, h.Announce(peer.MinionRecord{ID: "a", Seq: 10, Draining: true}))
}

// Jobs that are refused before they reach the core are logged and counted like others.
func TestRefusalsAreLoggedAndCounted(t *testing.T) {
	var log bytes.Buffer
	h := &Host{log: slog.New(slog.NewJSONHandler(&log, nil)), metrics: newMetrics()}
	o := h.Refuse("j", "r", "q", "the host shuts down")
	must.Eq(t, peer.JobRefused, o.Outcome)
	must.StrContains(t, log.String(), `"event":2111`)
	must.StrContains(t, log.String(), `"reason":"the host shuts down"`)
	must.Eq(t, "1", h.metrics.answeredJobs.Get("q/3/the host shuts down").String())
}

// A request that arrives before the first document waits for it, for a limited time after
// the start of the process. Later it is not kept waiting.
func TestRequestsWaitForTheFirstDocument(t *testing.T) {
	begin := time.Now()
	h := &Host{startedAt: begin, documentKnown: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
	must.Nil(t, h.AwaitDocument(t.Context()))
	must.GreaterEq(t, firstDocumentPeriod, time.Since(begin))
	begin = time.Now()
	must.Nil(t, h.AwaitDocument(t.Context()))
	must.Less(t, firstDocumentPeriod/2, time.Since(begin))
	h.startedAt = time.Now()
	encoded, err := (&queue.Document{Version: 3}).Encode()
	must.NoError(t, err)
	var packed bytes.Buffer // compressed, as control hosts store documents
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	must.NoError(t, err)
	_, err = w.Write(encoded)
	must.NoError(t, err)
	must.NoError(t, w.Close())
	go func() {
		time.Sleep(firstDocumentPeriod / 10)
		h.apply(&peer.ConfigRecord{Version: 1, Document: packed.Bytes()})
	}()
	d := h.AwaitDocument(t.Context())
	must.NotNil(t, d)
	must.Eq(t, 3, d.Version)
}
