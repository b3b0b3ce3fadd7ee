package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
)

// statusCommand shows one host, its peers and its minions.
type statusCommand struct{ client *hostClient }

func (*statusCommand) Name() string             { return "status" }
func (*statusCommand) Synopsis() string         { return "show a host, its peers and its minions" }
func (*statusCommand) Usage() string            { return "status\n  Show a host, its peers and its minions.\n" }
func (*statusCommand) SetFlags(_ *flag.FlagSet) {}

func (s *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var r api.StatusResponse
	if _, err := s.client.do(ctx, "GET", s.client.host, "/v1/status", nil, &r); err != nil {
		return fail(err)
	}
	return s.client.print(r, func() { printStatus(&r) })
}

func printStatus(r *api.StatusResponse) {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "HOST\tDOMAIN\tACTIVE JOBS\tCONFIG\tSTOPPING\n")
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\n", r.Host, r.FailureDomain, r.ActiveJobs, r.ConfigVersion, r.Stopping)
	fmt.Fprintf(w, "\nPEER\tDOMAIN\tUP\tROUND TRIP US\tCONFIG\n")
	for _, h := range r.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\n", h.Name, h.FailureDomain, h.Up, h.RoundTripUS, h.ConfigVersion)
	}
	fmt.Fprintf(w, "\nMINION\tWORKER\tRACK\tSTATE\tIN USE\tSLOTS\tLEASE MS\n")
	for _, m := range r.Minions {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", m.Name, m.Worker, m.Rack, m.State, m.InUse, m.Slots, m.LeaseMS)
	}
}
