// Package link keeps the TCP connections between hosts. Each host dials every
// peer and sends on that connection only; it receives on the connections that
// peers dialled. A message to a peer that is down or slow is dropped: the
// decision packages repeat what matters.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/pkg/errors"
)

const (
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// readTimeout bounds the silence on an inbound connection; heartbeats are
	// far more frequent.
	readTimeout  = 10 * time.Second
	maxRedial    = time.Second
	firstRedial  = 50 * time.Millisecond
	outboundSize = 1024 // messages queued per peer
)

// Receiver gets each message of a peer, in the order of its connection.
type Receiver func(from string, inc membership.Incarnation, b peer.Body)

// Rejecter is told of each inbound connection that was refused.
type Rejecter func(remote string, err error)

// Mesh holds the connections of one host.
type Mesh struct {
	hello    peer.Hello
	known    map[string]membership.Host
	out      map[string]*ring.Ring[peer.Body]
	receive  Receiver
	reject   Rejecter
	listener net.Listener

	mu      sync.Mutex
	inbound map[net.Conn]struct{}
	wg      sync.WaitGroup
}

// New returns a Mesh on an open listener.
func New(l net.Listener, self peer.Hello, peers []membership.Host, receive Receiver, reject Rejecter) *Mesh {
	m := &Mesh{
		hello:    self,
		known:    make(map[string]membership.Host, len(peers)),
		out:      make(map[string]*ring.Ring[peer.Body], len(peers)),
		receive:  receive,
		reject:   reject,
		listener: l,
		inbound:  make(map[net.Conn]struct{}),
	}
	for _, p := range peers {
		m.known[p.Name] = p
		m.out[p.Name] = ring.New[peer.Body](outboundSize)
	}
	return m
}

// Run accepts and dials until ctx ends, then closes every connection.
func (m *Mesh) Run(ctx context.Context) {
	for name, out := range m.out {
		address := m.known[name].Address
		m.wg.Go(func() { m.dialLoop(ctx, address, out) })
	}
	m.wg.Go(func() { m.accept(ctx) })
	<-ctx.Done()
	m.listener.Close()
	m.closeInbound()
	m.wg.Wait()
}

// Send queues b for the peer and reports whether there was room.
func (m *Mesh) Send(to string, b peer.Body) bool {
	out := m.out[to]
	return out != nil && out.TryPush(b)
}

// Dropped returns the number of messages refused by full rings.
func (m *Mesh) Dropped() uint64 {
	var n uint64
	for _, out := range m.out {
		n += out.Refused()
	}
	return n
}

func (m *Mesh) dialLoop(ctx context.Context, address string, out *ring.Ring[peer.Body]) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = firstRedial
	delay.MaxInterval = maxRedial
	dialer := net.Dialer{Timeout: dialTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			delay.Reset()
			drain(out)
			m.sendLoop(ctx, conn, out)
			conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// drain drops what was queued while the peer could not be reached: by now it
// would mislead, such as a lease that counts from its arrival.
func drain(out *ring.Ring[peer.Body]) {
	for range outboundSize {
		select {
		case <-out.C():
		default:
			return
		}
	}
}

func (m *Mesh) sendLoop(ctx context.Context, conn net.Conn, out *ring.Ring[peer.Body]) {
	if err := write(conn, &m.hello); err != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-out.C():
			if err := write(conn, b); err != nil {
				return
			}
		}
	}
}

func write(conn net.Conn, b peer.Body) error {
	payload, err := peer.Encode(b)
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.WithStack(err)
	}
	return peer.WriteFrame(conn, payload)
}

func (m *Mesh) accept(ctx context.Context) {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(firstRedial) // out of descriptors, most likely
			continue
		}
		m.wg.Go(func() { m.serve(ctx, conn) })
	}
}

func (m *Mesh) serve(ctx context.Context, conn net.Conn) {
	m.track(conn)
	defer m.untrack(conn)
	hello, err := m.readHello(conn)
	if err != nil {
		m.reject(conn.RemoteAddr().String(), err)
		return
	}
	for ctx.Err() == nil {
		b, err := read(conn)
		if err != nil {
			return
		}
		m.receive(hello.Host, hello.Incarnation, b)
	}
}

func (m *Mesh) readHello(conn net.Conn) (*peer.Hello, error) {
	b, err := read(conn)
	if err != nil {
		return nil, err
	}
	h, ok := b.(*peer.Hello)
	if !ok {
		return nil, errors.Errorf("link: first message is kind %d, not a hello", b.Kind())
	}
	if h.Version != peer.Version {
		return nil, errors.Errorf("link: protocol version %d, want %d", h.Version, peer.Version)
	}
	if known, ok := m.known[h.Host]; !ok || known.FailureDomain != h.FailureDomain {
		return nil, errors.Errorf("link: unknown host %q of failure domain %q", h.Host, h.FailureDomain)
	}
	return h, nil
}

func read(conn net.Conn) (peer.Body, error) {
	if err := conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return nil, errors.WithStack(err)
	}
	payload, err := peer.ReadFrame(conn)
	if err != nil {
		return nil, err
	}
	return peer.Decode(payload)
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
