package main

import (
	"context"
	"flag"
	"strings"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
)

// nameList is a flag that may be repeated, with names separated by commas.
type nameList []string

func (l *nameList) String() string { return strings.Join(*l, ",") }

func (l *nameList) Set(s string) error {
	*l = append(*l, strings.Split(s, ",")...)
	return nil
}

// drainCommand plans a drain or its end.
type drainCommand struct {
	client  *hostClient
	intent  plan.Intent
	minions nameList
	hosts   nameList
}

func (c *drainCommand) Name() string { return string(c.intent) }

func (c *drainCommand) Synopsis() string {
	if c.intent == plan.Undrain {
		return "plan to end the drain of minions or hosts"
	}
	return "plan to give minions or hosts no new work"
}

func (c *drainCommand) Usage() string {
	n := c.Name()
	return n + " -minion NAME... | -host NAME...\n  Plan to " + strings.TrimPrefix(c.Synopsis(), "plan to ") +
		". Work in progress finishes.\n  Nothing changes before the plan is confirmed.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 " + n + " -minion minion-a1 minion-a2\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 " + n + " -host sul-a-1\n"
}

func (c *drainCommand) SetFlags(f *flag.FlagSet) {
	f.Var(&c.minions, "minion", "`name` of a minion; may be repeated, or followed by more names")
	f.Var(&c.hosts, "host", "`name` of a host; may be repeated, or followed by more names")
}

func (c *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case len(c.minions) == 0 && len(c.hosts) == 0:
		return misused(c, "want -minion or -host")
	case f.NArg() > 0 && len(c.minions) > 0 && len(c.hosts) > 0:
		return misused(c, "more names: say of what, by -minion or -host before each")
	case len(c.minions) > 0:
		c.minions = append(c.minions, f.Args()...)
	default:
		c.hosts = append(c.hosts, f.Args()...)
	}
	return makePlan(ctx, c.client, api.PlanRequest{Intent: c.intent, Minions: c.minions, Hosts: c.hosts})
}
