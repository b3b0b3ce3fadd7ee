package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
)

// stopCommand plans the graceful shutdown of hosts.
type stopCommand struct {
	client *hostClient
	hosts  nameList
}

func (*stopCommand) Name() string     { return "stop" }
func (*stopCommand) Synopsis() string { return "plan to drain a host and stop its process gracefully" }
func (*stopCommand) Usage() string {
	return "stop -host NAME\n  Plan to drain a host and to shut its present process down: not ready, no new\n" +
		"  work, requests in progress finish. The host's next process starts drained: end\n" +
		"  that by undrain. Plan it at another host, which keeps the answer of confirm.\n" +
		"  Nothing changes before the plan is confirmed.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 stop -host sul-a-2\n"
}

func (c *stopCommand) SetFlags(f *flag.FlagSet) {
	f.Var(&c.hosts, "host", "`name` of the host; may be repeated")
}

func (c *stopCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(c.hosts) == 0 || f.NArg() > 0 {
		return misused(c, "want -host")
	}
	return makePlan(ctx, c.client, api.PlanRequest{Intent: plan.Stop, Hosts: c.hosts})
}
