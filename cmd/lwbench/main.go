// Command lwbench is a developer tool. It runs a stand-in minion, generates
// load, compares dispatch policies in virtual time and replays recorded traces.
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
	hlog.SetOutput(io.Discard) // its log lines would appear between the lines of the output tables
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
