// Command lwbench is the developers' tool: a stand-in minion, a load
// generator and experiments.
package main

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.CommandsCommand(), "help")
	subcommands.Register(&minionCommand{}, "stand-ins")
	subcommands.Register(&loadCommand{}, "measurements")
	subcommands.Register(&floorCommand{}, "measurements")
	subcommands.Register(&slowCommand{}, "measurements")
	subcommands.Register(&ownershipCommand{}, "measurements")
	subcommands.Register(&controlCommand{}, "measurements")
	subcommands.Register(&replayCommand{}, "measurements")
	subcommands.Register(&capacityCommand{}, "measurements")
	subcommands.Register(&experimentCommand{}, "measurements")
	flag.Parse()
	hlog.SetOutput(io.Discard) // its lines would stand between the figures
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
