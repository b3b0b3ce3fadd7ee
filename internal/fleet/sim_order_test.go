package fleet

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/pool"
)

// simOrder is an order in flight to a minion.
type simOrder interface {
	// execute executes the order on m. It calls answer at most once, maybe later.
	execute(m *simMinion, answer func(a pool.Answer, clock int64, l *pool.Listing))
	// answered passes the answer to the pool.
	answered(now time.Time, a pool.Answer, clock int64, l *pool.Listing)
	// timeout is how long the host waits for the answer.
	timeout() time.Duration
	// bytes is the size of the order's HTTP request.
	bytes() int
}

type startOrder struct {
	pool  *pool.Pool
	start pool.Start
}

func (o startOrder) execute(m *simMinion, answer func(pool.Answer, int64, *pool.Listing)) {
	switch { // a connection belongs to one incarnation
	case m.startedMS > o.start.Incarnation:
		answer(pool.AnswerOtherProcess, 0, nil)
	case m.startedMS < o.start.Incarnation:
		answer(pool.AnswerUnsent, 0, nil)
	default:
		answer(m.handleStart(&o.start), m.clock(), nil)
	}
}

func (o startOrder) answered(now time.Time, a pool.Answer, clock int64, _ *pool.Listing) {
	o.pool.HandleStartAnswer(now, o.start, a, clock)
}

func (o startOrder) timeout() time.Duration { return simOrderTimeout }
func (o startOrder) bytes() int             { return simHTTPBytes + 120 + len(o.start.Payload) }

type stopOrder struct {
	pool *pool.Pool
	stop pool.Stop
}

func (o stopOrder) execute(m *simMinion, answer func(pool.Answer, int64, *pool.Listing)) {
	answer(m.handleStop(&o.stop), 0, nil)
}

func (o stopOrder) answered(now time.Time, a pool.Answer, _ int64, _ *pool.Listing) {
	o.pool.HandleStopAnswer(now, o.stop, a)
}

func (o stopOrder) timeout() time.Duration { return simOrderTimeout }
func (o stopOrder) bytes() int             { return simHTTPBytes + 60 }

type pollOrder struct {
	pool *pool.Pool
	poll pool.Poll
}

func (o pollOrder) execute(m *simMinion, answer func(pool.Answer, int64, *pool.Listing)) {
	m.handlePoll(&o.poll, func(a pool.Answer, l *pool.Listing) { answer(a, 0, l) })
}

func (o pollOrder) answered(now time.Time, a pool.Answer, _ int64, l *pool.Listing) {
	o.pool.HandlePollAnswer(now, o.poll.Minion, o.poll.Serial, a, l)
}

func (o pollOrder) timeout() time.Duration { return o.poll.Wait + simPollTimeout }
func (o pollOrder) bytes() int             { return simHTTPBytes + 80 }

// order sends an order from a host to a minion. Orders of one host may overtake each
// other, because they use different connections.
func (sim *simulation) order(h *simHost, id string, o simOrder) {
	incarnation := h.incarnation
	answered := false
	respond := func(a pool.Answer, clock int64, l *pool.Listing) {
		if h.incarnation != incarnation {
			return
		}
		h.input(func(now time.Time) {
			if answered {
				return
			}
			answered = true
			o.answered(now, a, clock, l)
		})
	}
	var send func()
	send = func() {
		switch {
		case h.incarnation != incarnation:
		case h.suspended: // the worker goroutine sends after the suspension
			h.pendingInputs = append(h.pendingInputs, func(time.Time) { send() })
		default:
			sim.sendOrder(h, id, o, respond)
		}
	}
	sim.after(sim.durationBetween(0, 300*time.Microsecond), send)
}

func (sim *simulation) sendOrder(h *simHost, id string, o simOrder, respond func(pool.Answer, int64, *pool.Listing)) {
	m := sim.minionByID[id]
	timedOut := func() { respond(pool.AnswerUnknown, 0, nil) }
	forward, back := sim.link(h.rec.Name, id), sim.link(id, h.rec.Name)
	switch {
	case m == nil || !m.up && sim.chance(0.5):
		sim.after(time.Millisecond, func() { respond(pool.AnswerUnsent, 0, nil) })
		return
	case !m.up || forward.cuts > 0:
		sim.after(o.timeout(), timedOut)
		return
	}
	sim.after(o.timeout(), timedOut)
	incarnation := m.incarnation
	passedAt, lost := h.out.pass(sim.now, o.bytes(), h.linkRate)
	if lost {
		return
	}
	delay := passedAt - sim.now + sim.durationBetween(simDelayLow, simDelayHigh)
	late := sim.chance(m.lateRate)
	if late {
		delay = sim.durationBetween(2*time.Second, 12*time.Second)
		sim.trace("order to %s is delayed by %v", id, delay)
	}
	sim.after(delay, func() {
		if m.incarnation != incarnation || !m.up {
			return
		}
		o.execute(m, func(a pool.Answer, clock int64, l *pool.Listing) {
			if late || back.cuts > 0 || sim.now < m.answersLostUntil && sim.chance(0.5) {
				return
			}
			size := simHTTPBytes
			if l != nil {
				size += 60 * (len(l.Running) + len(l.Ended))
			}
			passedAt, lost := h.in.pass(sim.now, size, h.linkRate)
			if !lost {
				sim.after(passedAt-sim.now+sim.durationBetween(simDelayLow, simDelayHigh), func() { respond(a, clock, l) })
			}
		})
	})
}
