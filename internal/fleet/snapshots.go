package fleet

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/roster"
	"github.com/laburnumwalk/laburnumwalk/internal/store"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// A control host keeps the minions and cell layouts that it knows on its disk. After a
// restart of all control hosts, entry hosts then know them at once, instead of when each
// minion has announced itself again. The file is a hint: it may be old or missing.
const (
	snapshotFile     = "roster" // a roster.Snapshot in msgpack
	snapshotInterval = time.Second
)

// restoreRoster adds the content of the saved snapshot to the roster.
func (h *Host) restoreRoster(s *store.Store) {
	payload, err := s.Load(snapshotFile)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var saved roster.Snapshot
	if err == nil {
		err = msgpack.Unmarshal(payload, &saved)
	}
	if err != nil {
		h.logEvent(event.MinionsUnreadable, slog.String("error", err.Error()))
		return
	}
	n := h.core.roster.Restore(&saved)
	h.logEvent(event.MinionsRestored, slog.Int("minions", n))
}

// saveRoster saves a snapshot when the roster has changed, until ctx ends. After a failed
// write it tries again; of several failures in a row only the first is logged.
func (h *Host) saveRoster(ctx context.Context, s *store.Store) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	saved, failing := uint64(0), false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot := make(chan *roster.Snapshot, 1)
		version := saved
		ok := h.enqueue(func(time.Time) {
			if v := h.core.roster.SnapshotVersion(); v != saved {
				version = v
				snapshot <- h.core.roster.Snapshot()
			}
			close(snapshot)
		})
		if !ok {
			continue
		}
		select {
		case <-h.done:
			return
		case r := <-snapshot:
			if r == nil {
				continue
			}
			err := writeSnapshot(s, r)
			if err != nil && !failing {
				h.logEvent(event.MinionsNotSaved, slog.String("error", err.Error()))
			}
			if failing = err != nil; !failing {
				saved = version
			}
		}
	}
}

func writeSnapshot(s *store.Store, r *roster.Snapshot) error {
	payload, err := msgpack.Marshal(r)
	if err != nil {
		return errors.WithStack(err)
	}
	return s.Save(snapshotFile, payload)
}
