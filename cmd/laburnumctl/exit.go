package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Exit statuses beside those of the subcommands library: 0 success, 1 failure
// without an answer, 2 wrong usage.
const (
	exitRefused     subcommands.ExitStatus = 3 // a numbered code says why
	exitNotComplete subcommands.ExitStatus = 4 // a job or a change is not (yet) complete
)

const exitStatusHelp = `
Exit status: 0 done; 1 no answer; 2 wrong usage; 3 refused, with a numbered
code; 4 not complete: a job without its whole answer, or a configuration that
is not yet in force everywhere.

Nothing changes before confirm:
	laburnumctl -host 10.0.0.1:8103 plan wanted.json
	laburnumctl -host 10.0.0.1:8103 confirm PLAN
`

// fail reports an error and returns the exit status for it.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "laburnumctl:", err)
	if _, refused := result.CodeOf(err); refused {
		return exitRefused
	}
	return subcommands.ExitFailure
}

// misused reports wrong usage.
func misused(c subcommands.Command, problem string) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "laburnumctl: %s\n%s", problem, c.Usage())
	return subcommands.ExitUsageError
}
