// Command lwbench is the developers' tool: a stand-in minion, a load
// generator and experiments.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.CommandsCommand(), "help")
	subcommands.Register(&minionCommand{}, "stand-ins")
	subcommands.Register(&loadCommand{}, "measurements")
	subcommands.Register(&floorCommand{}, "measurements")
	subcommands.Register(&slowCommand{}, "measurements")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
