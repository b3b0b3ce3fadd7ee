package api

import (
	"net"
	"sync"
	"sync/atomic"
)

// boundedListener closes connections beyond a bound as soon as they are
// accepted, so that those in use go on. A caller takes that for a refused
// connection: nothing of its request was read.
type boundedListener struct {
	net.Listener
	bound   int64
	open    atomic.Int64
	refused func(remote net.Addr)
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.bound {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused(conn.RemoteAddr())
		conn.Close()
	}
}

// countedConn gives its place back when it is closed.
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
