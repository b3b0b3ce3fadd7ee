package main

import (
	"context"
	"flag"
	"strings"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// fetchCommand shows the answer of a job.
type fetchCommand struct {
	client *hostClient
	wait   bool // until the job ends
}

func (*fetchCommand) Name() string     { return "fetch" }
func (*fetchCommand) Synopsis() string { return "show the answer of a job" }
func (*fetchCommand) Usage() string {
	return "fetch [-wait=false] TEAM/KEY\n  Show the answer of a job. Any host of the job's region can be asked.\n" +
		"  Exit status 4: the job is in progress, or ended without a complete answer.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 -timeout 60s fetch patio/quote-7731\n"
}

func (c *fetchCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.wait, "wait", true, "wait until the job ends")
}

func (c *fetchCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, ok := jobPath(f)
	if !ok {
		return usageError(c, "expected one argument TEAM/KEY")
	}
	if !c.wait {
		path += "?wait=false"
	}
	var r api.JobResponse
	if err := c.client.read(ctx, path, &r); r.Name == "" && err != nil {
		return reportError(err)
	}
	return printAnswer(c.client, &r)
}

// jobPath returns the HTTP path of the job named by the only argument, TEAM/KEY.
// ok is false for any other arguments.
func jobPath(f *flag.FlagSet) (path string, ok bool) {
	team, key, ok := strings.Cut(f.Arg(0), "/")
	if !ok || f.NArg() != 1 || team == "" || key == "" {
		return "", false
	}
	return "/v1/jobs/" + team + "/" + key, true
}

// printAnswer prints a job's answer and returns the exit status for its code.
func printAnswer(c *hostClient, r *api.JobResponse) subcommands.ExitStatus {
	if status := c.print(r, func() { printJob(r) }); status != subcommands.ExitSuccess {
		return status
	}
	switch r.Code {
	case result.OK:
		return subcommands.ExitSuccess
	case result.JobUnknown:
		return exitRefused
	}
	return exitNotComplete
}
