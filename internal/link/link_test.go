package link

import (
	"context"
	"net"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// What was queued while a peer was down is not sent to it later: a lease would
// count from its arrival.
func TestMessagesForAPeerThatWasDownAreDropped(t *testing.T) {
	far, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer far.Close()
	near, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	peers := []membership.Host{{Name: "far", Address: far.Addr().String()}}
	m := New(near, peer.Hello{Version: peer.Version, Host: "near"}, peers, nil, nil)
	must.True(t, m.Send("far", &peer.MinionLeave{Name: "old"}))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	conn, err := far.Accept()
	must.NoError(t, err)
	defer conn.Close()
	hello, err := read(conn)
	must.NoError(t, err)
	must.Eq(t, peer.KindHello, hello.Kind())
	must.True(t, m.Send("far", &peer.MinionLeave{Name: "new"}))
	got, err := read(conn)
	must.NoError(t, err)
	must.Eq(t, peer.Body(&peer.MinionLeave{Name: "new"}), got)
}
