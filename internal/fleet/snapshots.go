package fleet

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/store"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// A control host keeps the minions that it knows on its disk. After a restart of all
// control hosts, entry hosts then know their minions at once, instead of when each has
// announced itself again. The file is a hint: it may be old or missing.
const (
	minionsFile      = "minions" // []peer.MinionRecord in msgpack
	snapshotInterval = time.Second
)

// restoreMinions adds the minions of the snapshot to the roster.
func (h *Host) restoreMinions(s *store.Store) {
	payload, err := s.Load(minionsFile)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var records []peer.MinionRecord
	if err == nil {
		err = msgpack.Unmarshal(payload, &records)
	}
	if err != nil {
		h.logEvent(event.MinionsUnreadable, slog.String("error", err.Error()))
		return
	}
	n := h.core.roster.Restore(records)
	h.logEvent(event.MinionsRestored, slog.Int("minions", n))
}

// saveMinions saves the minions when they have changed, until ctx ends or a write fails.
func (h *Host) saveMinions(ctx context.Context, s *store.Store) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	saved := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		records := make(chan []peer.MinionRecord, 1)
		version := saved
		ok := h.enqueue(func(time.Time) {
			if v := h.core.roster.MinionsVersion(); v != saved {
				version = v
				records <- h.core.roster.Snapshot()
			}
			close(records)
		})
		if !ok {
			continue
		}
		select {
		case <-h.done:
			return
		case r := <-records:
			if r == nil {
				continue
			}
			if err := saveRecords(s, r); err != nil {
				h.logEvent(event.MinionsNotSaved, slog.String("error", err.Error()))
				return
			}
			saved = version
		}
	}
}

func saveRecords(s *store.Store, records []peer.MinionRecord) error {
	payload, err := msgpack.Marshal(records)
	if err != nil {
		return errors.WithStack(err)
	}
	return s.Save(minionsFile, payload)
}
