package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/verdict/trial"
)

// slowCommand injects delays in virtual time and prints a confusion matrix: the
// injected fault against the part that the verdict names.
type slowCommand struct {
	firstSeed uint64
	seeds     uint64
	episodes  int
}

func (*slowCommand) Name() string     { return "slow" }
func (*slowCommand) Synopsis() string { return "inject delays and check the verdicts on slow answers" }
func (*slowCommand) Usage() string {
	return "slow [flags]\n  Inject delays in virtual time and print the part that the verdict on each slow answer names.\n"
}

func (c *slowCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.firstSeed, "first-seed", 100, "first seed")
	f.Uint64Var(&c.seeds, "seeds", 20, "number of seeds")
	f.IntVar(&c.episodes, "episodes", 40, "episodes per seed; one fault is injected in each")
}

func (c *slowCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var m trial.ConfusionMatrix
	for i := range c.seeds {
		trial.Run(c.firstSeed+i, c.episodes, &m)
	}
	printMatrix(&m)
	return subcommands.ExitSuccess
}

func printMatrix(m *trial.ConfusionMatrix) {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 1, ' ', 0)
	defer w.Flush()
	fmt.Fprint(w, "| injected\t| slow\t| right\t")
	for _, p := range trial.Parts {
		fmt.Fprintf(w, "| %s\t", p)
	}
	fmt.Fprint(w, "|\n|"+" ---\t|"+" ---\t|"+" ---\t")
	for range trial.Parts {
		fmt.Fprint(w, "| ---\t")
	}
	fmt.Fprintln(w, "|")
	for _, f := range trial.Faults() {
		fmt.Fprintf(w, "| %s\t| %d\t| %.2f%%\t", f, m.Slow[f], percent(m.Correct[f], m.Slow[f]))
		for _, p := range trial.Parts {
			fmt.Fprintf(w, "| %d\t", m.Counts[f][p])
		}
		fmt.Fprintln(w, "|")
	}
	slow, right := m.Total()
	fmt.Fprintf(w, "\nanswers %d, slow %d, right %d: %.2f%%\n", m.Answers, slow, right, percent(right, slow))
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
