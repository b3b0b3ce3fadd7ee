package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/pkg/errors"
)

func (m *Mesh) accept(ctx context.Context) {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(firstRedialDelay) // most likely out of file descriptors
			continue
		}
		m.wg.Go(func() { m.serve(ctx, conn) })
	}
}

// serve receives the messages of one inbound connection.
func (m *Mesh) serve(ctx context.Context, conn net.Conn) {
	m.track(conn)
	defer m.untrack(conn)
	r := bufio.NewReaderSize(conn, readBufferBytes)
	hello, err := m.readHello(conn, r)
	if err != nil {
		m.reject(conn.RemoteAddr().String(), err)
		return
	}
	defer m.reportClosed(ctx, hello)
	var ackedAt time.Time
	for ctx.Err() == nil {
		payload, err := readPayload(conn, r)
		if err != nil {
			return
		}
		b, err := peer.Decode(payload)
		if err != nil {
			m.refuse(hello.Host, payload, err)
			continue
		}
		m.traffic.received(b.Kind(), len(payload))
		if m.dynamic != nil && expectsAck(b) && time.Since(ackedAt) >= m.dynamic.AckTimeout/acksPerTimeout {
			ackedAt = time.Now()
			if _, err := conn.Write(heartbeatAck); err != nil {
				return
			}
		}
		m.receive(hello.Host, hello.Incarnation, b)
	}
}

func (m *Mesh) readHello(conn net.Conn, r io.Reader) (*peer.Hello, error) {
	b, err := read(conn, r)
	if err != nil {
		return nil, err
	}
	h, ok := b.(*peer.Hello)
	if !ok {
		return nil, errors.Errorf("link: first message has kind %d, want a hello", b.Kind())
	}
	if h.Version != peer.Version {
		return nil, errors.Errorf("link: peer has protocol version %d, want %d", h.Version, peer.Version)
	}
	if m.dynamic == nil && !m.isPeer(h) {
		return nil, errors.Errorf("link: unknown host %q of failure domain %q", h.Host, h.FailureDomain)
	}
	return h, nil
}

// isPeer reports whether the hello names a configured peer and its failure domain.
func (m *Mesh) isPeer(h *peer.Hello) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.peers[h.Host]
	return o != nil && o.host.FailureDomain == h.FailureDomain
}

// refuse drops a message that can't be decoded. The connection stays: closing it would lose
// what else is under way on it, of other jobs too, and the sender would repeat the message
// on the next one.
func (m *Mesh) refuse(from string, payload []byte, err error) {
	if len(payload) > 0 {
		m.traffic.refused(peer.Kind(payload[0]))
	}
	if m.dynamic != nil && m.dynamic.OnRefused != nil {
		m.dynamic.OnRefused(from, err)
	}
}

// read reads one message from r, which reads from conn.
func read(conn net.Conn, r io.Reader) (peer.Body, error) {
	payload, err := readPayload(conn, r)
	if err != nil {
		return nil, err
	}
	return peer.Decode(payload)
}

// readPayload reads the payload of one message from r, which reads from conn.
func readPayload(conn net.Conn, r io.Reader) ([]byte, error) {
	if err := conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return nil, errors.WithStack(err)
	}
	return peer.ReadFrame(r)
}

func (m *Mesh) track(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inbound[conn] = struct{}{}
}

func (m *Mesh) untrack(conn net.Conn) {
	conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inbound, conn)
}

func (m *Mesh) closeInbound() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for conn := range m.inbound {
		conn.Close()
	}
}
