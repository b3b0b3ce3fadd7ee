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

// capacityCommand applies one kind of load to a daemon at several sizes and fits
// its processor time and memory to linear functions of the size.
type capacityCommand struct {
	kind     string
	sizes    string
	pid      int
	callers  string
	minions  string
	domain   string
	duration time.Duration
	warmUp   time.Duration
}

func (*capacityCommand) Name() string { return "capacity" }
func (*capacityCommand) Synopsis() string {
	return "measure a daemon's processor time and memory at several load sizes"
}
func (*capacityCommand) Usage() string {
	return "capacity -kind KIND -sizes N,N,N -pid PID [flags]\n" +
		"  KIND is minions (announced and idle), connections (of idle callers), tasks (task\n" +
		"  starts per second in jobs of 100), jobs (task starts per second in jobs of 1) or\n" +
		"  records (stored keys of ended jobs of one task).\n"
}

func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "minions", "kind of load")
	f.StringVar(&c.sizes, "sizes", "", "at least three sizes in ascending order, separated by commas")
	f.IntVar(&c.pid, "pid", 0, "process id of the daemon")
	f.StringVar(&c.callers, "callers", "127.0.0.1:8101", "callers' listener")
	f.StringVar(&c.minions, "minions", "127.0.0.1:8102", "minions' listener")
	f.StringVar(&c.domain, "domain", "bench", "failure domain of stand-in minions")
	f.DurationVar(&c.duration, "duration", 5*time.Second, "duration of the measurement at each size")
	f.DurationVar(&c.warmUp, "settle", 2*time.Second, "wait between setting a load size and measuring")
}

// sample is the resource use of the daemon at one load size.
type sample struct {
	size      float64 // measured rate per second, or the requested count
	processor float64 // thousandths of a core
	memory    float64 // resident KiB
}

// load generates one kind of load on the daemon.
type load interface {
	// increaseTo increases the load to the given size.
	increaseTo(ctx context.Context, size int) error
	// progress returns the number of minions, connections, completed tasks or
	// records so far. If isRate is true, the size of the load is the increase of
	// total per second.
	progress() (total int64, isRate bool)
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
	printReport(c.kind, samples)
	return subcommands.ExitSuccess
}

const minSizes = 3

func parseSizes(list string) ([]int, error) {
	var out []int
	for part := range strings.SplitSeq(list, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 || len(out) > 0 && n <= out[len(out)-1] {
			return nil, errors.Errorf("-sizes: expected ascending numbers, got %q", list)
		}
		out = append(out, n)
	}
	if len(out) < minSizes {
		return nil, errors.Errorf("-sizes: expected at least %d sizes", minSizes)
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
	if err := l.increaseTo(ctx, size); err != nil {
		return sample{}, err
	}
	time.Sleep(c.warmUp)
	used, begin := processorTimeOf(c.pid), time.Now()
	done, isRate := l.progress()
	time.Sleep(c.duration)
	elapsed := time.Since(begin).Seconds()
	s := sample{size: float64(size)}
	if isRate {
		after, _ := l.progress()
		s.size = float64(after-done) / elapsed
	}
	const milli = 1000
	s.processor = (processorTimeOf(c.pid) - used).Seconds() / elapsed * milli
	memory, err := residentKiB(c.pid)
	s.memory = memory
	return s, err
}

// residentKiB returns the resident memory of a process from /proc/PID/status.
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
	return 0, errors.Errorf("/proc/%d/status has no VmRSS line", pid)
}

// printReport prints the samples and a least-squares linear fit of each resource.
func printReport(kind string, samples []sample) {
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

// printFit prints a linear fit of y, the use of a resource, to the load sizes x,
// with R2 and the largest residual.
func printFit(resource, unit, kind string, x, y []float64) {
	base, slope := stat.LinearRegression(x, y, nil, false)
	worst := 0.0
	for i := range x {
		worst = max(worst, abs(y[i]-base-slope*x[i]))
	}
	fmt.Printf("%s: %.2f + %.5f per %s, in %s; R2 %.3f, largest residual %.2f\n",
		resource, base, slope, kind, unit, stat.RSquared(x, y, nil, base, slope), worst)
}

func abs(v float64) float64 {
	if v < 0 {
		return -v
	}
	return v
}
