package daemon

import (
	"context"

	"github.com/laburnumwalk/laburnumwalk/internal/backend"
	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/laburnumwalk/laburnumwalk/internal/telemetry"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
)

// maxCancels limits the cancellations in progress. Further ones are dropped, which
// is harmless: a cancellation only saves the minion work.
const maxCancels = 256

// sender sends starts and cancellations to minions. It has one goroutine pool for
// starts and one for cancellations.
type sender struct {
	client     *backend.Client
	spans      *telemetry.Spans
	startPool  *ants.PoolWithFuncGeneric[engine.Start]
	cancelPool *ants.PoolWithFuncGeneric[engine.Cancel]
	// outcomes receives the outcome of each start. It has room for every start
	// in progress, so a push never blocks.
	outcomes *ring.Ring[input]
}

// newSender returns a sender that allows up to maxInFlight starts in progress.
func newSender(client *backend.Client, maxInFlight int, outcomes *ring.Ring[input]) (*sender, error) {
	s := &sender{client: client, outcomes: outcomes}
	var err error
	s.startPool, err = ants.NewPoolWithFuncGeneric(maxInFlight, s.start, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create the pool for task starts")
	}
	s.cancelPool, err = ants.NewPoolWithFuncGeneric(maxCancels, s.cancel, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create the pool for cancellations")
	}
	return s, nil
}

// Start implements taskSender.
func (s *sender) Start(st engine.Start) bool { return s.startPool.Invoke(st) == nil }

// Cancel implements taskSender.
func (s *sender) Cancel(c engine.Cancel) { _ = s.cancelPool.Invoke(c) }

// start sends a task to its minion, waits for the answer and pushes the outcome.
func (s *sender) start(st engine.Start) {
	span := s.spans.StartTask(st.Trace, st.Task, st.Minion)
	r := s.client.Start(context.Background(), backend.Request{
		Task:     st.Task,
		Service:  st.Service,
		Payload:  st.Payload,
		NoRepeat: st.NoRepeat,
		Address:  st.Address,
		Deadline: st.Deadline,

		Traceparent: span.Traceparent(),
	})
	span.End(&r.Outcome, r.Disproved)
	s.outcomes.Push(&taskOutcome{task: st.Task, service: st.Service, minion: st.Minion, disproved: r.Disproved, outcome: r.Outcome}, nil)
}

func (s *sender) cancel(c engine.Cancel) {
	s.client.Cancel(context.Background(), c.Task, c.Address)
}

func (s *sender) close() {
	s.startPool.Release()
	s.cancelPool.Release()
	s.client.Close()
}
