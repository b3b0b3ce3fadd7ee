package link

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// A connection on which heartbeats are not acknowledged is reset. If it were only
// closed, its undelivered data could arrive after newer messages on the next
// connection.
func TestUnacknowledgedHeartbeatResetsConnection(t *testing.T) {
	far, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer far.Close()
	_, port, err := net.SplitHostPort(far.Addr().String())
	must.NoError(t, err)
	own, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	const ackTimeout = 50 * time.Millisecond
	m := NewDynamic(own, peer.Hello{Version: peer.Version, Host: "a", Incarnation: "i"},
		DynamicOptions{Port: port, OnClosed: func(string, membership.Incarnation) {}, DialTimeout: time.Second, AckTimeout: ackTimeout, IdleTimeout: time.Minute, RedialDelay: ackTimeout},
		func(string, membership.Incarnation, peer.Body) {}, func(string, error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { m.Run(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			m.Send("127.0.0.1", &peer.FleetHeartbeat{})
			time.Sleep(ackTimeout / 5)
		}
	})
	defer wg.Wait()
	defer cancel()
	conn := acceptHello(t, far)
	defer conn.Close()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	for err == nil {
		_, err = read(conn) // heartbeats are not acknowledged
	}
	must.ErrorIs(t, err, syscall.ECONNRESET)
}
