package daemon

import (
	"sync/atomic"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
)

// inForce publishes to the other duties what the configuration in force says
// about this host. Only the decision duty updates it.
type inForce struct {
	version   uint64 // last seen by the decision duty
	appliedAt atomic.Pointer[time.Time]
	drained   atomic.Bool
	stop      chan struct{} // closed when the configuration stops this process
	stopped   bool
}

func newInForce() *inForce { return &inForce{stop: make(chan struct{})} }

// update looks at the engine after a batch of inputs. A stop can't be taken
// back: the shutdown has begun.
func (f *inForce) update(now time.Time, e *engine.Engine) {
	if e.ConfigVersion() == f.version {
		return
	}
	f.version = e.ConfigVersion()
	f.drained.Store(e.Drained())
	if e.StopRequested() && !f.stopped {
		f.stopped = true
		close(f.stop)
	}
	f.appliedAt.Store(&now)
}

// age returns the time since the version in force was applied, zero before
// the first.
func (f *inForce) age(now time.Time) time.Duration {
	t := f.appliedAt.Load()
	if t == nil {
		return 0
	}
	return now.Sub(*t)
}
