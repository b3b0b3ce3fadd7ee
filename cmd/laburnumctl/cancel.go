package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// cancelCommand cancels a job: its queued tasks are withdrawn and its started
// tasks are asked to stop.
type cancelCommand struct{ client *hostClient }

func (*cancelCommand) Name() string             { return "cancel" }
func (*cancelCommand) Synopsis() string         { return "cancel a job" }
func (*cancelCommand) SetFlags(_ *flag.FlagSet) {}
func (*cancelCommand) Usage() string {
	return "cancel TEAM/KEY\n  Withdraw a job's queued tasks, ask its started tasks to stop, and show the\n" +
		"  job's answer. Exit status 4: the outcome of a started task may be unknown.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 cancel patio/quote-7731\n"
}

func (c *cancelCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, ok := jobPath(f)
	if !ok {
		return usageError(c, "expected one argument TEAM/KEY")
	}
	var r api.JobResponse
	if err := c.client.request(ctx, "DELETE", c.client.primaryAddress(), path, nil, &r); r.Name == "" && err != nil {
		return reportError(err)
	}
	status := printAnswer(c.client, &r)
	if r.Code == result.CancelledNotRun || r.Code == result.CancelledRan {
		return subcommands.ExitSuccess
	}
	return status
}
