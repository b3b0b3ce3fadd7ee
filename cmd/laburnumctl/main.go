// Command laburnumctl is the operators' command line.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	c := &hostClient{}
	c.setFlags(flag.CommandLine)
	subcommands.ImportantFlag("host")
	subcommands.ImportantFlag("format")
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.CommandsCommand(), "help")
	subcommands.Register(&statusCommand{client: c}, "inspect")
	subcommands.Register(&explainCommand{client: c}, "inspect")
	subcommands.Register(&submitCommand{client: c}, "jobs")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
