package daemon

import (
	"sync/atomic"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
)

// appliedConfig publishes to other goroutines what the applied configuration says
// about this host. Only the core goroutine calls update.
type appliedConfig struct {
	lastVersion   uint64                    // version at the last update; used by the core goroutine only
	appliedAt     atomic.Pointer[time.Time] // nil before the first version
	drained       atomic.Bool
	stopRequested chan struct{} // closed when the configuration requests a stop of this process
	stopSignaled  bool          // stopRequested is closed
}

func newAppliedConfig() *appliedConfig { return &appliedConfig{stopRequested: make(chan struct{})} }

// update publishes the state of the engine if its configuration version has
// changed. A later version can't revoke a stop, because the shutdown has begun.
func (f *appliedConfig) update(now time.Time, e *engine.Engine) {
	if e.ConfigVersion() == f.lastVersion {
		return
	}
	f.lastVersion = e.ConfigVersion()
	f.drained.Store(e.Drained())
	if e.StopRequested() && !f.stopSignaled {
		f.stopSignaled = true
		close(f.stopRequested)
	}
	f.appliedAt.Store(&now)
}

// age returns the time since the current version was applied, or zero if none
// was applied yet.
func (f *appliedConfig) age(now time.Time) time.Duration {
	t := f.appliedAt.Load()
	if t == nil {
		return 0
	}
	return now.Sub(*t)
}
