package daemon

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/pkg/errors"
)

// listeners are the listening sockets of a daemon.
type listeners struct {
	callers, minions, operators, peers net.Listener
}

// listen opens the listeners at the addresses of the settings.
func listen(l settings.Listen) (listeners, error) {
	var out listeners
	for _, x := range []struct {
		address string
		target  *net.Listener
	}{{l.Callers, &out.callers}, {l.Minions, &out.minions}, {l.Operators, &out.operators}, {l.Peers, &out.peers}} {
		ln, err := net.Listen("tcp", x.address)
		if err != nil {
			out.close()
			return listeners{}, errors.Wrap(err, "listen")
		}
		*x.target = ln
	}
	return out, nil
}

func (l listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.minions, l.operators, l.peers} {
		if ln != nil {
			ln.Close()
		}
	}
}

// startServers starts the servers and returns when each answers its health check.
// Without this wait a shutdown could be lost: the HTTP library ignores a shutdown
// that is requested before the server's accept loop runs.
func (d *Daemon) startServers(runCtx context.Context) error {
	for _, s := range d.servers {
		d.wg.Go(func() { d.serve(runCtx, s) })
	}
	for _, l := range []net.Listener{d.listeners.callers, d.listeners.minions, d.listeners.operators} {
		if err := waitHealthy(l.Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

const (
	healthTimeout      = 10 * time.Second
	healthPollInterval = time.Millisecond
)

// waitHealthy waits until the server at address answers its health check, at most
// for healthTimeout.
func waitHealthy(address string) error {
	c, err := client.NewClient(client.WithDialTimeout(healthTimeout), client.WithKeepAlive(false))
	if err != nil {
		return errors.Wrap(err, "health check")
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	for {
		_, _, err = c.Get(ctx, nil, "http://"+address+api.PathHealth)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(err, "health check: no answer from %s", address)
		}
		time.Sleep(healthPollInterval)
	}
}

// serve runs the server s. An error is logged unless runCtx has ended.
func (d *Daemon) serve(runCtx context.Context, s *server.Hertz) {
	if err := s.Run(); err != nil && runCtx.Err() == nil {
		event.Log(runCtx, d.log, event.ServerFailed, slog.String("error", err.Error()))
	}
}
