package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
)

// stopCommand makes a plan to drain hosts and to shut their processes down
// gracefully.
type stopCommand struct {
	client *hostClient
	hosts  nameList
}

func (*stopCommand) Name() string     { return "stop" }
func (*stopCommand) Synopsis() string { return "plan to drain a host and stop its process gracefully" }
func (*stopCommand) Usage() string {
	return "stop -host NAME\n  Plan to drain a host and to shut down its running process: not ready, no new\n" +
		"  work, requests in progress finish. When the process is started again, the host\n" +
		"  is still drained: use undrain. Make the plan at another host, which still has\n  the answer of confirm after the shutdown.\n" +
		"  Nothing changes until the plan is confirmed.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 stop -host sul-a-2\n"
}

func (c *stopCommand) SetFlags(f *flag.FlagSet) {
	f.Var(&c.hosts, "host", "`name` of the host; may be repeated")
}

func (c *stopCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(c.hosts) == 0 || f.NArg() > 0 {
		return usageError(c, "expected -host and no arguments")
	}
	return requestPlan(ctx, c.client, api.PlanRequest{Intent: plan.Stop, Hosts: c.hosts})
}
