package fleet

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// simTraffic counts messages between hosts and their bytes.
type simTraffic struct{ messages, bytes int }

func (t simTraffic) plus(o simTraffic) simTraffic {
	return simTraffic{t.messages + o.messages, t.bytes + o.bytes}
}

// simLink is one direction of the link between two machines. Messages of one
// connection stay in order. While the link is cut, messages are buffered, as by a
// kernel, until the sender replaces the connection after linkAckTimeout. Messages of
// replaced connections may still arrive when the link is healed, after those of newer
// ones.
type simLink struct {
	cuts       int
	lastAt     time.Duration
	held       []func()
	outOfOrder []func()      // buffered messages of replaced connections
	heldAt     time.Duration // when the first message in held was sent
}

func (sim *simulation) link(from, to string) *simLink {
	key := [2]string{from, to}
	l := sim.links[key]
	if l == nil {
		l = &simLink{}
		sim.links[key] = l
	}
	return l
}

// Bytes of the headers of a message between hosts and of an HTTP request or response, with
// those of TCP and IP.
const (
	simFrameBytes = 60
	simHTTPBytes  = 330
)

const (
	simDelayLow  = 300 * time.Microsecond
	simDelayHigh = 1500 * time.Microsecond
)

// simQueue is one direction of a host's own link to the network, which carries a limited
// number of bytes per second.
type simQueue struct{ freeAt time.Duration }

// simMaxQueue is the longest time for which messages wait for a host's link. Messages that
// find a longer queue are lost, as in the full buffer of a connection that is replaced.
const simMaxQueue = 3 * time.Second

// pass queues a message and returns when it has passed, given when it arrives at the queue
// and the rate of the link in bytes per second. A rate of 0 is unlimited.
func (q *simQueue) pass(at time.Duration, bytes, rate int) (passedAt time.Duration, lost bool) {
	if rate == 0 || bytes == 0 {
		return at, false
	}
	begin := max(at, q.freeAt)
	if begin-at > simMaxQueue {
		return 0, true
	}
	q.freeAt = begin + time.Duration(bytes)*time.Second/time.Duration(rate)
	return q.freeAt, false
}

// deliver calls f when a message sent now over the link arrives.
func (sim *simulation) deliver(from, to string, f func()) { sim.deliverBytes(from, to, 0, f) }

// deliverBytes calls f when a message of that size arrives, after it has passed the links
// of the two hosts.
func (sim *simulation) deliverBytes(from, to string, bytes int, f func()) {
	passedAt, lost := sim.now, false
	if h := sim.hostByName[from]; h != nil {
		passedAt, lost = h.out.pass(passedAt, bytes, h.linkRate)
	}
	if h := sim.hostByName[to]; h != nil && !lost {
		passedAt, lost = h.in.pass(passedAt, bytes, h.linkRate)
	}
	if lost {
		return
	}
	l := sim.link(from, to)
	if l.cuts > 0 {
		if len(l.held) == 0 {
			l.heldAt = sim.now
		}
		if sim.now-l.heldAt >= linkAckTimeout {
			l.outOfOrder = append(l.outOfOrder, l.held...)
			l.held, l.heldAt = nil, sim.now
		}
		l.held = append(l.held, f)
		return
	}
	l.lastAt = max(l.lastAt, passedAt+sim.durationBetween(simDelayLow, simDelayHigh))
	sim.after(l.lastAt-sim.now, f)
}

func (sim *simulation) cut(from, to string) { sim.link(from, to).cuts++ }

func (sim *simulation) heal(from, to string) {
	l := sim.link(from, to)
	l.cuts--
	if l.cuts > 0 {
		return
	}
	held, late := l.held, l.outOfOrder
	l.held, l.outOfOrder = nil, nil
	for _, f := range held {
		sim.deliver(from, to, f)
	}
	for _, f := range late {
		if sim.chance(0.5) {
			sim.after(sim.durationBetween(0, 300*time.Millisecond), f)
		}
	}
}

// sendBody sends an encoded copy of a message, so that the receiver doesn't see later
// changes of it.
func (sim *simulation) sendBody(h *simHost, to string, b peer.Body) {
	other := sim.hostByName[to]
	if other == nil {
		return
	}
	encoded, err := peer.Encode(b)
	if err != nil {
		panic(err)
	}
	if b.Kind() == peer.KindFleetHeartbeat && sim.onHeartbeat != nil {
		body, err := peer.Decode(encoded)
		if err != nil {
			panic(err)
		}
		sim.onHeartbeat(h.rec.Name, to, body.(*peer.FleetHeartbeat))
	}
	h.sent[b.Kind()] = h.sent[b.Kind()].plus(simTraffic{1, len(encoded)})
	incarnation, otherIncarnation, inc := h.incarnation, other.incarnation, h.rec.Incarnation
	sim.deliverBytes(h.rec.Name, to, simFrameBytes+len(encoded), func() {
		if h.incarnation != incarnation && sim.chance(0.5) || other.incarnation != otherIncarnation {
			return // the connection closed when one of the processes ended
		}
		body, err := peer.Decode(encoded)
		if err != nil {
			panic(err)
		}
		if heartbeat, ok := body.(*peer.FleetHeartbeat); ok {
			sim.fetchVersion(other, h, heartbeat.ConfigVersion)
		}
		other.input(func(now time.Time) { other.core.receive(now, h.rec.Name, inc, body) })
	})
}
