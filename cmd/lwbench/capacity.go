package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// capacityCommand puts a daemon under one kind of load at several sizes and
// fits straight lines through its processor time and memory.
type capacityCommand struct {
	kind     string
	sizes    string
	pid      int
	callers  string
	minions  string
	domain   string
	duration time.Duration
	settle   time.Duration
}

func (*capacityCommand) Name() string     { return "capacity" }
func (*capacityCommand) Synopsis() string { return "measure a daemon's cost at several sizes" }
func (*capacityCommand) Usage() string {
	return "capacity -kind KIND -sizes N,N,N -pid PID [flags]\n" +
		"  KIND is minions (announced, idle), connections (of idle callers), tasks (starts\n" +
		"  per second in jobs of 100), jobs (starts per second in jobs of 1) or records\n" +
		"  (remembered keys of ended jobs of one task).\n"
}

func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "minions", "kind of load")
	f.StringVar(&c.sizes, "sizes", "", "ascending sizes, separated by commas; at least three")
	f.IntVar(&c.pid, "pid", 0, "process id of the daemon")
	f.StringVar(&c.callers, "callers", "127.0.0.1:8101", "callers' listener")
	f.StringVar(&c.minions, "minions", "127.0.0.1:8102", "minions' listener")
	f.StringVar(&c.domain, "domain", "bench", "failure domain of stand-in minions")
	f.DurationVar(&c.duration, "duration", 5*time.Second, "length of one measurement")
	f.DurationVar(&c.settle, "settle", 2*time.Second, "wait between a load's start and its measurement")
}

// sample is the daemon's cost at one size. Rates are per second.
type sample struct {
	size      float64 // what the load really reached
	processor float64 // thousandths of a core
	memory    float64 // resident KiB
}

// load is one kind of load on the daemon.
type load interface {
	// grow brings the load to the given size.
	grow(ctx context.Context, size int) error
	// reached returns the work done so far, for loads that are rates.
	reached() (total int64, isRate bool)
	stop()
}

func (c *capacityCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sizes, err := parseSizes(c.sizes)
	if err != nil {
		return failWith(subcommands.ExitUsageError, err)
	}
	l, err := c.newLoad()
	if err != nil {
		return failWith(subcommands.ExitUsageError, err)
	}
	defer l.stop()
	samples := make([]sample, 0, len(sizes))
	for _, n := range sizes {
		s, err := c.measure(ctx, l, n)
		if err != nil {
			return failWith(subcommands.ExitFailure, err)
		}
		samples = append(samples, s)
	}
	report(c.kind, samples)
	return subcommands.ExitSuccess
}

const minSizes = 3

func parseSizes(list string) ([]int, error) {
	var out []int
	for part := range strings.SplitSeq(list, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 || len(out) > 0 && n <= out[len(out)-1] {
			return nil, errors.Errorf("-sizes: want ascending numbers, got %q", list)
		}
		out = append(out, n)
	}
	if len(out) < minSizes {
		return nil, errors.Errorf("-sizes: want at least %d", minSizes)
	}
	return out, nil
}

func (c *capacityCommand) newLoad() (load, error) {
	switch c.kind {
	case "minions":
		return newMinionLoad(c.domain, c.minions), nil
	case "connections":
		return &connectionLoad{address: c.callers}, nil
	case "tasks":
		return newRateLoad(c.callers, 100)
	case "jobs":
		return newRateLoad(c.callers, 1)
	case "records":
		return newRecordLoad(c.callers)
	}
	return nil, errors.Errorf("-kind: unknown kind %q", c.kind)
}

func (c *capacityCommand) measure(ctx context.Context, l load, size int) (sample, error) {
	if err := l.grow(ctx, size); err != nil {
		return sample{}, err
	}
	time.Sleep(c.settle)
	used, begin := processorTimeOf(c.pid), time.Now()
	done, isRate := l.reached()
	time.Sleep(c.duration)
	elapsed := time.Since(begin).Seconds()
	s := sample{size: float64(size)}
	if isRate {
		after, _ := l.reached()
		s.size = float64(after-done) / elapsed
	}
	const milli = 1000
	s.processor = (processorTimeOf(c.pid) - used).Seconds() / elapsed * milli
	memory, err := residentKiB(c.pid)
	s.memory = memory
	return s, err
}

// residentKiB reads the resident memory of a process from /proc/PID/status.
func residentKiB(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kib, errors.WithStack(err)
		}
	}
	return 0, errors.Errorf("no VmRSS of process %d", pid)
}

// report prints the samples and the least-squares lines through them.
func report(kind string, samples []sample) {
	fmt.Printf("| %s | processor, thousandths of a core | resident KiB |\n| --- | --- | --- |\n", kind)
	var x, processor, memory []float64
	for _, s := range samples {
		fmt.Printf("| %.0f | %.1f | %.0f |\n", s.size, s.processor, s.memory)
		x = append(x, s.size)
		processor = append(processor, s.processor)
		memory = append(memory, s.memory)
	}
	printFit("processor", "thousandths of a core", kind, x, processor)
	printFit("memory", "KiB", kind, x, memory)
}

func printFit(what, unit, kind string, x, y []float64) {
	base, slope := stat.LinearRegression(x, y, nil, false)
	worst := 0.0
	for i := range x {
		worst = max(worst, abs(y[i]-base-slope*x[i]))
	}
	fmt.Printf("%s: %.2f + %.5f per %s, in %s; R2 %.3f, largest residual %.2f\n",
		what, base, slope, kind, unit, stat.RSquared(x, y, nil, base, slope), worst)
}

func abs(v float64) float64 {
	if v < 0 {
		return -v
	}
	return v
}
