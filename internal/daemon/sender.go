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

// maxCancels bounds the cancellations in progress; more are dropped, because a
// cancellation only saves work.
const maxCancels = 256

// sender carries starts and cancellations to minions on two pools.
type sender struct {
	client  *backend.Client
	spans   *telemetry.Spans
	starts  *ants.PoolWithFuncGeneric[engine.Start]
	cancels *ants.PoolWithFuncGeneric[engine.Cancel]
	// outcomes has room for one entry per start in progress, so that a push
	// never fails.
	outcomes *ring.Ring[input]
}

// newSender returns a sender with up to maxInFlight starts in progress.
func newSender(client *backend.Client, maxInFlight int, outcomes *ring.Ring[input]) (*sender, error) {
	s := &sender{client: client, outcomes: outcomes}
	var err error
	s.starts, err = ants.NewPoolWithFuncGeneric(maxInFlight, s.start, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "start pool")
	}
	s.cancels, err = ants.NewPoolWithFuncGeneric(maxCancels, s.cancel, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "cancel pool")
	}
	return s, nil
}

// Start implements starter.
func (s *sender) Start(st engine.Start) bool { return s.starts.Invoke(st) == nil }

// Cancel implements starter.
func (s *sender) Cancel(c engine.Cancel) { _ = s.cancels.Invoke(c) }

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
	s.outcomes.Push(&outcome{task: st.Task, service: st.Service, minion: st.Minion, disproved: r.Disproved, outcome: r.Outcome}, nil)
}

func (s *sender) cancel(c engine.Cancel) {
	s.client.Cancel(context.Background(), c.Task, c.Address)
}

func (s *sender) close() {
	s.starts.Release()
	s.cancels.Release()
	s.client.Close()
}
