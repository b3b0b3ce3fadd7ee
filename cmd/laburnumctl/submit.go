package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// submitCommand submits a job to the callers' listener of a host, for trials by
// operators.
type submitCommand struct {
	client        *hostClient
	callerAddress string
	key           string
	attempt       int
	team          string
	service       string
	deadline      time.Duration
}

func (*submitCommand) Name() string     { return "submit" }
func (*submitCommand) Synopsis() string { return "submit a job and wait for its answer" }
func (*submitCommand) Usage() string {
	return "submit [flags] PAYLOAD...\n  Submit a job with one task per payload and print the answer.\n" +
		"  Exit status 4: the answer is not complete.\n" +
		"  Example: laburnumctl submit -callers 10.0.0.1:8101 -team patio -service despacho \"gate 17\" \"gate 18\"\n"
}

func (s *submitCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.callerAddress, "callers", "127.0.0.1:8101", "`address` of a host's callers' listener")
	f.StringVar(&s.key, "key", "", "key of the job; a random UUID if empty")
	f.IntVar(&s.attempt, "attempt", 1, "attempt number of the submission")
	f.StringVar(&s.team, "team", "operators", "team of the job")
	f.StringVar(&s.service, "service", "", "service that runs the tasks")
	f.DurationVar(&s.deadline, "deadline", 10*time.Second, "deadline, counted from the receipt of the job")
}

func (s *submitCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Print(s.Usage())
		return subcommands.ExitUsageError
	}
	body, err := json.Marshal(s.request(f.Args()))
	if err != nil {
		return reportError(err)
	}
	s.client.timeout += s.deadline
	var r api.JobResponse
	if _, err := s.client.do(ctx, "POST", s.callerAddress, "/v1/jobs", body, &r); err != nil {
		return reportError(err)
	}
	if status := s.client.print(r, func() { printJob(&r) }); status != subcommands.ExitSuccess {
		return status
	}
	if r.Code != result.OK {
		return exitNotComplete
	}
	return subcommands.ExitSuccess
}

func (s *submitCommand) request(payloads []string) api.SubmitRequest {
	r := api.SubmitRequest{
		Key:           s.key,
		Attempt:       s.attempt,
		Team:          s.team,
		Service:       s.service,
		DeadlineMS:    s.deadline.Milliseconds(),
		SubmittedAtMS: time.Now().UnixMilli(),
	}
	if r.Key == "" {
		r.Key = uuid.NewString()
	}
	for _, p := range payloads {
		r.Tasks = append(r.Tasks, api.TaskBody{Payload: p})
	}
	return r
}

func printJob(r *api.JobResponse) {
	fmt.Printf("%s/%s: %d %s (%s)", r.Team, r.Key, r.Code, r.Name, r.Class)
	if r.Detail != "" {
		fmt.Printf(": %s", r.Detail)
	}
	fmt.Println()
	for i, x := range r.Results {
		fmt.Printf("  task %d: %s\n", i, x)
	}
	if t := r.Timing; t != nil {
		fmt.Printf("  total %d us; last task %d on %s: queue %d us, round trip %d us, run %d us; %d retries\n",
			t.TotalUS, t.Task, t.Minion, t.QueueUS, t.TripUS, t.RunUS, t.Retries)
	}
}
