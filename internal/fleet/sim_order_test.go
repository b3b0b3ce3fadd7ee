package fleet

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/pool"
)

// simOrder is an order on its way to a minion.
type simOrder interface {
	// carry carries the order out; answer is called at most once.
	carry(m *simMinion, answer func(a pool.Answer, clock int64, l *pool.Listing))
	// answered tells the pool.
	answered(now time.Time, a pool.Answer, clock int64, l *pool.Listing)
	timeout() time.Duration
}

type startOrder struct {
	p *pool.Pool
	s pool.Start
}

func (o startOrder) carry(m *simMinion, answer func(pool.Answer, int64, *pool.Listing)) {
	answer(m.begin(&o.s), m.clock(), nil)
}

func (o startOrder) answered(now time.Time, a pool.Answer, clock int64, _ *pool.Listing) {
	o.p.Started(now, o.s, a, clock)
}

func (o startOrder) timeout() time.Duration { return simOrderWait }

type stopOrder struct {
	p *pool.Pool
	s pool.Stop
}

func (o stopOrder) carry(m *simMinion, answer func(pool.Answer, int64, *pool.Listing)) {
	answer(m.quit(&o.s), 0, nil)
}

func (o stopOrder) answered(now time.Time, a pool.Answer, _ int64, _ *pool.Listing) {
	o.p.Stopped(now, o.s, a)
}

func (o stopOrder) timeout() time.Duration { return simOrderWait }

type holdOrder struct {
	p *pool.Pool
	h pool.Hold
}

func (o holdOrder) carry(m *simMinion, answer func(pool.Answer, int64, *pool.Listing)) {
	m.list(&o.h, func(a pool.Answer, l *pool.Listing) { answer(a, 0, l) })
}

func (o holdOrder) answered(now time.Time, a pool.Answer, _ int64, l *pool.Listing) {
	o.p.Held(now, o.h.Minion, o.h.Serial, a, l)
}

func (o holdOrder) timeout() time.Duration { return o.h.Wait + simHoldWait }

// order sends an order from a host to a minion. Orders of one host overtake
// each other: they use different connections.
func (w *world) order(h *simHost, id string, o simOrder) {
	life := h.life
	settled := false
	settle := func(a pool.Answer, clock int64, l *pool.Listing) {
		if h.life != life {
			return
		}
		h.input(func(now time.Time) {
			if settled {
				return
			}
			settled = true
			o.answered(now, a, clock, l)
		})
	}
	var send func()
	send = func() {
		switch {
		case h.life != life:
		case h.frozen: // the worker goes on where it stood
			h.waiting = append(h.waiting, func(time.Time) { send() })
		default:
			w.sendOrder(h, id, o, settle)
		}
	}
	w.after(w.within(0, 300*time.Microsecond), send)
}

func (w *world) sendOrder(h *simHost, id string, o simOrder, settle func(pool.Answer, int64, *pool.Listing)) {
	m := w.byID[id]
	lost := func() { settle(pool.AnswerUnknown, 0, nil) }
	there, back := w.link(h.rec.Name, id), w.link(id, h.rec.Name)
	switch {
	case m == nil || !m.up && w.chance(0.5):
		w.after(time.Millisecond, func() { settle(pool.AnswerUnsent, 0, nil) })
		return
	case !m.up || there.cuts > 0:
		w.after(o.timeout(), lost)
		return
	}
	w.after(o.timeout(), lost)
	life := m.life
	delay := w.within(simDelayLow, simDelayHigh)
	late := w.chance(m.lateness)
	if late {
		delay = w.within(2*time.Second, 12*time.Second)
		w.trace("order to %s is late by %v", id, delay)
	}
	w.after(delay, func() {
		if m.life != life || !m.up {
			return
		}
		o.carry(m, func(a pool.Answer, clock int64, l *pool.Listing) {
			if late || back.cuts > 0 || w.now < m.muteFor && w.chance(0.5) {
				return
			}
			w.after(w.within(simDelayLow, simDelayHigh), func() { settle(a, clock, l) })
		})
	})
}
