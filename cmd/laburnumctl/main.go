// Command laburnumctl is the command-line tool of operators: it inspects hosts and
// jobs, plans and confirms configuration changes, and submits and cancels jobs.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
)

func main() {
	c := &hostClient{}
	c.registerFlags(flag.CommandLine)
	subcommands.ImportantFlag("host")
	subcommands.ImportantFlag("format")
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.CommandsCommand(), "help")
	subcommands.Register(&statusCommand{client: c}, "inspect")
	subcommands.Register(&explainCommand{client: c}, "inspect")
	subcommands.Register(&traceCommand{}, "inspect")
	subcommands.Register(&hostsCommand{client: c}, "inspect")
	subcommands.Register(&minionsCommand{client: c}, "inspect")
	subcommands.Register(&jobsCommand{client: c}, "inspect")
	subcommands.Register(&configCommand{client: c}, "inspect")
	subcommands.Register(&evacuationsCommand{client: c}, "inspect")
	subcommands.Register(&planCommand{client: c}, "change")
	subcommands.Register(&evacuateCommand{client: c, method: "PUT"}, "change")
	subcommands.Register(&evacuateCommand{client: c, method: "DELETE"}, "change")
	subcommands.Register(&drainCommand{client: c, intent: plan.Drain}, "change")
	subcommands.Register(&drainCommand{client: c, intent: plan.Undrain}, "change")
	subcommands.Register(&stopCommand{client: c}, "change")
	subcommands.Register(&confirmCommand{client: c}, "change")
	subcommands.Register(&fetchCommand{client: c}, "jobs")
	subcommands.Register(&cancelCommand{client: c}, "jobs")
	subcommands.Register(&submitCommand{client: c}, "jobs")
	explain := subcommands.DefaultCommander.Explain
	subcommands.DefaultCommander.Explain = func(w io.Writer) {
		explain(w)
		fmt.Fprint(w, exitStatusHelp)
	}
	flag.Parse()
	if c.format != "table" && c.format != "json" {
		fmt.Fprintf(os.Stderr, "laburnumctl: -format %q: expected table or json\n", c.format)
		os.Exit(int(subcommands.ExitUsageError))
	}
	os.Exit(int(subcommands.Execute(context.Background())))
}
