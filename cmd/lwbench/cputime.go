package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of the times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// observedProcess is a process whose processor time is reported.
type observedProcess struct {
	name string
	pid  int
}

// processorTimes holds the processor time of each observed process, in the order
// of parseProcesses.
type processorTimes []processorTime

type processorTime struct {
	observedProcess
	used time.Duration
}

// parseProcesses parses a list like "name=pid,name=pid" and appends this process.
func parseProcesses(list string) ([]observedProcess, error) {
	var out []observedProcess
	for part := range strings.SplitSeq(list, ",") {
		if part == "" {
			continue
		}
		name, id, _ := strings.Cut(part, "=")
		pid, err := strconv.Atoi(id)
		if err != nil {
			return nil, errors.Errorf("-pids: expected name=pid, got %q", part)
		}
		out = append(out, observedProcess{name, pid})
	}
	return append(out, observedProcess{"this client", os.Getpid()}), nil
}

func readProcessorTimes(ps []observedProcess) processorTimes {
	out := make(processorTimes, len(ps))
	for i, p := range ps {
		out[i] = processorTime{p, processorTimeOf(p.pid)}
	}
	return out
}

// processorTimeOf returns the user and system time of a process, or 0 if the
// process has exited.
func processorTimeOf(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The command name in parentheses (field 2) may contain spaces, so the line
	// is split after it. User and system time are fields 14 and 15 of the line.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * clockTick
}

// since returns the processor time that each process used between the readings
// before and t.
func (t processorTimes) since(before processorTimes) processorTimes {
	out := make(processorTimes, len(t))
	for i := range t {
		out[i] = processorTime{t[i].observedProcess, t[i].used - before[i].used}
	}
	return out
}

// print writes the processor time of each process divided by n units of work.
func (t processorTimes) print(n int64, unit string) {
	if n == 0 {
		return
	}
	var sum time.Duration
	for _, p := range t {
		sum += p.used
		fmt.Printf("processor time of %s: %.1f us per %s\n", p.name, microseconds(p.used)/float64(n), unit)
	}
	fmt.Printf("processor time in all: %.1f us per %s\n", microseconds(sum)/float64(n), unit)
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
