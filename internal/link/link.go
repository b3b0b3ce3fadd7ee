// Package link maintains the TCP connections between hosts. Each host dials its peers
// and sends messages only on the connections that it dialed; it receives messages on
// the connections that peers dialed. A message to a peer that is unreachable or slow
// is dropped: the packages that send messages repeat the important ones.
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
	// readTimeout is the time without a message after which an inbound connection is
	// closed. Heartbeats are far more frequent.
	readTimeout      = 10 * time.Second
	maxRedialDelay   = time.Second
	firstRedialDelay = 50 * time.Millisecond
	outboundSize     = 1024     // maximum number of messages queued per peer
	maxBatchBytes    = 16 << 10 // a batch of messages is written when it has reached this size
	readBufferBytes  = 4 << 10
)

// Receiver is called with each message that a peer sends, in the order in which they
// arrive on a connection.
type Receiver func(from string, inc membership.Incarnation, b peer.Body)

// Rejecter is called for each inbound connection on which no acceptable hello was
// received. The connection is then closed.
type Rejecter func(remote string, err error)

// Mesh holds the connections of one host.
type Mesh struct {
	hello    peer.Hello
	receive  Receiver
	reject   Rejecter
	listener net.Listener

	dynamic *DynamicOptions // nil: the mesh has configured peers only

	mu      sync.Mutex
	ctx     context.Context // nil until Run
	peers   map[string]*outbound
	inbound map[net.Conn]struct{}
	dropped uint64 // messages refused by rings of removed peers, or too large for a frame
	wg      sync.WaitGroup

	traffic trafficCounters
}

// queuedMessage is a message that waits to be sent.
type queuedMessage struct {
	body peer.Body
	at   time.Duration // when it was queued, since processStart
}

// processStart is what times of queued messages count from: a ring holds many of them.
var processStart = time.Now()

// outbound holds the messages queued for one peer and the state of the connection to
// it.
type outbound struct {
	host   membership.Host
	ring   *ring.Ring[queuedMessage]
	bulk   *ring.Ring[queuedMessage] // messages that yield to those in ring; nil unless the mesh is dynamic
	cancel context.CancelFunc        // stops the sending goroutine; nil until that goroutine runs
	acks   ackTracker
}

// New returns a mesh that accepts connections on l and dials the peers. self is the
// hello that it sends on each connection.
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

// SetPeers replaces the list of peers. It closes the connections to removed peers and
// dials added ones.
func (m *Mesh) SetPeers(peers []membership.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]*outbound, len(peers))
	for _, h := range peers {
		if o := m.peers[h.Name]; o != nil && o.host == h {
			next[h.Name] = o
			continue
		}
		o := &outbound{host: h, ring: ring.New[queuedMessage](outboundSize)}
		next[h.Name] = o
		m.dial(o)
	}
	for name, o := range m.peers {
		if next[name] != o {
			m.closeOutbound(o)
		}
	}
	m.peers = next
}

// dial starts the sending goroutine for a peer. It does nothing before Run is called:
// Run dials all peers.
func (m *Mesh) dial(o *outbound) {
	if m.ctx == nil || m.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	o.cancel = cancel
	m.wg.Go(func() { m.dialLoop(ctx, o) })
}

// closeOutbound stops sending to a peer and keeps the count of its dropped messages.
func (m *Mesh) closeOutbound(o *outbound) {
	m.dropped += o.refused()
	if o.cancel != nil {
		o.cancel()
	}
}

// Run accepts connections and dials peers until ctx ends, then closes every
// connection.
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

// Send queues b for a peer. It returns false if the peer's ring is full. A mesh with
// configured peers also returns false for any other host. A dynamic mesh sends to every
// host while it is running, and returns false while it is not.
func (m *Mesh) Send(to string, b peer.Body) bool {
	m.mu.Lock()
	o := m.peers[to]
	if o == nil && m.dynamic != nil {
		o = m.addOutbound(to)
	}
	m.mu.Unlock()
	if o == nil {
		return false
	}
	q := queuedMessage{b, time.Since(processStart)}
	if o.bulk != nil && m.dynamic.Bulk(b.Kind()) {
		return o.bulk.TryPush(q)
	}
	return o.ring.TryPush(q)
}

// refused returns how many messages were dropped because a ring was full.
func (o *outbound) refused() uint64 {
	n := o.ring.Refused()
	if o.bulk != nil {
		n += o.bulk.Refused()
	}
	return n
}

// Dropped returns the number of messages that were dropped because a ring was full or
// because they were too large for a frame.
func (m *Mesh) Dropped() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.dropped
	for _, o := range m.peers {
		n += o.refused()
	}
	return n
}

// dialLoop connects to a configured peer and sends it the messages of the ring. It
// reconnects with backoff until ctx ends.
func (m *Mesh) dialLoop(ctx context.Context, o *outbound) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = firstRedialDelay
	delay.MaxInterval = maxRedialDelay
	dialer := net.Dialer{Timeout: dialTimeout}
	reconnecting := false
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", o.host.Address)
		if err == nil {
			begin := time.Now()
			if reconnecting {
				dropLeases(o.ring)
			}
			m.sendLoop(ctx, conn, o, nil, nil)
			conn.Close()
			if time.Since(begin) > maxRedialDelay {
				delay.Reset() // the peer did not reject the connection at once
			}
		}
		reconnecting = true
		select {
		case <-ctx.Done():
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// dropLeases drops the queued messages that carry leases. The receiver counts a lease
// from the arrival of its message, so a message that was queued while the peer was
// unreachable would extend the lease.
func dropLeases(out *ring.Ring[queuedMessage]) {
	for range out.Len() {
		select {
		case b := <-out.C():
			if !carriesLeases(b.body) {
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

// sendLoop sends queued messages until ctx or the connection ends. If acks is set, it
// also returns when a heartbeat has not been acknowledged in time. If idle is set, it
// also returns, with true, when no message was sent for a while. Messages that are
// queued at the same time go into one write.
func (m *Mesh) sendLoop(ctx context.Context, conn net.Conn, o *outbound, acks *ackTracker, idle *idleTimer) (wasIdle bool) {
	if err := write(conn, &m.hello); err != nil {
		return false
	}
	closed := readAcks(conn, acks)
	var batch []byte
	for {
		var first, last queuedMessage
		select {
		case <-ctx.Done():
			return false
		case <-closed:
			return false
		case <-idle.c():
			return true
		case first = <-o.ring.C():
		case last = <-o.bulkC():
		}
		idle.reset()
		batch = batch[:0]
		ackExpected := false
		add := func(q queuedMessage) {
			batch = m.appendMessage(batch, q)
			ackExpected = ackExpected || expectsAck(q.body)
		}
		if first.body != nil {
			add(first)
		}
		for len(batch) < maxBatchBytes {
			next, ok := poll(o.ring)
			if !ok {
				break
			}
			add(next)
		}
		if last.body != nil {
			add(last)
		}
		if len(batch) == 0 {
			continue
		}
		if acks != nil && ackExpected && acks.recordSent(time.Now()) > m.dynamic.AckTimeout {
			resetOnClose(conn)
			return false
		}
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return false
		}
		if _, err := conn.Write(batch); err != nil {
			return false
		}
	}
}

// bulkC returns the channel of the bulk messages; nil, which never delivers, if there
// is none.
func (o *outbound) bulkC() <-chan queuedMessage {
	if o.bulk == nil {
		return nil
	}
	return o.bulk.C()
}

// poll returns the next message of a ring, if there is one.
func poll(r *ring.Ring[queuedMessage]) (queuedMessage, bool) {
	select {
	case q := <-r.C():
		return q, true
	default:
		return queuedMessage{}, false
	}
}

// appendMessage appends the frame of a message to a batch. It drops a message that has
// waited for longer than its lifetime or is too large for a frame.
func (m *Mesh) appendMessage(batch []byte, q queuedMessage) []byte {
	kind := q.body.Kind()
	if m.dynamic != nil && m.dynamic.Lifetime != nil {
		if lifetime := m.dynamic.Lifetime(kind); lifetime > 0 && time.Since(processStart)-q.at > lifetime {
			m.traffic.expired(kind)
			return batch
		}
	}
	payload, err := peer.Encode(q.body)
	if err == nil {
		batch, err = peer.AppendFrame(batch, payload)
	}
	if err != nil {
		m.countDropped() // nothing was written, so the connection stays usable
		return batch
	}
	m.traffic.sent(kind, len(payload))
	return batch
}

// readAcks reads the acknowledgements of heartbeats, which are all that a peer sends
// on an outbound connection, and returns a channel that is closed when the peer closes
// the connection. Without this, the first message after the close would be written
// without an error and lost.
func readAcks(conn net.Conn, acks *ackTracker) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		buf := make([]byte, 64)
		for {
			// Read returns when conn is closed, at the latest.
			if _, err := conn.Read(buf); err != nil || acks == nil {
				return
			}
			acks.recordAck()
		}
	}()
	return closed
}

// resetOnClose makes Close reset the connection, which discards the data that has not
// arrived yet. Otherwise that data could be delivered when a network partition ends,
// after newer messages on the next connection.
func resetOnClose(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection has ended already
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
