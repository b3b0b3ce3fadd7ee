// Package logtrace finds the way of one job in the logs of several hosts and
// tells why it ended as it did.
package logtrace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/pkg/errors"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Source  string // what stands before the JSON text: the host, where a collector adds it
	Event   event.ID
	Message string
	Attrs   map[string]any
}

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// Read returns the lines of a log. Text before a line's JSON object names its
// source; lines without one are passed over, and counted in skipped.
func Read(in io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		l, ok := parse(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, errors.Wrap(s.Err(), "log")
}

func parse(text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	attrs := make(map[string]any)
	d := json.NewDecoder(bytes.NewReader(text[at:]))
	d.UseNumber() // tokens have more digits than a float prints
	if d.Decode(&attrs) != nil {
		return Line{}, false
	}
	l := Line{Source: source(text[:at]), Attrs: attrs}
	l.Event = event.ID(number(&l, event.Key))
	l.Message, _ = attrs["msg"].(string)
	stamp, _ := attrs["time"].(string)
	l.Time, _ = time.Parse(time.RFC3339Nano, stamp) // zero sorts first
	for _, k := range []string{"time", "level", "msg", event.Key} {
		delete(attrs, k)
	}
	return l, l.Event != 0
}

// source returns the last word before the JSON text.
func source(text []byte) string {
	words := strings.Fields(string(text))
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// Trace is the way of one job.
type Trace struct {
	Job     string
	Lines   []Line // that name the job, in order of time
	Minions []Line // that name a minion of the job while the job was open
	Verdict string
}

// Find returns the way of a job, given by its own name or by that of a caller's
// request.
func Find(lines []Line, job string) Trace {
	for _, l := range lines {
		if l.Attrs["request"] == job {
			job, _ = l.Attrs["job"].(string)
			break
		}
	}
	t := Trace{Job: job}
	minions := make(map[string]bool)
	for _, l := range lines {
		if l.Attrs["job"] == job {
			t.Lines = append(t.Lines, l)
			if m, ok := l.Attrs["minion"].(string); ok {
				minions[m] = true
			}
		}
	}
	byTime := func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }
	slices.SortStableFunc(t.Lines, byTime)
	if len(t.Lines) == 0 {
		t.Verdict = "no line names the job: the host that it was sent to wrote none, or its lines were left out (event 1010)"
		return t
	}
	from, to := t.Lines[0].Time, t.Lines[len(t.Lines)-1].Time
	for _, l := range lines {
		m, _ := l.Attrs["minion"].(string)
		if minions[m] && l.Attrs["job"] == nil && !l.Time.Before(from) && !l.Time.After(to) {
			t.Minions = append(t.Minions, l)
		}
	}
	slices.SortStableFunc(t.Minions, byTime)
	t.Verdict = verdict(&t)
	return t
}

func (t *Trace) last(id event.ID) *Line {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		if t.Lines[i].Event == id {
			return &t.Lines[i]
		}
	}
	return nil
}

func (t *Trace) count(id event.ID) int {
	n := 0
	for i := range t.Lines {
		if t.Lines[i].Event == id {
			n++
		}
	}
	return n
}

// verdict names the cause of the job's end.
func verdict(t *Trace) string {
	done, answered := t.last(event.EntryJobDone), t.last(event.EntryJobAnswered)
	switch {
	case answered != nil:
		outcome := number(answered, "outcome")
		reason, _ := answered.Attrs["reason"].(string)
		return outcomeText(peer.JobOutcome(outcome)) + ": " + reason + t.circumstances()
	case done != nil:
		ended := t.last(event.PoolJobEnded)
		if ended == nil || number(ended, "age_ms") <= number(ended, "goal_ms") {
			return "answered with success, in time" + t.circumstances()
		}
		return fmt.Sprintf("answered with success, %.0f ms after its objective", number(ended, "age_ms")-number(ended, "goal_ms")) + t.circumstances()
	}
	if ended := t.last(event.PoolJobEnded); ended != nil {
		reason, _ := ended.Attrs["reason"].(string)
		return "ended at its dispatcher, without an answer to the caller: " + reason + t.circumstances()
	}
	return "not ended in these logs" + t.circumstances()
}

func outcomeText(o peer.JobOutcome) string {
	switch o {
	case peer.JobFailed:
		return "failed"
	case peer.JobRefused:
		return "refused, not run"
	case peer.JobUnknown:
		return "given up, may have run"
	}
	return "ended"
}

func number(l *Line, key string) float64 {
	text, _ := l.Attrs[key].(json.Number)
	n, err := text.Float64()
	if err != nil {
		return 0 // the line has no such number
	}
	return n
}

// circumstances lists what went wrong on the way, the likeliest causes first.
func (t *Trace) circumstances() string {
	var out []string
	add := func(n int, text string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%s (%d)", text, n))
		}
	}
	add(t.count(event.EntryJobReoffered), "its dispatcher was lost")
	handed := 0
	for _, l := range t.Lines {
		if l.Event == event.PoolJobEnded && number(&l, "outcome") == float64(peer.JobMoved) {
			handed++
		}
	}
	add(handed, "its dispatcher handed over")
	ends := make(map[string]int)
	for _, l := range t.Lines {
		if how, ok := l.Attrs["how"].(string); ok && l.Event == event.PoolRunEnded {
			ends[how]++
		}
	}
	add(ends["lapsed"], "a minion was lost with its run")
	add(ends["failed"], "a run failed")
	add(t.count(event.PoolRunMoved), "a stuck or slow run was moved")
	add(t.count(event.PoolStartUnknown), "a start got no answer")
	add(t.count(event.PoolStartRefused), "a minion refused a start")
	if first := t.last(event.PoolJobTaken); first != nil && t.count(event.PoolTaskStarted) == 0 {
		out = append(out, fmt.Sprintf("nothing was started: %.0f jobs were there, %.0f thousandths of a processor free", number(first, "jobs_here"), number(first, "free_cpu")))
	} else if first != nil {
		if wait := t.firstWait(); wait > 0 {
			out = append(out, fmt.Sprintf("the last first start was %.0f ms after its arrival", wait))
		}
	}
	if len(out) == 0 {
		return ""
	}
	return "; " + strings.Join(out, "; ")
}

// firstWait returns the age of the job in milliseconds when the last of its
// tasks was started for the first time.
func (t *Trace) firstWait() float64 {
	var wait float64
	for i := range t.Lines {
		if l := &t.Lines[i]; l.Event == event.PoolTaskStarted && number(l, "run") == 1 {
			wait = max(wait, number(l, "age_ms"))
		}
	}
	return wait
}

// Print writes the way of the job, a line for each step, and the verdict.
func (t *Trace) Print(out io.Writer) error {
	lines := append(slices.Clone(t.Lines), t.Minions...)
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	for _, l := range lines {
		keys := make([]string, 0, len(l.Attrs))
		for k := range l.Attrs {
			if k != "job" {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		for i, k := range keys {
			keys[i] = fmt.Sprintf("%s=%v", k, l.Attrs[k])
		}
		if _, err := fmt.Fprintf(out, "%s %s %d %s %s\n", l.Time.Format("15:04:05.000"), l.Source, l.Event, l.Message, strings.Join(keys, " ")); err != nil {
			return errors.WithStack(err)
		}
	}
	_, err := fmt.Fprintf(out, "job %s: %s\n", t.Job, t.Verdict)
	return errors.WithStack(err)
}
