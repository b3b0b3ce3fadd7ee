package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Exit statuses in addition to those of the subcommands library: 0 success, 1
// failure without an answer from a host, 2 wrong usage.
const (
	exitRefused     subcommands.ExitStatus = 3 // the host refused the request with a result code
	exitNotComplete subcommands.ExitStatus = 4 // a job or a configuration change is incomplete
)

const exitStatusHelp = `
Exit status: 0 done; 1 no answer; 2 wrong usage; 3 refused, with a result code;
4 not complete: a job without a complete answer, or a configuration that some
host has not applied yet.

Nothing changes until a plan is confirmed:
	laburnumctl -host 10.0.0.1:8103 plan wanted.json
	laburnumctl -host 10.0.0.1:8103 confirm PLAN
`

// reportError prints an error to standard error and returns the exit status
// for it.
func reportError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "laburnumctl:", err)
	if _, refused := result.CodeOf(err); refused {
		return exitRefused
	}
	return subcommands.ExitFailure
}

// usageError prints a problem with the arguments and the command's usage to
// standard error.
func usageError(c subcommands.Command, problem string) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "laburnumctl: %s\n%s", problem, c.Usage())
	return subcommands.ExitUsageError
}
