package api

import (
	"net"
	"sync"
	"sync/atomic"
)

// boundedListener closes each connection beyond maxOpen as soon as it is accepted,
// so that the open ones keep working. To the caller this is a refused connection:
// nothing of its request was read.
type boundedListener struct {
	net.Listener
	maxOpen   int64
	open      atomic.Int64
	onRefused func(remote net.Addr)
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxOpen {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.onRefused(conn.RemoteAddr())
		conn.Close()
	}
}

// countedConn is counted in its listener's open connections until it is closed.
type countedConn struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
