package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/pkg/errors"
)

// maxLineBytes is the maximum length of one line of a trace.
const maxLineBytes = 64 << 20

// Report is the result of a replay.
type Report struct {
	Inputs     int                 // inputs applied
	Starts     int                 // recorded starts
	Answers    int                 // recorded answers and refusals
	Codes      map[result.Code]int // recorded answers and refusals by code
	Mismatches []string            // outcomes that differ between the trace and the replay
}

// replayer applies the inputs of a trace to a new engine. As the engine's Observer
// it counts the engine's outcomes, and compares them with those of the trace.
type replayer struct {
	engine    *engine.Engine
	startedAt time.Time
	report    Report
	recorded  map[string]int // outcomes in the trace since the last comparison, by startKey or outcomeKey
	replayed  map[string]int // outcomes of the engine since the last comparison, by the same keys
}

// Replay replays a trace. It returns an error if the trace cannot be read or
// decoded; the error for an invalid line has the line number. Differing outcomes
// are not an error but are listed in Report.Mismatches.
func Replay(in io.Reader) (*Report, error) {
	p := &replayer{recorded: map[string]int{}, replayed: map[string]int{}, report: Report{Codes: map[result.Code]int{}}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		var l traceLine
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return nil, errors.Wrapf(err, "replay: line %d", n)
		}
		if err := p.applyLine(&l); err != nil {
			return nil, errors.Wrapf(err, "replay: line %d", n)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "replay")
	}
	p.compareOutcomes()
	return &p.report, nil
}

func (p *replayer) applyLine(l *traceLine) error {
	if p.engine == nil {
		return p.startEngine(l)
	}
	switch {
	case l.Input != nil:
		return p.applyInput(l)
	case l.Start != nil:
		p.report.Starts++
		p.recorded[startKey(l.Start.Task, l.Start.Minion)]++
	case l.Answer != nil:
		p.countRecorded("answer", l.Answer)
	case l.Refused != nil:
		p.countRecorded("refused", l.Refused)
	case l.ReadyTaken:
		p.engine.Ready()
		p.compareOutcomes()
	default:
		return errors.New("line has neither an input nor an outcome")
	}
	return nil
}

func (p *replayer) startEngine(l *traceLine) error {
	if l.Config == nil || l.Version != FormatVersion {
		return errors.Errorf("expected a configuration and format version %d", FormatVersion)
	}
	cfg := *l.Config
	cfg.Observer = p
	p.startedAt = cfg.StartedAt
	p.engine = engine.New(cfg)
	return nil
}

func (p *replayer) applyInput(l *traceLine) error {
	if l.Input.Receive != nil {
		body, err := peer.Decode(l.MessageBody)
		if err != nil {
			return err
		}
		l.Input.Receive.Body = body
	}
	p.report.Inputs++
	p.engine.ApplyInput(p.startedAt.Add(l.At), *l.Input)
	return nil
}

func (p *replayer) countRecorded(kind string, o *outcome) {
	p.report.Answers++
	p.report.Codes[o.Code]++
	p.recorded[outcomeKey(kind, o)]++
}

func startKey(id job.TaskID, minion string) string {
	return fmt.Sprintf("start of task %d of %s on %s", id.Index, id.Job, minion)
}

func outcomeKey(kind string, o *outcome) string {
	return fmt.Sprintf("%s %s: %d with %d results", kind, o.Job, o.Code, o.Results)
}

// Input implements engine.Observer. It does nothing: the inputs are those of the
// trace.
func (p *replayer) Input(time.Time, engine.Input) {}

// Refused counts the immediate refusal of a job. It implements engine.Observer.
func (p *replayer) Refused(id job.ID, code result.Code) {
	p.replayed[outcomeKey("refused", &outcome{Job: id, Code: code})]++
}

// Output counts the starts and answers of the engine. It implements
// engine.Observer.
func (p *replayer) Output(r *engine.Ready) {
	for i := range r.Starts {
		p.replayed[startKey(r.Starts[i].Task, r.Starts[i].Minion)]++
	}
	for _, a := range r.Answers {
		p.replayed[outcomeKey("answer", &outcome{Job: a.ID, Code: a.Code, Results: len(a.Results)})]++
	}
}

// compareOutcomes adds a mismatch to the report for each difference between the
// outcomes that were recorded and replayed since its last call.
func (p *replayer) compareOutcomes() {
	for key, n := range p.recorded {
		if p.replayed[key] != n {
			p.report.Mismatches = append(p.report.Mismatches, fmt.Sprintf("%s: recorded %d times, replayed %d times", key, n, p.replayed[key]))
		}
	}
	for key, n := range p.replayed {
		if p.recorded[key] == 0 {
			p.report.Mismatches = append(p.report.Mismatches, fmt.Sprintf("%s: replayed %d times, not recorded", key, n))
		}
	}
	clear(p.recorded)
	clear(p.replayed)
}
