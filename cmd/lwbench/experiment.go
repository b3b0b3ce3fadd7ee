package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"golang.org/x/sync/errgroup"
)

// stragglerFactor is the factor by which a slow minion lengthens run times.
const stragglerFactor = 5

// scenario is the fault or load pattern of a run.
type scenario struct {
	name       string
	stragglers bool // one of the seventeen minions is slow
	failing    bool // one minion fails every task immediately
	burst      bool // the arrival rate rises periodically
	killHost   bool // the first host is killed halfway through the trace
}

func (s scenario) isSlow(minion int) bool { return s.stragglers && minion == 0 }

var scenarios = []scenario{
	{name: "healthy"},
	{name: "stragglers", stragglers: true},
	{name: "failing", failing: true},
	{name: "burst", burst: true},
	{name: "kill", killHost: true},
}

// variant is one of the compared dispatch policies.
type variant struct {
	name string
	run  func(seed uint64, t *trace, s scenario) *outcome
}

func engineVariant(name string, p engine.SlotPolicy) variant {
	return variant{name, func(seed uint64, t *trace, s scenario) *outcome { return runEngine(seed, t, s, p) }}
}

func baselineVariant(name string, p placement) variant {
	return variant{name, func(seed uint64, t *trace, s scenario) *outcome { return runBaseline(seed, t, s, p) }}
}

var variants = []variant{
	{"reference", func(seed uint64, t *trace, _ scenario) *outcome { return runReference(seed, t) }},
	baselineVariant("random", placeRandom),
	baselineVariant("round robin", placeRoundRobin),
	baselineVariant("least loaded", placeLeastLoaded),
	engineVariant("A anywhere", engine.SlotsAnywhere),
	engineVariant("B split", engine.SlotsSplit),
	engineVariant("B leased", engine.SlotsLeased),
	engineVariant("C central", engine.SlotsCentral),
}

// experimentCommand compares dispatch policies over one seeded trace.
type experimentCommand struct {
	seed      uint64
	tasks     int
	teams     int
	loads     string
	mixes     string
	scenarios string
	variants  string
	parallel  int
}

func (*experimentCommand) Name() string     { return "experiment" }
func (*experimentCommand) Synopsis() string { return "compare dispatch policies in virtual time" }
func (*experimentCommand) Usage() string {
	return "experiment [flags]\n" +
		"  Runs the engines of a failure domain's hosts on one seeded arrival trace per\n" +
		"  load and prints a Markdown table.\n"
}

func (c *experimentCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of traces and delays")
	f.IntVar(&c.tasks, "tasks", 150_000, "tasks per trace")
	f.IntVar(&c.teams, "teams", 1, "number of teams of equal weight; half of the jobs belong to the first team")
	f.StringVar(&c.loads, "loads", "50,70,90,110", "offered loads in percent of the slots, separated by commas")
	f.StringVar(&c.mixes, "mixes", "mixed,single,hundred", "job mixes, separated by commas")
	f.StringVar(&c.scenarios, "scenarios", "healthy", "scenarios, separated by commas, or all")
	f.StringVar(&c.variants, "variants", "all", "variants, separated by commas, or all")
	f.IntVar(&c.parallel, "parallel", 3, "maximum number of concurrent runs")
}

// selected reports whether a comma-separated list is "all" or contains name.
func selected(list, name string) bool {
	return list == "all" || slices.Contains(strings.Split(list, ","), name)
}

// Execute runs the selected scenarios, job mixes, loads and variants.
func (c *experimentCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	loads, err := parseLoads(c.loads)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	c.printHeader()
	for _, s := range scenarios {
		for _, m := range jobMixes {
			if !selected(c.scenarios, s.name) || !selected(c.mixes, m.name) {
				continue
			}
			for _, load := range loads {
				c.compare(s, m, load)
			}
		}
	}
	return subcommands.ExitSuccess
}

func parseLoads(list string) ([]int, error) {
	var loads []int
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n <= 0 {
			return nil, fmt.Errorf("load %q is not a positive number", s)
		}
		loads = append(loads, n)
	}
	return loads, nil
}

// compare runs the selected variants on the same trace, up to c.parallel of them
// concurrently, and prints their rows in the order of variants.
func (c *experimentCommand) compare(s scenario, m jobMix, load int) {
	rows := make([]string, len(variants))
	var g errgroup.Group
	g.SetLimit(c.parallel)
	var mu sync.Mutex
	for i, v := range variants {
		if !selected(c.variants, v.name) {
			continue
		}
		g.Go(func() error {
			t := newTrace(c.seed, m, float64(load)/100, c.tasks, s.burst)
			t.assignTeams(c.teams)
			row := formatRow(s, m, load, v.name, v.run(c.seed, t, s))
			mu.Lock()
			defer mu.Unlock()
			rows[i] = row
			return nil
		})
	}
	_ = g.Wait() // the functions always return nil
	for _, row := range rows {
		if row != "" {
			fmt.Println(row)
		}
	}
}

func (c *experimentCommand) printHeader() {
	fmt.Printf("Seed %d, %d tasks a trace, %d teams, %d hosts, %d minions of %d slots. Response over the ideal.\n\n",
		c.seed, c.tasks, c.teams, traceHosts, traceMinions, slotsPerMinion)
	fmt.Println("| scenario | jobs | load | variant | median | p99 | p99.9 | p99 by size 1 / 2-5 / 6-20 / 21-100 / 101-200 | wasted per task | wasted per job | wasted | refused starts per job | goodput | not complete | codes |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

func formatRow(s scenario, m jobMix, load int, name string, o *outcome) string {
	var sizes []string
	for _, h := range o.ratioBySize {
		if h.TotalCount() == 0 {
			sizes = append(sizes, "-")
			continue
		}
		sizes = append(sizes, fmt.Sprintf("%.2f", quantile(h, 99)))
	}
	return fmt.Sprintf("| %s | %s | %d%% | %s | %.3f | %.2f | %.2f | %s | %.3f | %.2f | %.2f%% | %.2f | %.1f%% | %d of %d | %s |",
		s.name, m.name, load, name, quantile(o.ratio, 50), quantile(o.ratio, 99), quantile(o.ratio, 99.9), strings.Join(sizes, " / "),
		float64(o.wastedMessages())/float64(max(o.completedTasks, 1)), float64(o.wastedMessages())/float64(max(o.completedJobs, 1)), 100*o.wastedShare(),
		o.refusalsPerJob(), 100*o.goodput(), o.incompleteJobs(), len(o.trace.arrivals), formatCodes(o))
}

func formatCodes(o *outcome) string {
	var parts []string
	for c, n := range o.codes {
		parts = append(parts, fmt.Sprintf("%d: %d", c, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
