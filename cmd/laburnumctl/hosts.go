package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
)

// hostsCommand shows the peers of a host and their state as known to that host.
type hostsCommand struct{ client *hostClient }

func (*hostsCommand) Name() string { return "hosts" }
func (*hostsCommand) Synopsis() string {
	return "show the peers of a host and their state as known to that host"
}
func (*hostsCommand) SetFlags(_ *flag.FlagSet) {}
func (*hostsCommand) Usage() string {
	return "hosts\n  Show the peers of the answering host: whether it reaches them, their round\n" +
		"  trip, their configuration version and the time since their last message.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 hosts\n"
}

func (h *hostsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var r api.StatusResponse
	if err := h.client.read(ctx, "/v1/status", &r); err != nil {
		return reportError(err)
	}
	return h.client.print(r.Hosts, func() { printHosts(&r) })
}

func printHosts(r *api.StatusResponse) {
	t := newTable("PEER", "DOMAIN", "REGION", "UP", "ROUND TRIP US", "CONFIG", "HEARD")
	for _, h := range r.Hosts {
		t.row(h.Name, h.FailureDomain, h.Region, h.Up, h.RoundTripUS, h.ConfigVersion, formatAge(h.LastMessageAgeMS))
	}
	t.flush()
}
