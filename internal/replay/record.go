// Package replay records the inputs and outcomes of one Engine as JSON lines (a
// trace). It also replays a trace: it applies the recorded inputs to a new Engine
// and compares its outcomes with the recorded ones.
// docs/TRACES.md describes the format.
package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/pkg/errors"
)

// FormatVersion is the version of the trace format.
const FormatVersion = 1

// MaxTraceBytes is the maximum size of a recorded trace. Recording stops when it
// is reached.
const MaxTraceBytes = 64 << 20

// traceLine is one line of a trace. Exactly one of Config, Input, Start, Answer,
// Refused and ReadyTaken is set.
type traceLine struct {
	Version     int            `json:"version,omitempty"` // format version, with Config
	Config      *engine.Config `json:"config,omitempty"`  // first line only
	At          time.Duration  `json:"at,omitempty"`      // time of Input, as nanoseconds since Config.StartedAt
	Input       *engine.Input  `json:"in,omitempty"`
	MessageBody []byte         `json:"message,omitempty"` // encoded body of Input.Receive
	Start       *startRecord   `json:"start,omitempty"`
	Answer      *outcome       `json:"answer,omitempty"`
	Refused     *outcome       `json:"refused,omitempty"`
	ReadyTaken  bool           `json:"taken,omitempty"` // follows the outcomes that one call of Engine.Ready returned
}

// startRecord is the start of a task on a minion.
type startRecord struct {
	Task   job.TaskID `json:"task"`
	Minion string     `json:"minion"`
}

// outcome is the final answer to a job, or its immediate refusal.
type outcome struct {
	Job     job.ID      `json:"job"`
	Code    result.Code `json:"code"`
	Results int         `json:"results,omitempty"` // number of task results
}

// Recorder writes a trace. It implements engine.Observer. After the first error it
// records nothing more; Flush returns that error.
type Recorder struct {
	w            *bufio.Writer
	startedAt    time.Time
	writtenBytes int
	err          error
}

// NewRecorder returns a Recorder that writes to w. It writes the first line, which
// has the configuration of the engine.
func NewRecorder(w io.Writer, cfg engine.Config) *Recorder {
	r := &Recorder{w: bufio.NewWriter(w), startedAt: cfg.StartedAt}
	r.writeLine(&traceLine{Version: FormatVersion, Config: &cfg})
	return r
}

func (r *Recorder) writeLine(l *traceLine) {
	if r.err != nil {
		return
	}
	text, err := json.Marshal(l)
	if err == nil && r.writtenBytes+len(text) >= MaxTraceBytes {
		err = errors.New("replay: trace has reached its maximum size")
	}
	if err == nil {
		r.writtenBytes += len(text) + 1
		_, err = r.w.Write(append(text, '\n'))
	}
	r.err = err
}

// Input records an input of the engine. It implements engine.Observer.
func (r *Recorder) Input(now time.Time, in engine.Input) {
	l := traceLine{At: now.Sub(r.startedAt), Input: &in}
	if in.Receive != nil {
		payload, err := peer.Encode(in.Receive.Body)
		if err != nil {
			r.err = err
			return
		}
		l.MessageBody = payload
	}
	r.writeLine(&l)
}

// Refused records the immediate refusal of a job. It implements engine.Observer.
func (r *Recorder) Refused(id job.ID, code result.Code) {
	r.writeLine(&traceLine{Refused: &outcome{Job: id, Code: code}})
}

// Output records the starts and answers among the outputs of the engine. It
// implements engine.Observer.
func (r *Recorder) Output(ready *engine.Ready) {
	for i := range ready.Starts {
		s := &ready.Starts[i]
		r.writeLine(&traceLine{Start: &startRecord{Task: s.Task, Minion: s.Minion}})
	}
	for _, a := range ready.Answers {
		r.writeLine(&traceLine{Answer: &outcome{Job: a.ID, Code: a.Code, Results: len(a.Results)}})
	}
	r.writeLine(&traceLine{ReadyTaken: true})
}

// Flush writes the buffered lines and returns the first error of the recording.
func (r *Recorder) Flush() error {
	if err := r.w.Flush(); r.err == nil && err != nil {
		r.err = errors.Wrap(err, "replay")
	}
	return r.err
}
