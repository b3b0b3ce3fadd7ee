package api

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// A connection beyond the limit is closed before anything is read from it. Closing
// an accepted connection twice must make room for only one other.
func TestConnectionsBeyondLimitAreClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	refused := make(chan net.Addr, 1)
	b := &boundedListener{Listener: l, maxOpen: 1, onRefused: func(a net.Addr) { refused <- a }}
	defer b.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	dial()
	first, err := b.Accept()
	must.NoError(t, err)
	second := dial()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := b.Accept()
		accepted <- c
	}()
	must.Eq(t, second.LocalAddr().String(), (<-refused).String())
	_, err = second.Read(make([]byte, 1))
	must.Error(t, err)
	must.NoError(t, first.Close())
	_ = first.Close()
	third := dial()
	must.Eq(t, third.LocalAddr().String(), (<-accepted).RemoteAddr().String())
	must.Eq(t, 1, b.open.Load())
}
