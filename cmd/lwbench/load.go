package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

const (
	maxLatencyUS  = 60_000_000
	latencyDigits = 3 // significant decimal digits
)

// loadCommand runs a fixed number of callers, each of which submits its next job
// when the previous one is answered. It reports rates, latencies and processor
// time per task.
type loadCommand struct {
	hosts    string
	callers  int
	tasks    int
	payload  string
	team     string
	service  string
	duration time.Duration
	pids     string
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "submit jobs in a closed loop and report rates" }
func (*loadCommand) Usage() string {
	return "load -hosts ADDRESS[,ADDRESS] [flags]\n" +
		"  Submit jobs from a fixed number of callers. Reports the processor time per task\n" +
		"  of this process and of the processes in -pids.\n"
}

func (l *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&l.hosts, "hosts", "127.0.0.1:8101", "callers' listeners, separated by commas")
	f.IntVar(&l.callers, "callers", 32, "number of concurrent callers")
	f.IntVar(&l.tasks, "tasks", 100, "tasks per job")
	f.StringVar(&l.payload, "payload", strings.Repeat("x", 200), "payload of each task")
	f.StringVar(&l.team, "team", "bench", "team")
	f.StringVar(&l.service, "service", "despacho", "service")
	f.DurationVar(&l.duration, "duration", 5*time.Second, "how long to submit")
	f.StringVar(&l.pids, "pids", "", "`name=pid` list of processes whose processor time is reported")
}

// loadResult accumulates the answers of all callers.
type loadResult struct {
	tasks  atomic.Int64 // of jobs answered with result.OK
	errors atomic.Int64 // requests without a decoded answer

	mu      sync.Mutex
	codes   map[result.Code]int
	latency *hdrhistogram.Histogram // microseconds per job
}

func (l *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	processes, err := parseProcesses(l.pids)
	if err != nil {
		return failWith(subcommands.ExitUsageError, err)
	}
	c, err := newHTTPClient(l.callers)
	if err != nil {
		return failWith(subcommands.ExitFailure, err)
	}
	r := &loadResult{codes: make(map[result.Code]int), latency: hdrhistogram.New(1, maxLatencyUS, latencyDigits)}
	before := readProcessorTimes(processes)
	begin := time.Now()
	l.run(ctx, c, r)
	elapsed := time.Since(begin)
	used := readProcessorTimes(processes).since(before)
	l.report(r, elapsed, used)
	if r.errors.Load() > 0 || r.tasks.Load() == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (l *loadCommand) run(ctx context.Context, c *client.Client, r *loadResult) {
	s := &submitter{http: c, team: l.team, service: l.service, tasks: l.tasks, payload: l.payload}
	ctx, cancel := context.WithTimeout(ctx, l.duration)
	defer cancel()
	hosts := strings.Split(l.hosts, ",")
	var wg sync.WaitGroup
	for i := range l.callers {
		host := hosts[i%len(hosts)]
		wg.Go(func() {
			for ctx.Err() == nil {
				r.submitAndRecord(s, host)
			}
		})
	}
	wg.Wait()
}

// submitAndRecord submits one job and records its code and latency.
func (r *loadResult) submitAndRecord(s *submitter, host string) {
	answer, took, err := s.submit(host)
	if err != nil {
		r.errors.Add(1)
		return
	}
	if answer.Code == result.OK {
		r.tasks.Add(int64(s.tasks))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.codes[answer.Code]++
	_ = r.latency.RecordValue(took.Microseconds()) // a latency out of range is not recorded
}

func (l *loadCommand) report(r *loadResult, elapsed time.Duration, used processorTimes) {
	tasks := r.tasks.Load()
	fmt.Printf("tasks %d in %.1f s: %.0f starts/s; transport errors %d\n",
		tasks, elapsed.Seconds(), float64(tasks)/elapsed.Seconds(), r.errors.Load())
	for code, n := range r.codes {
		fmt.Printf("  code %d %s: %d jobs\n", code, code, n)
	}
	fmt.Printf("job latency us: p50 %d, p99 %d, p99.9 %d\n",
		r.latency.ValueAtQuantile(50), r.latency.ValueAtQuantile(99), r.latency.ValueAtQuantile(99.9))
	used.print(tasks, "task")
}
