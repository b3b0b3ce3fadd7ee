package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
)

// hostsCommand shows the other hosts as one host sees them.
type hostsCommand struct{ client *hostClient }

func (*hostsCommand) Name() string             { return "hosts" }
func (*hostsCommand) Synopsis() string         { return "show the other hosts as one host sees them" }
func (*hostsCommand) SetFlags(_ *flag.FlagSet) {}
func (*hostsCommand) Usage() string {
	return "hosts\n  Show the other hosts as the answering host sees them: reachable or not, round\n" +
		"  trip, configuration version and how long ago each was heard.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 hosts\n"
}

func (h *hostsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var r api.StatusResponse
	if err := h.client.read(ctx, "/v1/status", &r); err != nil {
		return fail(err)
	}
	return h.client.print(r.Hosts, func() { printHosts(&r) })
}

func printHosts(r *api.StatusResponse) {
	t := newTable("PEER", "DOMAIN", "REGION", "UP", "ROUND TRIP US", "CONFIG", "HEARD")
	for _, h := range r.Hosts {
		t.row(h.Name, h.FailureDomain, h.Region, h.Up, h.RoundTripUS, h.ConfigVersion, age(h.HeardMS))
	}
	t.flush()
}
