package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
)

// network stands for the links between the hosts: each host is reached through a proxy.
// A zone that is cut off has its connections to other zones reset, and new ones refused.
type network struct {
	mu    sync.Mutex
	hosts []*host
	cut   string // zone that is cut off; empty: none
	conns map[*hostConn]bool
}

// hostConn is one connection between two hosts.
type hostConn struct {
	from, to         *host
	incoming, onward net.Conn
}

// connect starts the proxy of a host.
func (n *network) connect(h *host, address, target string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.forward(h, c, target)
		}
	}()
	return nil
}

// forward forwards one connection, unless it crosses a cut.
func (n *network) forward(to *host, c net.Conn, target string) {
	// The first message names the host that has connected.
	hello, from := n.readHello(c)
	if from == nil || n.crossesCut(from, to) {
		reset(c)
		return
	}
	s, err := net.Dial("tcp", target)
	if err != nil {
		reset(c)
		return
	}
	x := &hostConn{from, to, c, s}
	n.mu.Lock()
	n.conns[x] = true
	n.mu.Unlock()
	if n.crossesCut(from, to) {
		x.reset()
	}
	_, _ = s.Write(hello) // a failure ends the copies below, too
	go pipe(s, c)
	pipe(c, s)
	n.mu.Lock()
	delete(n.conns, x)
	n.mu.Unlock()
}

// readHello reads the first message and returns it with the host that it names.
func (n *network) readHello(c net.Conn) ([]byte, *host) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(c, head); err != nil || binary.BigEndian.Uint32(head) > 4096 {
		return nil, nil
	}
	body := make([]byte, binary.BigEndian.Uint32(head))
	if _, err := io.ReadFull(c, body); err != nil {
		return nil, nil
	}
	for _, h := range n.hosts {
		// msgpack's encoding of a short string begins with its length
		if bytes.Contains(body, append([]byte{0xa0 | byte(len(h.ip))}, h.ip...)) {
			return append(head, body...), h
		}
	}
	return nil, nil
}

func (n *network) crossesCut(a, b *host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != "" && a.zone != b.zone && (a.zone == n.cut || b.zone == n.cut)
}

// cutZone cuts a zone off; an empty name ends the cut.
func (n *network) cutZone(zone string) {
	n.mu.Lock()
	n.cut = zone
	var all []*hostConn
	for x := range n.conns {
		all = append(all, x)
	}
	n.mu.Unlock()
	for _, x := range all {
		if n.crossesCut(x.from, x.to) {
			x.reset()
		}
	}
}

func (x *hostConn) reset() {
	reset(x.incoming)
	reset(x.onward)
}

// pipe copies one direction and closes both connections when it ends.
func pipe(to, from net.Conn) {
	_, _ = io.Copy(to, from) // the end of a connection is all that matters
	to.Close()
	from.Close()
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails if the connection has ended
	}
	c.Close()
}
