// Package logtrace collects the log lines of one job from the logs of several
// hosts and derives why the job ended as it did.
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

// Line is one parsed log line.
type Line struct {
	Time    time.Time
	Source  string // last word before the JSON object: the host, if a log collector adds it
	Event   event.ID
	Message string
	Attrs   map[string]any // attributes other than time, level, message and event
}

// maxLineBytes is the longest log line that Read accepts.
const maxLineBytes = 1 << 20

// Read returns the lines of a log that hold a JSON object with an event number;
// other lines are counted in skipped. The last word before the object is the
// line's source.
func Read(in io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l, ok := parse(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, errors.Wrap(s.Err(), "read log")
}

func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	attrs := make(map[string]any)
	d := json.NewDecoder(bytes.NewReader(text[begin:]))
	d.UseNumber() // fencing tokens have more digits than a float64 holds
	if d.Decode(&attrs) != nil {
		return Line{}, false
	}
	l := Line{Source: source(text[:begin]), Attrs: attrs}
	l.Event = event.ID(number(&l, event.Key))
	l.Message, _ = attrs["msg"].(string)
	stamp, _ := attrs["time"].(string)
	l.Time, _ = time.Parse(time.RFC3339Nano, stamp) // the zero time sorts first
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

// Trace holds the log lines of one job and the cause of its end.
type Trace struct {
	Job         string
	Lines       []Line // that name the job, ordered by time
	MinionLines []Line // that name a minion of the job but no job, between the first and the last of Lines
	Verdict     string // cause of the job's end and contributing factors
}

// Find returns the trace of a job. job is the job's ID or the ID of a caller's
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
		t.Verdict = "no line names the job: its entry host logged none, or its lines were dropped (event 1010)"
		return t
	}
	from, to := t.Lines[0].Time, t.Lines[len(t.Lines)-1].Time
	for _, l := range lines {
		m, _ := l.Attrs["minion"].(string)
		if minions[m] && l.Attrs["job"] == nil && !l.Time.Before(from) && !l.Time.After(to) {
			t.MinionLines = append(t.MinionLines, l)
		}
	}
	slices.SortStableFunc(t.MinionLines, byTime)
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

// verdict describes the cause of the job's end.
func verdict(t *Trace) string {
	done, answered := t.last(event.EntryJobSucceeded), t.last(event.EntryJobUnsuccessful)
	switch {
	case answered != nil:
		outcome := number(answered, "outcome")
		reason, _ := answered.Attrs["reason"].(string)
		return outcomeText(peer.JobOutcome(outcome)) + ": " + reason + t.contributingFactors()
	case done != nil:
		ended := t.last(event.PoolJobEnded)
		if ended == nil || number(ended, "age_ms") <= number(ended, "goal_ms") {
			return "answered with success, in time" + t.contributingFactors()
		}
		return fmt.Sprintf("answered with success, %.0f ms after its objective", number(ended, "age_ms")-number(ended, "goal_ms")) + t.contributingFactors()
	}
	if ended := t.last(event.PoolJobEnded); ended != nil {
		reason, _ := ended.Attrs["reason"].(string)
		return "ended at its dispatcher, without an answer to the caller: " + reason + t.contributingFactors()
	}
	return "not ended in these logs" + t.contributingFactors()
}

func outcomeText(o peer.JobOutcome) string {
	switch o {
	case peer.JobFailed:
		return "failed"
	case peer.JobRefused:
		return "refused, not run"
	case peer.JobUnknown:
		return "abandoned, may have run"
	case peer.JobDeleted:
		return "deleted by its caller"
	}
	return "ended"
}

// number returns the numeric attribute key of l, or 0 if l has none.
func number(l *Line, key string) float64 {
	text, _ := l.Attrs[key].(json.Number)
	n, err := text.Float64()
	if err != nil {
		return 0 // missing or not a number
	}
	return n
}

// contributingFactors lists what delayed the job or made it fail, the likeliest
// causes first. Each factor has its number of occurrences or its figures.
func (t *Trace) contributingFactors() string {
	var out []string
	add := func(n int, text string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%s (%d)", text, n))
		}
	}
	add(t.count(event.EntryJobReoffered), "its dispatcher became unavailable")
	moved := 0
	for _, l := range t.Lines {
		if l.Event == event.PoolJobEnded && number(&l, "outcome") == float64(peer.JobMoved) {
			moved++
		}
	}
	add(moved, "its dispatcher handed the job over")
	runEnds := make(map[string]int)
	for _, l := range t.Lines {
		if how, ok := l.Attrs["how"].(string); ok && l.Event == event.PoolRunUnsuccessful {
			runEnds[how]++
		}
	}
	add(runEnds["lapsed"], "the lease of a run expired or its minion no longer had it")
	add(runEnds["failed"], "a run failed")
	add(t.count(event.PoolRunMoved), "a stuck or slow run was moved to another minion")
	add(t.count(event.PoolStartUnknown), "a start got no answer")
	add(t.count(event.PoolStartRefused), "a minion refused a start")
	if queued := t.last(event.PoolJobQueued); queued != nil && t.count(event.PoolTaskStarted) == 0 {
		out = append(out, fmt.Sprintf("no task was started: %.0f jobs at the dispatcher, %.0f mCPU free", number(queued, "jobs_here"), number(queued, "free_cpu")))
	} else if queued != nil {
		if age := t.lastFirstStart(); age > 0 {
			out = append(out, fmt.Sprintf("the last task was first started %.0f ms after the job arrived", age))
		}
	}
	if len(out) == 0 {
		return ""
	}
	return "; " + strings.Join(out, "; ")
}

// lastFirstStart returns the age of the job, in milliseconds, when the last of its
// tasks was started for the first time.
func (t *Trace) lastFirstStart() float64 {
	var age float64
	for i := range t.Lines {
		if l := &t.Lines[i]; l.Event == event.PoolTaskStarted && number(l, "run") == 1 {
			age = max(age, number(l, "age_ms"))
		}
	}
	return age
}

// Print writes the log lines of the job and its minions, ordered by time, and the
// verdict.
func (t *Trace) Print(out io.Writer) error {
	lines := append(slices.Clone(t.Lines), t.MinionLines...)
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
