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

// OpenOptions are those of a mesh without configured peers. Its hosts are
// named by their IP addresses and all listen on the same port; a connection is
// dialled with the first message and closed when it has been idle.
type OpenOptions struct {
	Port          string
	Closed        func(from string, i membership.Incarnation) // an inbound connection ended
	DialTimeout   time.Duration
	AnswerTimeout time.Duration // for a beat; a connection that exceeds it is silent
	Idle          time.Duration // without a message, after which a connection is closed
	Pause         time.Duration // after a failed dial
}

// NewOpen returns a mesh without configured peers, on an open listener.
func NewOpen(l net.Listener, self peer.Hello, o OpenOptions, receive Receiver, reject Rejecter) *Mesh {
	m := New(l, self, nil, receive, reject)
	m.open = &o
	return m
}

// answer is what a receiver writes for each beat, so that a connection that
// has fallen silent is told from one without traffic.
var answer = []byte{1}

// answered reports whether a receiver answers the message.
func answered(b peer.Body) bool { return b.Kind() == peer.KindBeat }

// unanswered is the time of the oldest beat without an answer.
type unanswered struct{ at atomic.Int64 }

// sent notes a beat and returns for how long one has been unanswered.
func (u *unanswered) sent(now time.Time) time.Duration {
	if u.at.CompareAndSwap(0, now.UnixNano()) {
		return 0
	}
	return time.Duration(now.UnixNano() - u.at.Load())
}

func (u *unanswered) answered() { u.at.Store(0) }

// idleTimer fires when it was not touched for a while. A nil one never fires.
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

func (i *idleTimer) touch() {
	if i != nil {
		i.timer.Reset(i.after)
	}
}

// reach returns the sending side towards a host that was not sent to before.
func (m *Mesh) reach(to string) *outbound {
	if m.ctx == nil || m.ctx.Err() != nil {
		return nil
	}
	o := &outbound{host: membership.Host{Name: to, Address: net.JoinHostPort(to, m.open.Port)}, ring: ring.New[peer.Body](outboundSize)}
	ctx, cancel := context.WithCancel(m.ctx)
	o.cancel = cancel
	m.peers[to] = o
	m.wg.Go(func() { m.openLoop(ctx, o) })
	return o
}

// openLoop sends to one host until it has been idle.
func (m *Mesh) openLoop(ctx context.Context, o *outbound) {
	defer m.forget(o)
	dialer := net.Dialer{Timeout: m.open.DialTimeout, Control: m.limitRetransmission}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", o.host.Address)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(m.open.Pause):
			}
			if dropQueued(o.ring) == 0 {
				return
			}
			continue
		}
		o.beat.answered()
		idle := newIdleTimer(m.open.Idle)
		wasIdle := m.sendLoop(ctx, conn, o.ring, &o.beat, idle)
		conn.Close()
		if wasIdle {
			return
		}
	}
}

// dropQueued drops what was queued before the host could be reached again: the
// decision packages have repeated what still matters.
func dropQueued(out *ring.Ring[peer.Body]) int {
	n := 0
	for range out.Len() {
		select {
		case <-out.C():
			n++
		default:
			return n
		}
	}
	return n
}

// limitRetransmission bounds how long sent bytes may stay unacknowledged.
func (m *Mesh) limitRetransmission(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(m.open.AnswerTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// forget removes the sending side of a host that was idle or unreachable.
func (m *Mesh) forget(o *outbound) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[o.host.Name] == o {
		m.drop(o)
		delete(m.peers, o.host.Name)
	}
}

// ended tells that an inbound connection has ended.
func (m *Mesh) ended(ctx context.Context, h *peer.Hello) {
	if m.open != nil && m.open.Closed != nil && ctx.Err() == nil {
		m.open.Closed(h.Host, h.Incarnation)
	}
}
