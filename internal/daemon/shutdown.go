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

// shutdown stops the host in the order in which a request passes through it: it
// stops accepting jobs and waits for those in progress, shuts down the servers,
// ends the goroutines that Run started, by calling stopRun, and closes the sender.
func (d *Daemon) shutdown(stopRun context.CancelFunc) {
	background := context.Background()
	event.Log(background, d.log, event.StopRequested, slog.String("host", d.settings.Host))
	d.ready.Store(false)
	deadline := time.Now().Add(settings.Millis(d.settings.Timing.StopTimeoutMS))
	_ = d.runInCore(func(e *engine.Engine, _ time.Time) { e.Stop() })
	time.Sleep(settings.Millis(d.settings.Timing.StopLingerMS)) // until load balancers have seen that the host is not ready
	if !d.waitShutdownComplete(deadline) {
		event.Log(background, d.log, event.StopTimedOut, slog.String("host", d.settings.Host))
	}
	ctx, cancel := context.WithTimeout(background, max(time.Until(deadline), time.Second))
	defer cancel()
	d.closeServers(ctx)
	stopRun()
	d.wg.Wait()
	d.sender.close()
}

// closeServers shuts all servers down concurrently, because each waits for its
// idle connections for up to the exit wait of the HTTP library.
func (d *Daemon) closeServers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range d.servers {
		wg.Go(func() { _ = s.Shutdown(ctx) }) // an error means that ctx ended first; the process exits in any case
	}
	wg.Wait()
}

const shutdownPollInterval = 10 * time.Millisecond

// waitShutdownComplete waits until the engine has completed its graceful stop. It
// returns false when the deadline passes first.
func (d *Daemon) waitShutdownComplete(deadline time.Time) bool {
	for {
		complete := false
		if err := d.runInCore(func(e *engine.Engine, _ time.Time) { complete = e.ShutdownComplete() }); err == nil && complete {
			return true
		}
		if !time.Now().Before(deadline) {
			return false
		}
		time.Sleep(shutdownPollInterval)
	}
}
