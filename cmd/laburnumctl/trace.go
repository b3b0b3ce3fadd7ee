package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/logtrace"
	"github.com/pkg/errors"
)

// traceCommand prints the log lines of one job from the logs of several hosts.
type traceCommand struct{}

func (*traceCommand) Name() string { return "trace" }
func (*traceCommand) Synopsis() string {
	return "print the log lines of a job from the logs of all hosts"
}
func (*traceCommand) Usage() string {
	return "trace JOB [FILE...]\n  Print the log lines of a job in order, and the reason for its result.\n  Without FILE, logs are read from standard input.\n"
}
func (*traceCommand) SetFlags(_ *flag.FlagSet) {}

func (c *traceCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	var lines []logtrace.Line
	for _, name := range f.Args()[1:] {
		more, err := readLog(name)
		if err != nil {
			return reportError(err)
		}
		lines = append(lines, more...)
	}
	if f.NArg() == 1 {
		more, err := readLines("standard input", os.Stdin)
		if err != nil {
			return reportError(err)
		}
		lines = more
	}
	t := logtrace.Find(lines, f.Arg(0))
	if err := t.Print(os.Stdout); err != nil {
		return reportError(err)
	}
	if len(t.Lines) == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func readLog(name string) ([]logtrace.Line, error) {
	in, err := os.Open(name)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer in.Close()
	return readLines(name, in)
}

func readLines(name string, in io.Reader) ([]logtrace.Line, error) {
	lines, skipped, err := logtrace.Read(in)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not log lines\n", name, skipped)
	}
	return lines, nil
}
