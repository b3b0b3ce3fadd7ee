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

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 64 << 20

// Report is the result of a replay.
type Report struct {
	Inputs   int
	Starts   int // stated
	Answers  int // stated, refusals included
	Codes    map[result.Code]int
	Mismatch []string // outcomes that were stated and did not follow, or the reverse
}

// player compares what follows from the inputs with what the trace states.
type player struct {
	engine    *engine.Engine
	startedAt time.Time
	report    Report
	stated    map[string]int
	followed  map[string]int
}

// Replay plays a trace. An error means that the trace could not be read.
func Replay(in io.Reader) (*Report, error) {
	p := &player{stated: map[string]int{}, followed: map[string]int{}, report: Report{Codes: map[result.Code]int{}}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		var l line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return nil, errors.Wrapf(err, "replay: line %d", n)
		}
		if err := p.play(&l); err != nil {
			return nil, errors.Wrapf(err, "replay: line %d", n)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "replay")
	}
	p.compare()
	return &p.report, nil
}

func (p *player) play(l *line) error {
	if p.engine == nil {
		return p.begin(l)
	}
	switch {
	case l.Input != nil:
		return p.input(l)
	case l.Start != nil:
		p.report.Starts++
		p.stated[startKey(l.Start.Task, l.Start.Minion)]++
	case l.Answer != nil:
		p.state("answer", l.Answer)
	case l.Refused != nil:
		p.state("refused", l.Refused)
	case l.Taken:
		p.engine.Ready()
		p.compare()
	default:
		return errors.New("neither an input nor an outcome")
	}
	return nil
}

func (p *player) begin(l *line) error {
	if l.Config == nil || l.Version != Version {
		return errors.Errorf("want a configuration and version %d", Version)
	}
	cfg := *l.Config
	cfg.Observer = p
	p.startedAt = cfg.StartedAt
	p.engine = engine.New(cfg)
	return nil
}

func (p *player) input(l *line) error {
	if l.Input.Receive != nil {
		body, err := peer.Decode(l.Message)
		if err != nil {
			return err
		}
		l.Input.Receive.Body = body
	}
	p.report.Inputs++
	p.engine.ApplyInput(p.startedAt.Add(l.At), *l.Input)
	return nil
}

func (p *player) state(kind string, o *outcome) {
	p.report.Answers++
	p.report.Codes[o.Code]++
	p.stated[outcomeKey(kind, o)]++
}

func startKey(id job.TaskID, minion string) string {
	return fmt.Sprintf("start of task %d of %s on %s", id.Index, id.Job, minion)
}

func outcomeKey(kind string, o *outcome) string {
	return fmt.Sprintf("%s %s: %d with %d results", kind, o.Job, o.Code, o.Results)
}

// Input implements engine.Observer.
func (p *player) Input(time.Time, engine.Input) {}

// Refused implements engine.Observer.
func (p *player) Refused(id job.ID, code result.Code) {
	p.followed[outcomeKey("refused", &outcome{Job: id, Code: code})]++
}

// Output implements engine.Observer.
func (p *player) Output(r *engine.Ready) {
	for i := range r.Starts {
		p.followed[startKey(r.Starts[i].Task, r.Starts[i].Minion)]++
	}
	for _, a := range r.Answers {
		p.followed[outcomeKey("answer", &outcome{Job: a.ID, Code: a.Code, Results: len(a.Results)})]++
	}
}

// compare notes the differences since the last call.
func (p *player) compare() {
	for key, n := range p.stated {
		if p.followed[key] != n {
			p.report.Mismatch = append(p.report.Mismatch, fmt.Sprintf("%s: stated %d times, followed %d times", key, n, p.followed[key]))
		}
	}
	for key, n := range p.followed {
		if p.stated[key] == 0 {
			p.report.Mismatch = append(p.report.Mismatch, fmt.Sprintf("%s: followed %d times, not stated", key, n))
		}
	}
	clear(p.stated)
	clear(p.followed)
}
