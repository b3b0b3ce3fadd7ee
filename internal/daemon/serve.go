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

// listeners are the open sockets of a daemon.
type listeners struct {
	callers, minions, operators, peers net.Listener
}

func listen(l settings.Listen) (listeners, error) {
	var out listeners
	for _, x := range []struct {
		address string
		into    *net.Listener
	}{{l.Callers, &out.callers}, {l.Minions, &out.minions}, {l.Operators, &out.operators}, {l.Peers, &out.peers}} {
		ln, err := net.Listen("tcp", x.address)
		if err != nil {
			out.close()
			return listeners{}, errors.Wrap(err, "listen")
		}
		*x.into = ln
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

// startServers returns when every server answers: the HTTP library forgets a
// shutdown that comes before its loop runs.
func (d *Daemon) startServers(duties context.Context) error {
	for _, s := range d.servers {
		d.wg.Go(func() { d.serve(duties, s) })
	}
	for _, l := range []net.Listener{d.listeners.callers, d.listeners.minions, d.listeners.operators} {
		if err := awaitAnswer(l.Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

const (
	answerTimeout = 10 * time.Second
	answerPoll    = time.Millisecond
)

// awaitAnswer waits until the server at the address answers its health check.
func awaitAnswer(address string) error {
	c, err := client.NewClient(client.WithDialTimeout(answerTimeout), client.WithKeepAlive(false))
	if err != nil {
		return errors.Wrap(err, "health check")
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	for {
		_, _, err = c.Get(ctx, nil, "http://"+address+api.PathHealth)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(err, "no answer at %s", address)
		}
		time.Sleep(answerPoll)
	}
}

func (d *Daemon) serve(duties context.Context, s *server.Hertz) {
	if err := s.Run(); err != nil && duties.Err() == nil {
		event.Log(duties, d.log, event.ServerFailed, slog.String("error", err.Error()))
	}
}
