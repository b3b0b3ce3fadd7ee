package peer

import "github.com/pkg/errors"

// Bounds of the numbers in messages between hosts that discover each other. Hosts allocate
// memory by some of them, divide by others and use others as indexes, so a message with a
// number beyond its bounds is refused as a whole.
const (
	maxShards     = 1 << 12
	maxCells      = 1 << 12
	maxSteps      = 1 << 8
	maxTasks      = 1 << 16
	maxLoad       = 1 << 50 // thousandths of a processor, also times milliseconds
	maxDurationMS = 1 << 40
	maxPercent    = 1 << 20
	maxAttempts   = 1 << 20
)

// checkedBody is a message whose numbers Decode checks.
type checkedBody interface{ check() error }

// firstInvalid returns an error that names the first number beyond its bounds.
func firstInvalid(checks ...numberCheck) error {
	for _, c := range checks {
		if c.value < c.low || c.value > c.high {
			return errors.Errorf("%s is %d, want %d to %d", c.name, c.value, c.low, c.high)
		}
	}
	return nil
}

type numberCheck struct {
	name             string
	value, low, high int64
}

func (h *FleetHeartbeat) check() error {
	if err := h.CellLayout.check(0); err != nil {
		return err
	}
	for i := range h.Claims {
		c := &h.Claims[i]
		if err := checkShard(c.Shard, c.ShardCount); err != nil {
			return err
		}
		if err := c.Load.check(); err != nil {
			return err
		}
	}
	return firstInvalid(numberCheck{"next heartbeat", h.NextMS, 0, maxDurationMS})
}

func (r *RosterUpdate) check() error {
	for i := range r.CellLayouts {
		if err := r.CellLayouts[i].CellLayout.check(1); err != nil {
			return err
		}
	}
	return nil
}

// Check reports why no failure domain can have this cell layout, or nil.
func (l CellLayout) Check() error { return l.check(1) }

func (l CellLayout) check(least int64) error {
	return firstInvalid(numberCheck{"number of cells", int64(l.Cells), least, maxCells})
}

func checkShard(shard, count int) error {
	return firstInvalid(
		numberCheck{"number of shards", int64(count), 1, maxShards},
		numberCheck{"shard", int64(shard), 0, int64(count) - 1},
	)
}

func (l *PoolLoad) check() error {
	return firstInvalid(
		numberCheck{"capacity", l.Capacity, 0, maxLoad},
		numberCheck{"free capacity", l.Free, -maxLoad, maxLoad},
		numberCheck{"queued work", l.Queued, 0, maxLoad},
	)
}

func (a *JobAck) check() error { return a.Load.check() }

func (r *JobResult) check() error {
	return firstInvalid(numberCheck{"retry time", r.RetryMS, 0, maxDurationMS})
}

func (c *JobCancel) check() error {
	return firstInvalid(numberCheck{"time since the offer", c.SinceOfferMS, -maxDurationMS, maxDurationMS})
}

func (o *JobOffer) check() error {
	if err := checkShard(o.Shard, o.ShardCount); err != nil {
		return err
	}
	if err := firstInvalid(
		numberCheck{"number of steps", int64(len(o.Steps)), 0, maxSteps},
		numberCheck{"attempts", int64(o.Attempts), 0, maxAttempts},
		numberCheck{"stretch", o.StretchPct, 0, maxPercent},
		numberCheck{"constant part of the objective", o.AddMS, 0, maxDurationMS},
		numberCheck{"age", o.AgeMS, -maxDurationMS, maxDurationMS},
		numberCheck{"remaining time", o.RemainingMS, -maxDurationMS, maxDurationMS},
		numberCheck{"time of prior runs", o.PriorRunsMS, 0, maxDurationMS},
	); err != nil {
		return err
	}
	tasks := int64(0)
	for i := range o.Steps {
		s := &o.Steps[i]
		if err := s.check(i); err != nil {
			return err
		}
		tasks += int64(s.Count)
	}
	return firstInvalid(numberCheck{"number of tasks", tasks, 0, maxTasks})
}

// check checks the step with the given index.
func (s *TaskStep) check(index int) error {
	for _, a := range s.After {
		if err := firstInvalid(numberCheck{"step that must end first", int64(a), 0, int64(index) - 1}); err != nil {
			return err
		}
	}
	return firstInvalid(
		numberCheck{"number of tasks", int64(s.Count), 0, maxTasks},
		numberCheck{"processors", s.CPU, 0, maxMinionCPU},
		numberCheck{"memory", s.MemoryMB, 0, maxMinionMemoryMB},
		numberCheck{"accelerators", s.Accelerators, 0, maxMinionAccelerators},
		numberCheck{"estimate", s.EstimateMS, 0, maxDurationMS},
		numberCheck{"tasks on one minion", int64(s.MaxPerMinion), 0, maxTasks},
	)
}
