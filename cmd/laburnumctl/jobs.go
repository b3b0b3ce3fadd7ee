package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
)

// jobsCommand lists the jobs that a host owns.
type jobsCommand struct {
	client       *hostClient
	includeEnded bool
}

func (*jobsCommand) Name() string     { return "jobs" }
func (*jobsCommand) Synopsis() string { return "list the jobs that a host owns" }
func (*jobsCommand) Usage() string {
	return "jobs [-all]\n  List the jobs in progress that the answering host owns, at most 1000 records.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 -format json jobs -all\n"
}

func (j *jobsCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&j.includeEnded, "all", false, "also show jobs that have ended")
}

func (j *jobsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var known []api.JobInfo
	if err := j.client.read(ctx, "/v1/jobs", &known); err != nil {
		return reportError(err)
	}
	shown := []api.JobInfo{}
	for _, i := range known {
		if j.includeEnded || !i.Ended {
			shown = append(shown, i)
		}
	}
	return j.client.print(shown, func() { printJobs(shown) })
}

func printJobs(jobs []api.JobInfo) {
	t := newTable("JOB", "SERVICE", "AGE", "QUEUED", "RUNNING", "DONE", "ENDED")
	for _, j := range jobs {
		ended := "-"
		if j.Ended {
			ended = j.Code.String()
		}
		t.row(j.Team+"/"+j.Key, j.Service, formatAge(j.AgeMS), j.Queued, j.Running, j.Done, ended)
	}
	t.flush()
}
