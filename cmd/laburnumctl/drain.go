package main

import (
	"context"
	"flag"
	"strings"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
)

// nameList is the value of a flag that may be repeated and takes names separated
// by commas.
type nameList []string

func (l *nameList) String() string { return strings.Join(*l, ",") }

func (l *nameList) Set(s string) error {
	*l = append(*l, strings.Split(s, ",")...)
	return nil
}

// drainCommand makes a plan to drain minions or hosts, or to end their drain.
type drainCommand struct {
	client  *hostClient
	intent  plan.Intent // plan.Drain or plan.Undrain
	minions nameList
	hosts   nameList
}

func (c *drainCommand) Name() string { return string(c.intent) }

func (c *drainCommand) Synopsis() string {
	if c.intent == plan.Undrain {
		return "plan to end the drain of minions or hosts"
	}
	return "plan to stop giving minions or hosts new work"
}

func (c *drainCommand) Usage() string {
	n := c.Name()
	return n + " -minion NAME... | -host NAME...\n  Plan to " + strings.TrimPrefix(c.Synopsis(), "plan to ") +
		". Work in progress finishes.\n  Nothing changes until the plan is confirmed.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 " + n + " -minion minion-a1 minion-a2\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 " + n + " -host sul-a-1\n"
}

func (c *drainCommand) SetFlags(f *flag.FlagSet) {
	f.Var(&c.minions, "minion", "`name` of a minion; may be repeated, and further minions may follow as arguments")
	f.Var(&c.hosts, "host", "`name` of a host; may be repeated, and further hosts may follow as arguments")
}

func (c *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case len(c.minions) == 0 && len(c.hosts) == 0:
		return usageError(c, "expected -minion or -host")
	case f.NArg() > 0 && len(c.minions) > 0 && len(c.hosts) > 0:
		return usageError(c, "arguments without a flag are ambiguous: put -minion or -host before each name")
	case len(c.minions) > 0:
		c.minions = append(c.minions, f.Args()...)
	default:
		c.hosts = append(c.hosts, f.Args()...)
	}
	return requestPlan(ctx, c.client, api.PlanRequest{Intent: c.intent, Minions: c.minions, Hosts: c.hosts})
}
