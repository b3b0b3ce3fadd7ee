package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/replay"
)

// maxMismatches bounds the differences that are printed.
const maxMismatches = 20

// replayCommand plays a recorded trace through the decisions of one host.
type replayCommand struct{}

func (*replayCommand) Name() string             { return "replay" }
func (*replayCommand) Synopsis() string         { return "play a recorded trace against its stated outcomes" }
func (*replayCommand) Usage() string            { return "replay FILE...\n" }
func (*replayCommand) SetFlags(f *flag.FlagSet) {}

// Execute prints a line per file, and fails when an outcome differs.
func (*replayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "replay: name a trace")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if err := replayFile(path); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", path, err)
			status = subcommands.ExitFailure
		}
	}
	return status
}

func replayFile(path string) error {
	in, err := os.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	r, err := replay.Replay(in)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d inputs, %d starts, answers by code %v\n", path, r.Inputs, r.Starts, r.Codes)
	if len(r.Mismatch) == 0 {
		return nil
	}
	for _, m := range r.Mismatch[:min(len(r.Mismatch), maxMismatches)] {
		fmt.Println("  " + m)
	}
	return fmt.Errorf("%d outcomes differ", len(r.Mismatch))
}
