package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/backend"
)

// floorBodyBytes is the size of each request body; the floor is defined for this
// size.
const floorBodyBytes = 200

// floorCommand measures the processor time of a bare POST with the HTTP client
// library: the lower bound for the cost of a task start.
type floorCommand struct {
	address     string
	connections int
	duration    time.Duration
	pids        string
}

func (*floorCommand) Name() string { return "floor" }
func (*floorCommand) Synopsis() string {
	return "measure the processor time of bare POSTs to a stand-in minion"
}
func (*floorCommand) Usage() string {
	return "floor -address ADDRESS [flags]\n  POST 200 bytes over kept-alive connections and report processor time.\n"
}

func (c *floorCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "address of a stand-in minion with at least as many slots as connections")
	f.IntVar(&c.connections, "connections", 128, "number of connections")
	f.DurationVar(&c.duration, "duration", 3*time.Second, "how long to measure")
	f.StringVar(&c.pids, "pids", "", "`name=pid` list of processes whose processor time is reported")
}

func (c *floorCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	processes, err := parseProcesses(c.pids)
	if err != nil {
		return failWith(subcommands.ExitUsageError, err)
	}
	before := readProcessorTimes(processes)
	begin := time.Now()
	posts, failures, err := c.run(ctx)
	if err != nil {
		return failWith(subcommands.ExitFailure, err)
	}
	elapsed := time.Since(begin)
	fmt.Printf("posts %d: %.0f/s; failures %d\n", posts, float64(posts)/elapsed.Seconds(), failures)
	readProcessorTimes(processes).since(before).print(posts, "post")
	return subcommands.ExitSuccess
}

func (c *floorCommand) run(ctx context.Context) (posts, failures int64, err error) {
	h, err := newHTTPClient(c.connections)
	if err != nil {
		return 0, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.duration)
	defer cancel()
	body := []byte(strings.Repeat("x", floorBodyBytes))
	var ok, failed atomic.Int64
	var wg sync.WaitGroup
	for i := range c.connections {
		identity := fmt.Sprintf("floor/%d", i)
		wg.Go(func() {
			req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
			for ctx.Err() == nil {
				req.Reset()
				resp.Reset()
				req.SetMethod("POST")
				req.SetRequestURI("http://" + c.address + backend.PathTasks)
				req.Header.Set(backend.HeaderTask, identity)
				req.SetBodyRaw(body)
				if err := h.Do(context.Background(), req, resp); err != nil || resp.StatusCode() != 200 {
					failed.Add(1)
					continue
				}
				ok.Add(1)
			}
		})
	}
	wg.Wait()
	return ok.Load(), failed.Load(), nil
}
