package main

import (
	"context"
	"flag"
	"net"
	"strings"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/standin"
)

// minionCommand runs a stand-in minion until SIGTERM or SIGINT.
type minionCommand struct {
	announcement minion.Announcement
	listen       string
	hosts        string
	services     string
	delays       standin.Delays
}

func (*minionCommand) Name() string     { return "minion" }
func (*minionCommand) Synopsis() string { return "run a stand-in minion" }
func (*minionCommand) Usage() string {
	return "minion -name NAME -domain DOMAIN -hosts ADDRESS[,ADDRESS] [flags]\n" +
		"  Run a stand-in minion until SIGTERM, then leave gracefully.\n"
}

func (m *minionCommand) SetFlags(f *flag.FlagSet) {
	a := &m.announcement
	f.StringVar(&a.Name, "name", "", "name of the minion")
	f.StringVar(&a.Worker, "worker", "worker-1", "worker that the minion runs on")
	f.StringVar(&a.Rack, "rack", "rack-1", "rack of the worker")
	f.StringVar(&a.FailureDomain, "domain", "", "failure domain")
	f.StringVar(&m.services, "services", "despacho", "services, separated by commas")
	f.IntVar(&a.Slots, "slots", 8, "maximum number of concurrent tasks")
	f.IntVar(&a.Connections, "connections", 64, "maximum number of concurrent connections")
	f.StringVar(&a.Address, "advertise", "", "address to announce (default: the listen address)")
	f.StringVar(&m.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.DurationVar(&m.delays.BeforeRun, "delay-before", 0, "delay between the arrival of a request and the run")
	f.DurationVar(&m.delays.DuringRun, "delay-run", 0, "delay in each run")
	f.DurationVar(&m.delays.AfterRun, "delay-after", 0, "delay between the run and the answer")
	f.BoolVar(&m.delays.OmitTiming, "unreported", false, "leave the run time out of answers")
	f.StringVar(&m.hosts, "hosts", "", "minion listeners of the entry hosts, separated by commas")
}

func (m *minionCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	m.announcement.Services = strings.Split(m.services, ",")
	l, err := net.Listen("tcp", m.listen)
	if err != nil {
		return failWith(subcommands.ExitFailure, err)
	}
	standIn := standin.New(m.announcement, l, strings.Split(m.hosts, ","))
	standIn.Delays = m.delays
	if err := standIn.Run(ctx); err != nil {
		return failWith(subcommands.ExitFailure, err)
	}
	return subcommands.ExitSuccess
}
