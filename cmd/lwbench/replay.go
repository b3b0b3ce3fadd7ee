package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/replay"
)

// maxMismatches limits the number of mismatches printed per file.
const maxMismatches = 20

// replayCommand applies the recorded inputs of a host's engine to a new engine and
// compares its outcomes with the recorded ones.
type replayCommand struct{}

func (*replayCommand) Name() string { return "replay" }
func (*replayCommand) Synopsis() string {
	return "replay recorded traces and compare the outcomes with the recorded ones"
}
func (*replayCommand) Usage() string            { return "replay FILE...\n" }
func (*replayCommand) SetFlags(f *flag.FlagSet) {}

// Execute prints one line per file and its mismatches. It fails if an outcome
// differs from the recorded one or a file cannot be read.
func (*replayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "replay: no trace file given")
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
	if len(r.Mismatches) == 0 {
		return nil
	}
	for _, m := range r.Mismatches[:min(len(r.Mismatches), maxMismatches)] {
		fmt.Println("  " + m)
	}
	return fmt.Errorf("%d outcomes differ from the recorded ones", len(r.Mismatches))
}
