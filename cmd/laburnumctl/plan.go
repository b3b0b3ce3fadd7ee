package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
)

// planCommand makes a plan to apply a declared configuration.
type planCommand struct{ client *hostClient }

func (*planCommand) Name() string { return "plan" }
func (*planCommand) Synopsis() string {
	return "plan a declared configuration and show what it would change"
}
func (*planCommand) SetFlags(_ *flag.FlagSet) {}
func (*planCommand) Usage() string {
	return "plan FILE\n  Make a plan to apply the configuration in FILE (JSON with comments), and show\n" +
		"  its changes and impact. Nothing changes until the plan is confirmed. Lists of\n" +
		"  drains that FILE leaves out stay unchanged.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 plan wanted.json\n"
}

func (c *planCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError(c, "expected one argument FILE")
	}
	text, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return reportError(err)
	}
	return requestPlan(ctx, c.client, api.PlanRequest{Intent: plan.Change, File: f.Arg(0), Document: string(text)})
}

// requestPlan requests a plan from the primary address and prints it.
func requestPlan(ctx context.Context, c *hostClient, r api.PlanRequest) subcommands.ExitStatus {
	var p api.PlanResponse
	if err := c.send(ctx, "POST", "/v1/plans", r, &p); err != nil {
		return reportError(err)
	}
	return c.print(p, func() { printPlan(c, &p) })
}

func printPlan(c *hostClient, p *api.PlanResponse) {
	fmt.Printf("plan %s (%s) on version %d, digest %s\n", p.ID, p.Intent, p.Base, p.Digest)
	printSection("changes", p.Changes)
	printSection("warnings", p.Warnings)
	fmt.Println("impact, as host", p.Host, "sees it:")
	fmt.Println("  hosts:  ", joinOrDash(p.Impact.Hosts))
	fmt.Println("  minions:", joinOrDash(p.Impact.Minions))
	fmt.Println("  teams:  ", joinOrDash(p.Impact.Teams))
	fmt.Printf("  tasks:   %d queued, %d running\n", p.Impact.QueuedTasks, p.Impact.Running)
	fmt.Printf("nothing has changed; within %s, confirm with:\n  laburnumctl -host %s confirm %s\n", formatAge(p.ExpiresMS), c.primaryAddress(), p.ID)
}

// printSection prints a title and the lines, or nothing without lines.
func printSection(title string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Println(title + ":")
	for _, l := range lines {
		fmt.Println("  " + l)
	}
}
