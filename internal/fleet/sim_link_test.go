package fleet

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

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

const (
	simDelayLow  = 300 * time.Microsecond
	simDelayHigh = 1500 * time.Microsecond
)

// deliver calls f when a message sent now over the link arrives.
func (sim *simulation) deliver(from, to string, f func()) {
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
	l.lastAt = max(l.lastAt, sim.now+sim.durationBetween(simDelayLow, simDelayHigh))
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
	h.sent++
	incarnation, otherIncarnation, inc := h.incarnation, other.incarnation, h.rec.Incarnation
	sim.deliver(h.rec.Name, to, func() {
		if h.incarnation != incarnation && sim.chance(0.5) || other.incarnation != otherIncarnation {
			return // the connection closed when one of the processes ended
		}
		body, err := peer.Decode(encoded)
		if err != nil {
			panic(err)
		}
		other.input(func(now time.Time) { other.core.receive(now, h.rec.Name, inc, body) })
	})
}
