package link

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"golang.org/x/sys/unix"
)

// DynamicOptions configures a dynamic mesh, one without configured peers. Its hosts are
// named by their IP addresses and all listen on the same port. A host is dialed when the
// first message is sent to it; the connection is closed when it has been idle.
type DynamicOptions struct {
	Port        string
	OnClosed    func(from string, i membership.Incarnation) // called when an inbound connection ends, unless the mesh is stopping
	OnRefused   func(from string, err error)                // called for each message that can't be decoded and is dropped; may be nil
	DialTimeout time.Duration
	AckTimeout  time.Duration // maximum time until a heartbeat is acknowledged; after it, the connection is reset
	IdleTimeout time.Duration // time without a sent message after which a connection is closed
	RedialDelay time.Duration // delay after a failed dial

	// Bulk reports whether messages of a kind yield to those of others that wait for the
	// same connection; nil: none does.
	Bulk func(peer.Kind) bool
	// Lifetime returns how long messages of a kind may wait to be sent; after it they are
	// dropped. 0, and a nil Lifetime: without limit.
	Lifetime func(peer.Kind) time.Duration
}

// NewDynamic returns a dynamic mesh that accepts connections on l.
func NewDynamic(l net.Listener, self peer.Hello, o DynamicOptions, receive Receiver, reject Rejecter) *Mesh {
	m := New(l, self, nil, receive, reject)
	m.dynamic = &o
	return m
}

// heartbeatAck is what the receiver of a heartbeat writes to the connection, so that the
// sender detects a connection that no longer delivers data.
var heartbeatAck = []byte{1}

// Maximum numbers of messages queued for one host. A dynamic mesh has many hosts, and few
// messages that are worth sending late.
const (
	dynamicSize = 512
	bulkSize    = 64
)

// acksPerTimeout is how many heartbeats a receiver acknowledges within AckTimeout, at
// most. An acknowledgement covers all earlier heartbeats of the connection.
const acksPerTimeout = 2

// expectsAck reports whether the receiver acknowledges the message. In a dynamic mesh it
// acknowledges heartbeats, and nothing else.
func expectsAck(b peer.Body) bool { return b.Kind() == peer.KindFleetHeartbeat }

// ackTracker holds the send time of the oldest unacknowledged heartbeat.
type ackTracker struct{ oldest atomic.Int64 } // in Unix nanoseconds; 0: all are acknowledged

// recordSent records that a heartbeat is sent and returns the time since the oldest
// unacknowledged heartbeat was sent.
func (t *ackTracker) recordSent(now time.Time) time.Duration {
	if t.oldest.CompareAndSwap(0, now.UnixNano()) {
		return 0
	}
	return time.Duration(now.UnixNano() - t.oldest.Load())
}

// recordAck records that all heartbeats are acknowledged.
func (t *ackTracker) recordAck() { t.oldest.Store(0) }

// idleTimer fires when it has not been reset for a given time. A nil idleTimer never
// fires.
type idleTimer struct {
	timer *time.Timer
	after time.Duration
}

func newIdleTimer(after time.Duration) *idleTimer {
	return &idleTimer{time.NewTimer(after), after}
}

func (i *idleTimer) c() <-chan time.Time {
	if i == nil {
		return nil
	}
	return i.timer.C
}

func (i *idleTimer) reset() {
	if i != nil {
		i.timer.Reset(i.after)
	}
}

// addOutbound starts a sending goroutine for a host that has none. It returns nil if
// the mesh is not running.
func (m *Mesh) addOutbound(to string) *outbound {
	if m.ctx == nil || m.ctx.Err() != nil {
		return nil
	}
	o := &outbound{host: membership.Host{Name: to, Address: net.JoinHostPort(to, m.dynamic.Port)}, ring: ring.New[queuedMessage](dynamicSize)}
	if m.dynamic.Bulk != nil {
		o.bulk = ring.New[queuedMessage](bulkSize)
	}
	ctx, cancel := context.WithCancel(m.ctx)
	o.cancel = cancel
	m.peers[to] = o
	m.wg.Go(func() { m.dynamicLoop(ctx, o) })
	return o
}

// dynamicLoop sends queued messages to a host that is not configured. It returns when the
// connection has been idle, or when a dial failed and no message is queued.
func (m *Mesh) dynamicLoop(ctx context.Context, o *outbound) {
	defer m.removeOutbound(o)
	dialer := net.Dialer{Timeout: m.dynamic.DialTimeout, Control: m.limitRetransmission}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", o.host.Address)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(m.dynamic.RedialDelay):
			}
			if o.dropQueued() == 0 {
				return
			}
			continue
		}
		o.acks.recordAck()
		idle := newIdleTimer(m.dynamic.IdleTimeout)
		wasIdle := m.sendLoop(ctx, conn, o, &o.acks, idle)
		conn.Close()
		if wasIdle {
			return
		}
	}
}

// dropQueued drops the messages that were queued for an unreachable host and returns
// their number. The packages that sent them repeat those that still matter.
func (o *outbound) dropQueued() int {
	n := drain(o.ring)
	if o.bulk != nil {
		n += drain(o.bulk)
	}
	return n
}

// drain drops the messages of a ring and returns their number.
func drain(r *ring.Ring[queuedMessage]) int {
	n := 0
	for range r.Len() {
		if _, ok := poll(r); !ok {
			break
		}
		n++
	}
	return n
}

// limitRetransmission limits how long TCP retransmits unacknowledged data before it
// closes the connection.
func (m *Mesh) limitRetransmission(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(m.dynamic.AckTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// removeOutbound removes the outbound of a host that was idle or unreachable.
func (m *Mesh) removeOutbound(o *outbound) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[o.host.Name] == o {
		m.closeOutbound(o)
		delete(m.peers, o.host.Name)
	}
}

// reportClosed calls OnClosed for an inbound connection that has ended.
func (m *Mesh) reportClosed(ctx context.Context, h *peer.Hello) {
	if m.dynamic != nil && m.dynamic.OnClosed != nil && ctx.Err() == nil {
		m.dynamic.OnClosed(h.Host, h.Incarnation)
	}
}
