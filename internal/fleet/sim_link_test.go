package fleet

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// simLink is one direction between two machines, with the messages of a
// connection kept in order. What is sent into a cut is held back, as the kernel
// does, until the sender gives the connection up; what was held back then may
// still arrive after what the next connection carries.
type simLink struct {
	cuts   int
	lastAt time.Duration
	held   []func()
	late   []func()      // of connections that were given up
	heldAt time.Duration // of the first held message
}

func (w *world) link(from, to string) *simLink {
	key := [2]string{from, to}
	l := w.links[key]
	if l == nil {
		l = &simLink{}
		w.links[key] = l
	}
	return l
}

const (
	simDelayLow  = 300 * time.Microsecond
	simDelayHigh = 1500 * time.Microsecond
)

// deliver carries f over a link, after what was sent before.
func (w *world) deliver(from, to string, f func()) {
	l := w.link(from, to)
	if l.cuts > 0 {
		if len(l.held) == 0 {
			l.heldAt = w.now
		}
		if w.now-l.heldAt >= silentLink {
			l.late = append(l.late, l.held...)
			l.held, l.heldAt = nil, w.now
		}
		l.held = append(l.held, f)
		return
	}
	l.lastAt = max(l.lastAt, w.now+w.within(simDelayLow, simDelayHigh))
	w.after(l.lastAt-w.now, f)
}

func (w *world) cut(from, to string) { w.link(from, to).cuts++ }

func (w *world) join(from, to string) {
	l := w.link(from, to)
	l.cuts--
	if l.cuts > 0 {
		return
	}
	held, late := l.held, l.late
	l.held, l.late = nil, nil
	for _, f := range held {
		w.deliver(from, to, f)
	}
	for _, f := range late {
		if w.chance(0.5) {
			w.after(w.within(0, 300*time.Millisecond), f)
		}
	}
}

// sendBody carries a copy of a message: the receiver must not see later changes.
func (w *world) sendBody(h *simHost, to string, b peer.Body) {
	other := w.byName[to]
	if other == nil {
		return
	}
	encoded, err := peer.Encode(b)
	if err != nil {
		panic(err)
	}
	h.sent++
	life, theirs, inc := h.life, other.life, h.rec.Incarnation
	w.deliver(h.rec.Name, to, func() {
		if h.life != life && w.chance(0.5) || other.life != theirs {
			return // the connection ended with a process
		}
		body, err := peer.Decode(encoded)
		if err != nil {
			panic(err)
		}
		other.input(func(now time.Time) { other.d.receive(now, h.rec.Name, inc, body) })
	})
}
