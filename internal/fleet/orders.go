package fleet

import (
	"context"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
)

// Workers that send orders. Each order occupies one until its answer.
const (
	maxStarts = 512
	maxHolds  = 512
)

// orders sends the pool's orders to minions and brings the answers back.
type orders struct {
	host    *Host
	minions Minions
	starts  *ants.Pool
	holds   *ants.Pool // apart: holds wait long, and must not keep starts
}

func newOrders(h *Host, m Minions) (*orders, error) {
	starts, err := ants.NewPool(maxStarts, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "workers")
	}
	holds, err := ants.NewPool(maxHolds, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "workers")
	}
	return &orders{host: h, minions: m, starts: starts, holds: holds}, nil
}

// answered hands an answer to the decisions. It waits for room: an answer that
// is lost would leave capacity reserved until a listing tells.
func (o *orders) answered(f func(now time.Time)) { o.host.inputs.Push(f, o.host.done) }

func (o *orders) start(p *pool.Pool, s *pool.Start) {
	err := o.starts.Submit(func() {
		a, clock := o.minions.Start(context.Background(), s)
		o.host.metrics.ordered("start", a)
		o.answered(func(now time.Time) { p.Started(now, *s, a, clock) })
	})
	if err != nil { // all workers are busy: nothing was sent
		o.host.push(func(now time.Time) { p.Started(now, *s, pool.AnswerUnsent, 0) })
	}
}

func (o *orders) stop(p *pool.Pool, s *pool.Stop) {
	err := o.starts.Submit(func() {
		a := o.minions.Stop(context.Background(), s)
		o.host.metrics.ordered("stop", a)
		o.answered(func(now time.Time) { p.Stopped(now, *s, a) })
	})
	if err != nil {
		o.host.push(func(now time.Time) { p.Stopped(now, *s, pool.AnswerUnsent) })
	}
}

func (o *orders) hold(p *pool.Pool, h *pool.Hold) {
	err := o.holds.Submit(func() {
		a, l := o.minions.Hold(context.Background(), h)
		o.host.metrics.ordered("hold", a)
		o.answered(func(now time.Time) { p.Held(now, h.Minion, h.Serial, a, l) })
	})
	if err != nil {
		o.host.push(func(now time.Time) { p.Held(now, h.Minion, h.Serial, pool.AnswerUnsent, nil) })
	}
}

func (o *orders) close() {
	o.starts.Release()
	o.holds.Release()
}
