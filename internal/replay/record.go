// Package replay records the inputs and outcomes of one Engine as JSON lines, and
// plays such a file through a fresh Engine against the outcomes recorded in it.
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

// Version is the format's version.
const Version = 1

// MaxBytes bounds a recorded file; recording ends there.
const MaxBytes = 64 << 20

// line is one line of a trace; one of Config, Input, Start, Answer, Refused and
// Taken is set.
type line struct {
	Version int            `json:"version,omitempty"` // with Config
	Config  *engine.Config `json:"config,omitempty"`  // first line
	At      time.Duration  `json:"at,omitempty"`      // of an input, since Config.StartedAt
	Input   *engine.Input  `json:"in,omitempty"`
	Message []byte         `json:"message,omitempty"` // encoded body of a received message
	Start   *start         `json:"start,omitempty"`
	Answer  *outcome       `json:"answer,omitempty"`
	Refused *outcome       `json:"refused,omitempty"`
	Taken   bool           `json:"taken,omitempty"` // what followed was taken here
}

// start is a task that was sent to a minion.
type start struct {
	Task   job.TaskID `json:"task"`
	Minion string     `json:"minion"`
}

// outcome is a final answer, or an immediate refusal.
type outcome struct {
	Job     job.ID      `json:"job"`
	Code    result.Code `json:"code"`
	Results int         `json:"results,omitempty"` // their number
}

// Recorder writes a trace. It is an engine.Observer.
type Recorder struct {
	w         *bufio.Writer
	startedAt time.Time
	written   int
	err       error
}

// NewRecorder writes the first line, with the configuration, to w.
func NewRecorder(w io.Writer, cfg engine.Config) *Recorder {
	r := &Recorder{w: bufio.NewWriter(w), startedAt: cfg.StartedAt}
	r.write(&line{Version: Version, Config: &cfg})
	return r
}

func (r *Recorder) write(l *line) {
	if r.err != nil {
		return
	}
	text, err := json.Marshal(l)
	if err == nil && r.written+len(text) >= MaxBytes {
		err = errors.New("replay: file is full")
	}
	if err == nil {
		r.written += len(text) + 1
		_, err = r.w.Write(append(text, '\n'))
	}
	r.err = err
}

// Input implements engine.Observer.
func (r *Recorder) Input(now time.Time, in engine.Input) {
	l := line{At: now.Sub(r.startedAt), Input: &in}
	if in.Receive != nil {
		payload, err := peer.Encode(in.Receive.Body)
		if err != nil {
			r.err = err
			return
		}
		l.Message = payload
	}
	r.write(&l)
}

// Refused implements engine.Observer.
func (r *Recorder) Refused(id job.ID, code result.Code) {
	r.write(&line{Refused: &outcome{Job: id, Code: code}})
}

// Output implements engine.Observer.
func (r *Recorder) Output(ready *engine.Ready) {
	for i := range ready.Starts {
		s := &ready.Starts[i]
		r.write(&line{Start: &start{Task: s.Task, Minion: s.Minion}})
	}
	for _, a := range ready.Answers {
		r.write(&line{Answer: &outcome{Job: a.ID, Code: a.Code, Results: len(a.Results)}})
	}
	r.write(&line{Taken: true})
}

// Flush writes what is buffered and returns the first error of the recording.
func (r *Recorder) Flush() error {
	if err := r.w.Flush(); r.err == nil && err != nil {
		r.err = errors.Wrap(err, "replay")
	}
	return r.err
}
