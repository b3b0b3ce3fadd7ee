package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
)

// statusCommand shows the state of a host, its peers and its minions.
type statusCommand struct{ client *hostClient }

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show a host, its peers and its minions" }
func (*statusCommand) Usage() string {
	return "status\n  Show a host, its peers and its minions.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103,10.0.0.2:8103 status\n"
}
func (*statusCommand) SetFlags(_ *flag.FlagSet) {}

func (s *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var r api.StatusResponse
	if err := s.client.read(ctx, "/v1/status", &r); err != nil {
		return reportError(err)
	}
	return s.client.print(r, func() { printStatus(&r) })
}

func printStatus(r *api.StatusResponse) {
	t := newTable("HOST", "DOMAIN", "STATE", "ACTIVE JOBS", "CONFIG", "UPTIME", "INCARNATION", "DISK", "VOTING")
	t.row(r.Host, r.FailureDomain, hostState(r), r.ActiveJobs, r.ConfigVersion, formatAge(r.UptimeMS), r.Incarnation, orDash(r.Disk), r.Voting)
	t.flush()
	fmt.Println()
	printHosts(r)
	fmt.Println()
	printMinions(r.Minions)
}

func hostState(r *api.StatusResponse) string {
	switch {
	case r.Stopping:
		return "stopping"
	case r.Drained:
		return "drained"
	}
	return "serving"
}
