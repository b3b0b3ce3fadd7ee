package peer

import "github.com/pkg/errors"

// Bounds of the numbers in messages between hosts that discover each other. Hosts allocate
// memory by some of them, divide by others and use others as indexes, so a message with a
// number beyond its bounds is refused as a whole.
const (
	maxShards     = 1 << 12
	maxCells      = 1 << 12
	maxDurationMS = 1 << 40
	maxCarries    = 1 << 16 // minions
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
		if err := firstInvalid(numberCheck{"phase of a claim", int64(c.Phase), 0, int64(lastClaimPhase)}); err != nil {
			return err
		}
	}
	return firstInvalid(
		numberCheck{"next heartbeat", h.NextMS, 0, maxDurationMS},
		numberCheck{"number of minions carried", int64(h.Carries), 0, maxCarries},
	)
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
		numberCheck{"capacity", l.Capacity, 0, MaxWork},
		numberCheck{"free capacity", l.Free, -MaxWork, MaxWork},
		numberCheck{"queued work", l.Queued, 0, MaxWork},
	)
}

func (a *JobAck) check() error { return a.Load.check() }

func (r *JobResult) check() error {
	if err := checkRuns(r.Runs); err != nil {
		return err
	}
	return firstInvalid(numberCheck{"retry time", r.RetryMS, 0, maxDurationMS})
}

// checkRuns checks the tasks that an earlier dispatcher may have run.
func checkRuns(runs []TaskRun) error {
	for _, r := range runs {
		if err := firstInvalid(numberCheck{"task of a run", int64(r.Task), 0, MaxTasks - 1}); err != nil {
			return err
		}
	}
	return nil
}

func (c *JobCancel) check() error {
	return firstInvalid(numberCheck{"time since the offer", c.SinceOfferMS, -maxDurationMS, maxDurationMS})
}

func (o *JobOffer) check() error {
	if err := checkShard(o.Shard, o.ShardCount); err != nil {
		return err
	}
	if err := CheckTerms(o.Attempts, o.StretchPct, o.AddMS); err != nil {
		return err
	}
	if err := CheckSteps(o.Steps); err != nil {
		return err
	}
	if err := firstInvalid(
		numberCheck{"age", o.AgeMS, -maxDurationMS, maxDurationMS},
		numberCheck{"remaining time", o.RemainingMS, -maxDurationMS, maxDurationMS},
		numberCheck{"time of prior runs", o.PriorRunsMS, 0, maxDurationMS},
	); err != nil {
		return err
	}
	return checkRuns(o.PriorRuns)
}
