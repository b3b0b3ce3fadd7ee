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

// planCommand plans a declared configuration.
type planCommand struct{ client *hostClient }

func (*planCommand) Name() string             { return "plan" }
func (*planCommand) Synopsis() string         { return "show what a declared configuration would change" }
func (*planCommand) SetFlags(_ *flag.FlagSet) {}
func (*planCommand) Usage() string {
	return "plan FILE\n  Show what the configuration in FILE, JSON with comments, would change and touch.\n" +
		"  Nothing changes before the plan is confirmed. Lists of drains that FILE does not\n" +
		"  have stay as they are.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 plan wanted.json\n"
}

func (c *planCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return misused(c, "want one FILE")
	}
	text, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	return makePlan(ctx, c.client, api.PlanRequest{Intent: plan.Change, File: f.Arg(0), Document: string(text)})
}

// makePlan asks the first host for a plan and prints it.
func makePlan(ctx context.Context, c *hostClient, r api.PlanRequest) subcommands.ExitStatus {
	var p api.PlanResponse
	if err := c.send(ctx, "POST", "/v1/plans", r, &p); err != nil {
		return fail(err)
	}
	return c.print(p, func() { printPlan(c, &p) })
}

func printPlan(c *hostClient, p *api.PlanResponse) {
	fmt.Printf("plan %s (%s) on version %d, digest %s\n", p.ID, p.Intent, p.Base, p.Digest)
	printLines("changes", p.Changes)
	printLines("warnings", p.Warnings)
	fmt.Println("touches, as host", p.Host, "sees it:")
	fmt.Println("  hosts:  ", list(p.Impact.Hosts))
	fmt.Println("  minions:", list(p.Impact.Minions))
	fmt.Println("  teams:  ", list(p.Impact.Teams))
	fmt.Printf("  tasks:   %d queued, %d running\n", p.Impact.QueuedTasks, p.Impact.Running)
	fmt.Printf("nothing has changed; within %s, confirm with:\n  laburnumctl -host %s confirm %s\n", age(p.ExpiresMS), c.first(), p.ID)
}

func printLines(title string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Println(title + ":")
	for _, l := range lines {
		fmt.Println("  " + l)
	}
}
