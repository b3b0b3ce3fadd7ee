package engine

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Observer is told of what goes into an Engine and what comes out. It must not
// call the Engine.
type Observer interface {
	// Input is called before the input takes effect.
	Input(now time.Time, in Input)
	// Refused is called when a submission was refused at once.
	Refused(id job.ID, code result.Code)
	// Output is called when Ready is taken.
	Output(r *Ready)
}

// Input is one call of an Engine's method; one field is set.
type Input struct {
	Submit    *job.Submission      `json:"submit,omitempty"`
	Lookup    *Lookup              `json:"lookup,omitempty"`
	Finished  *Finished            `json:"finished,omitempty"`
	Disproved *Disproved           `json:"disproved,omitempty"`
	Receive   *Received            `json:"receive,omitempty"`
	Announce  *minion.Announcement `json:"announce,omitempty"`
	Renew     *Process             `json:"renew,omitempty"`
	Leave     *Process             `json:"leave,omitempty"`
	Apply     *Applied             `json:"apply,omitempty"`
	Stop      bool                 `json:"stop,omitempty"`
	Tick      bool                 `json:"tick,omitempty"`
}

// Lookup is a fetch or a cancellation.
type Lookup struct {
	Job    job.ID `json:"job"`
	Cancel bool   `json:"cancel,omitempty"`
}

// Finished is the outcome of a start.
type Finished struct {
	Task    job.TaskID  `json:"task"`
	Minion  string      `json:"minion"`
	Outcome job.Outcome `json:"outcome"`
}

// Disproved is a start that did not happen.
type Disproved struct {
	Task   job.TaskID  `json:"task"`
	Minion string      `json:"minion"`
	Reason result.Code `json:"reason"`
}

// Received is a peer's message.
type Received struct {
	From        string                 `json:"from"`
	Incarnation membership.Incarnation `json:"incarnation"`
	Body        peer.Body              `json:"-"`
}

// Process names one process of a minion.
type Process struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
}

// Applied is a configuration put in force.
type Applied struct {
	Version  uint64           `json:"version"`
	Document *config.Document `json:"document"`
}

func (e *Engine) record(now time.Time, in Input) {
	if e.cfg.Observer != nil {
		e.cfg.Observer.Input(now, in)
	}
}

// Do applies a recorded input.
func (e *Engine) Do(now time.Time, in Input) {
	switch {
	case in.Submit != nil:
		_, _ = e.Submit(now, in.Submit)
	case in.Lookup != nil:
		_, _ = e.Lookup(now, in.Lookup.Job, in.Lookup.Cancel)
	case in.Finished != nil:
		e.TaskFinished(now, in.Finished.Task, in.Finished.Minion, in.Finished.Outcome)
	case in.Disproved != nil:
		e.TaskDisproved(now, in.Disproved.Task, in.Disproved.Minion, in.Disproved.Reason)
	case in.Receive != nil:
		e.Receive(now, in.Receive.From, in.Receive.Incarnation, in.Receive.Body)
	case in.Announce != nil:
		_ = e.Announce(now, *in.Announce)
	case in.Renew != nil:
		_ = e.Renew(now, in.Renew.Name, in.Renew.Generation)
	case in.Leave != nil:
		_ = e.Leave(in.Leave.Name, in.Leave.Generation)
	case in.Apply != nil:
		e.Apply(now, in.Apply.Version, in.Apply.Document)
	case in.Stop:
		e.Stop()
	case in.Tick:
		e.Tick(now)
	}
}
