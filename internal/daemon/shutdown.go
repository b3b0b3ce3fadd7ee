package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
)

// shutdown stops the duties in the order of the path of a request.
func (d *Daemon) shutdown(stopDuties context.CancelFunc) {
	log := context.Background()
	event.Log(log, d.log, event.StopRequested, slog.String("host", d.settings.Host))
	d.ready.Store(false)
	deadline := time.Now().Add(settings.Millis(d.settings.Timing.StopTimeoutMS))
	_ = d.query(func(e *engine.Engine, _ time.Time) { e.Stop() })
	time.Sleep(settings.Millis(d.settings.Timing.StopLingerMS)) // the balancer notices
	if !d.waitIdle(deadline) {
		event.Log(log, d.log, event.StopTimedOut, slog.String("host", d.settings.Host))
	}
	ctx, cancel := context.WithTimeout(log, max(time.Until(deadline), time.Second))
	defer cancel()
	d.closeServers(ctx)
	stopDuties()
	d.wg.Wait()
	d.sender.close()
}

// closeServers closes all listeners at once: each waits for its idle
// connections for up to the HTTP library's exit wait.
func (d *Daemon) closeServers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range d.servers {
		wg.Go(func() { _ = s.Shutdown(ctx) }) // ctx bounds it; the process ends anyway
	}
	wg.Wait()
}

const idlePoll = 10 * time.Millisecond

func (d *Daemon) waitIdle(deadline time.Time) bool {
	for {
		idle := false
		if err := d.query(func(e *engine.Engine, _ time.Time) { idle = e.ShutdownComplete() }); err == nil && idle {
			return true
		}
		if !time.Now().Before(deadline) {
			return false
		}
		time.Sleep(idlePoll)
	}
}
