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
	receive  Receiver
	reject   Rejecter
	listener net.Listener

	open *OpenOptions // nil: only the configured peers

	mu      sync.Mutex
	ctx     context.Context // nil until Run
	peers   map[string]*outbound
	inbound map[net.Conn]struct{}
	dropped uint64 // by the rings of removed peers, or for their size
	wg      sync.WaitGroup
}

// outbound is the sending side towards one peer.
type outbound struct {
	host   membership.Host
	ring   *ring.Ring[peer.Body]
	cancel context.CancelFunc // nil until the connection's goroutine runs
	beat   unanswered
}

// New returns a Mesh on an open listener.
func New(l net.Listener, self peer.Hello, peers []membership.Host, receive Receiver, reject Rejecter) *Mesh {
	m := &Mesh{
		hello:    self,
		peers:    make(map[string]*outbound, len(peers)),
		receive:  receive,
		reject:   reject,
		listener: l,
		inbound:  make(map[net.Conn]struct{}),
	}
	m.SetPeers(peers)
	return m
}

// SetPeers replaces the peers: connections to removed ones are closed, those
// to added ones are dialled.
func (m *Mesh) SetPeers(peers []membership.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]*outbound, len(peers))
	for _, h := range peers {
		if o := m.peers[h.Name]; o != nil && o.host == h {
			next[h.Name] = o
			continue
		}
		o := &outbound{host: h, ring: ring.New[peer.Body](outboundSize)}
		next[h.Name] = o
		m.dial(o)
	}
	for name, o := range m.peers {
		if next[name] != o {
			m.drop(o)
		}
	}
	m.peers = next
}

// dial starts the sending goroutine, once Run has been called.
func (m *Mesh) dial(o *outbound) {
	if m.ctx == nil || m.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	o.cancel = cancel
	m.wg.Go(func() { m.dialLoop(ctx, o.host.Address, o.ring) })
}

func (m *Mesh) drop(o *outbound) {
	m.dropped += o.ring.Refused()
	if o.cancel != nil {
		o.cancel()
	}
}

// Run accepts and dials until ctx ends, then closes every connection.
func (m *Mesh) Run(ctx context.Context) {
	m.start(ctx)
	m.wg.Go(func() { m.accept(ctx) })
	<-ctx.Done()
	m.listener.Close()
	m.closeInbound()
	m.wg.Wait()
}

func (m *Mesh) start(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ctx = ctx
	for _, o := range m.peers {
		m.dial(o)
	}
}

// Send queues b for the peer and reports whether there was room.
func (m *Mesh) Send(to string, b peer.Body) bool {
	m.mu.Lock()
	o := m.peers[to]
	if o == nil && m.open != nil {
		o = m.reach(to)
	}
	m.mu.Unlock()
	return o != nil && o.ring.TryPush(b)
}

// Dropped returns the number of messages that were refused by full rings or
// are too large for a frame.
func (m *Mesh) Dropped() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.dropped
	for _, o := range m.peers {
		n += o.ring.Refused()
	}
	return n
}

func (m *Mesh) dialLoop(ctx context.Context, address string, out *ring.Ring[peer.Body]) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = firstRedial
	delay.MaxInterval = maxRedial
	dialer := net.Dialer{Timeout: dialTimeout}
	lost := false
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			begin := time.Now()
			if lost {
				dropLeases(out)
			}
			m.sendLoop(ctx, conn, out, nil, nil)
			conn.Close()
			if time.Since(begin) > maxRedial {
				delay.Reset() // it was not rejected at once
			}
		}
		lost = true
		select {
		case <-ctx.Done():
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// dropLeases drops the queued messages with leases: they count from their
// arrival, and were queued before the peer could be reached again.
func dropLeases(out *ring.Ring[peer.Body]) {
	for range out.Len() {
		select {
		case b := <-out.C():
			if !carriesLeases(b) {
				out.TryPush(b)
			}
		default:
			return
		}
	}
}

func carriesLeases(b peer.Body) bool {
	switch b.(type) {
	case *peer.Heartbeat, *peer.MinionUpdate:
		return true
	}
	return false
}

// sendLoop sends until the connection ends. Where beat is set, it also ends
// when beats stay without an answer; where idle is set, when nothing was sent
// for a while, and returns true.
func (m *Mesh) sendLoop(ctx context.Context, conn net.Conn, out *ring.Ring[peer.Body], beat *unanswered, idle *idleTimer) (wasIdle bool) {
	if err := write(conn, &m.hello); err != nil {
		return false
	}
	closed := watch(conn, beat)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-closed:
			return false
		case <-idle.c():
			return true
		case b := <-out.C():
			idle.touch()
			if beat != nil && answered(b) && beat.sent(time.Now()) > m.open.AnswerTimeout {
				discard(conn)
				return false
			}
			err := write(conn, b)
			if errors.Is(err, peer.ErrTooLarge) {
				m.countDropped() // nothing was written; the connection is whole
				continue
			}
			if err != nil {
				return false
			}
		}
	}
}

// watch returns a channel that is closed when the other end closes the
// connection. Without it the first message after that would be written into
// the void. Nothing but answers to beats is received on an outbound connection.
func watch(conn net.Conn, beat *unanswered) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		answers := make([]byte, 64)
		for {
			// The read returns at the latest when conn is closed.
			if _, err := conn.Read(answers); err != nil || beat == nil {
				return
			}
			beat.answered()
		}
	}()
	return closed
}

// discard makes the end of a connection drop what has not arrived yet: it would
// otherwise be delivered when a cut heals, after what the next one carries.
func discard(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only when the connection has ended
	}
}

func (m *Mesh) countDropped() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropped++
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
	defer m.ended(ctx, hello)
	for ctx.Err() == nil {
		b, err := read(conn)
		if err != nil {
			return
		}
		if m.open != nil && answered(b) {
			if _, err := conn.Write(answer); err != nil {
				return
			}
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
	if m.open == nil && !m.knows(h) {
		return nil, errors.Errorf("link: unknown host %q of failure domain %q", h.Host, h.FailureDomain)
	}
	return h, nil
}

func (m *Mesh) knows(h *peer.Hello) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.peers[h.Host]
	return o != nil && o.host.FailureDomain == h.FailureDomain
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
