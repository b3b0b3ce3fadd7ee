package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
)

// minionsCommand shows the minions of a host's failure domain.
type minionsCommand struct {
	client *hostClient
	state  string
}

func (*minionsCommand) Name() string     { return "minions" }
func (*minionsCommand) Synopsis() string { return "show the minions of a host's failure domain" }
func (*minionsCommand) Usage() string {
	return "minions [-state STATE]\n  Show the minions of the answering host's failure domain. IN USE counts\n" +
		"  only the tasks that the answering host runs on the minion.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 minions -state draining\n"
}

func (m *minionsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&m.state, "state", "", "show only minions in this `state`: ready, leaving, draining, ejected or expired")
}

func (m *minionsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var r api.StatusResponse
	if err := m.client.read(ctx, "/v1/status", &r); err != nil {
		return reportError(err)
	}
	shown := []api.MinionInfo{}
	for _, i := range r.Minions {
		if m.state == "" || m.state == i.State {
			shown = append(shown, i)
		}
	}
	return m.client.print(shown, func() { printMinions(shown) })
}

func printMinions(minions []api.MinionInfo) {
	t := newTable("MINION", "WORKER", "RACK", "STATE", "IN USE", "SLOTS", "LEASE MS", "SERVICES")
	for _, m := range minions {
		t.row(m.Name, m.Worker, m.Rack, m.State, m.InUse, m.Slots, m.LeaseMS, joinOrDash(m.Services))
	}
	t.flush()
}
