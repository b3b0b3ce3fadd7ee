package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// runSpan is one run of a task on a minion.
type runSpan struct {
	minion string
	task   string
	run    int
	begin  time.Duration
	end    time.Duration // negative: it has not ended
	how    string
}

// record writes what was sent, answered and run to record.txt, and keeps the runs for the
// checks. Times count from the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	spans []*runSpan
	open  map[string]*runSpan // by minion, task and run
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begin: time.Now(), open: make(map[string]*runSpan)}, nil
}

func (r *record) now() time.Duration { return time.Since(r.begin) }

// printf adds a line with the time.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) runBegan(minion, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &runSpan{minion: minion, task: task, run: run, begin: r.now(), end: -1}
	r.spans = append(r.spans, s)
	r.open[fmt.Sprint(minion, task, run)] = s
	r.write("%s starts %s, run %d", minion, task, run)
}

func (r *record) runEnded(minion, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := fmt.Sprint(minion, task, run)
	if s := r.open[key]; s != nil {
		s.end, s.how = r.now(), how
		delete(r.open, key)
	}
	r.write("%s ends %s, run %d: %s", minion, task, run, how)
}

// runsOf returns copies of the runs of a job's tasks, or of all runs if job is empty.
func (r *record) runsOf(job string) []runSpan {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []runSpan
	for _, s := range r.spans {
		if job == "" || strings.HasPrefix(s.task, job+".") {
			out = append(out, *s)
		}
	}
	return out
}
