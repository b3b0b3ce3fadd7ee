package main

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// controlCommand measures how long configuration changes take to be accepted and
// to reach every host, and the traffic that they cause.
type controlCommand struct {
	changes          int
	loss             float64
	interRegionDelay time.Duration
	seed             uint64
	idle             time.Duration
}

func (*controlCommand) Name() string     { return "control" }
func (*controlCommand) Synopsis() string { return "measure configuration changes in virtual time" }
func (*controlCommand) Usage() string {
	return "control [flags]\n  Simulate the control state machines of 8 to 176 hosts with 3, 5 and 7 control hosts.\n"
}

func (c *controlCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.changes, "changes", 100, "configuration changes per run")
	f.Float64Var(&c.loss, "loss", 0, "fraction of messages that are lost")
	f.DurationVar(&c.interRegionDelay, "far", 25*time.Millisecond, "one-way delay between regions")
	f.Uint64Var(&c.seed, "seed", 1, "seed")
	f.DurationVar(&c.idle, "idle", 20*time.Second, "virtual duration of each idle run")
}

// controlCase is a number of hosts and their spread over failure domains and
// regions.
type controlCase struct {
	hosts   int
	domains int
	regions int
}

var controlCases = []controlCase{{8, 3, 1}, {44, 11, 3}, {88, 11, 3}, {176, 22, 6}}

func (c *controlCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(); err != nil {
		return failWith(subcommands.ExitFailure, err)
	}
	return subcommands.ExitSuccess
}

func (c *controlCommand) run() error {
	fmt.Printf("%d changes a run, loss %.3f, %v one way between regions, synced write %v\n", c.changes, c.loss, c.interRegionDelay, syncedWriteTime)
	fmt.Println("hosts control push      accepted ms  everywhere ms    messages  bytes all  busiest host:        bytes/s at heap KB")
	fmt.Println("                        p50    p99   p50     max      a change  a change   bytes     cpu us   760 a day  a host")
	for _, size := range controlCases {
		for _, members := range []int{3, 5, 7} {
			for _, push := range []pushMode{pushOneRelay, pushTwoRelays, pushDirect} {
				if err := c.measureChanges(size, members, push); err != nil {
					return err
				}
			}
		}
	}
	return c.measureIdleCases()
}

// changesPerDay is the rate of configuration changes that the design assumes.
const changesPerDay = 760

// measureChanges makes c.changes changes with the given size, number of control
// hosts and push mode, and prints one table row.
func (c *controlCommand) measureChanges(size controlCase, members int, push pushMode) error {
	heapBefore := liveHeapKB()
	s := newControlSimulation(c, size, members, push)
	s.proposeFirstVersion()
	s.resetCounters()
	for i := range c.changes {
		if !s.proposeAndWait(i) {
			return errors.Errorf("%d hosts, %d control hosts: change %d was not accepted or did not reach every host", size.hosts, members, i)
		}
	}
	heap := (liveHeapKB() - heapBefore) / float64(size.hosts)
	busiest := s.busiest()
	n := float64(c.changes)
	perChange := float64(busiest.bytes) / n
	fmt.Printf("%5d %7d %-9s %5.1f %6.1f %6.1f %7.1f %9.0f %10.0f %10.0f %8.0f %9.0f %8.1f\n",
		size.hosts, members, push, milliseconds(percentile(s.acceptLatencies, 50)), milliseconds(percentile(s.acceptLatencies, 99)),
		milliseconds(percentile(s.propagationLatencies, 50)), milliseconds(percentile(s.propagationLatencies, 100)),
		float64(s.messages)/n, float64(s.bytes)/n, perChange, microseconds(busiest.processorTime)/n,
		perChange*changesPerDay/(24*time.Hour).Seconds(), heap)
	runtime.KeepAlive(s)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
