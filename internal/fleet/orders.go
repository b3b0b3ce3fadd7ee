package fleet

import (
	"context"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
)

// Numbers of worker goroutines that send orders. An order occupies its worker until
// it is answered or times out.
const (
	startWorkers = 512
	pollWorkers  = 512
)

// orders sends the pools' orders to minions and returns the answers to the pools.
type orders struct {
	host    *Host
	minions Minions
	starts  *ants.Pool
	polls   *ants.Pool // separate, because a poll may take long to be answered and must not delay starts
}

func newOrders(h *Host, m Minions) (*orders, error) {
	starts, err := ants.NewPool(startWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create workers for start and stop orders")
	}
	polls, err := ants.NewPool(pollWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create workers for polls")
	}
	return &orders{host: h, minions: m, starts: starts, polls: polls}, nil
}

// deliver queues an answer for the core. It blocks while the input ring is full: if
// the answer were dropped, the minion's capacity would stay reserved until a poll
// lists its runs.
func (o *orders) deliver(f func(now time.Time)) { o.host.inputs.Push(f, o.host.done) }

func (o *orders) start(p *pool.Pool, s *pool.Start) {
	err := o.starts.Submit(func() {
		a, clock := o.minions.Start(context.Background(), s)
		o.host.metrics.orderAnswered("start", a)
		o.deliver(func(now time.Time) { p.HandleStartAnswer(now, *s, a, clock) })
	})
	if err != nil { // all workers are busy, and the order was not sent
		o.host.enqueue(func(now time.Time) { p.HandleStartAnswer(now, *s, pool.AnswerUnsent, 0) })
	}
}

func (o *orders) stop(p *pool.Pool, s *pool.Stop) {
	err := o.starts.Submit(func() {
		a := o.minions.Stop(context.Background(), s)
		o.host.metrics.orderAnswered("stop", a)
		o.deliver(func(now time.Time) { p.HandleStopAnswer(now, *s, a) })
	})
	if err != nil {
		o.host.enqueue(func(now time.Time) { p.HandleStopAnswer(now, *s, pool.AnswerUnsent) })
	}
}

func (o *orders) poll(p *pool.Pool, poll *pool.Poll) {
	err := o.polls.Submit(func() {
		a, l := o.minions.Poll(context.Background(), poll)
		o.host.metrics.orderAnswered("hold", a)
		o.deliver(func(now time.Time) { p.HandlePollAnswer(now, poll.Minion, poll.Serial, a, l) })
	})
	if err != nil {
		o.host.enqueue(func(now time.Time) { p.HandlePollAnswer(now, poll.Minion, poll.Serial, pool.AnswerUnsent, nil) })
	}
}

func (o *orders) close() {
	o.starts.Release()
	o.polls.Release()
}
