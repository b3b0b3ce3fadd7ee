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

// Observer receives the inputs and outputs of an Engine. Its methods must not
// call the Engine.
type Observer interface {
	// Input is called before the input takes effect.
	Input(now time.Time, in Input)
	// Refused is called when Submit has refused a submission.
	Refused(id job.ID, code result.Code)
	// Output is called with the result of each call of Engine.Ready.
	Output(r *Ready)
}

// Input is one call of a method of an Engine. Exactly one field is set.
type Input struct {
	Submit    *job.Submission      `json:"submit,omitempty"`
	Lookup    *Lookup              `json:"lookup,omitempty"`
	Finished  *FinishedStart       `json:"finished,omitempty"`
	Disproved *DisprovedStart      `json:"disproved,omitempty"`
	Receive   *ReceivedMessage     `json:"receive,omitempty"`
	Announce  *minion.Announcement `json:"announce,omitempty"`
	Renew     *MinionIncarnation   `json:"renew,omitempty"`
	Leave     *MinionIncarnation   `json:"leave,omitempty"`
	Apply     *AppliedConfig       `json:"apply,omitempty"`
	Stop      bool                 `json:"stop,omitempty"`
	Tick      bool                 `json:"tick,omitempty"`
}

// Lookup is a call of Engine.Lookup: a fetch of a job's answer or a cancellation.
type Lookup struct {
	Job    job.ID `json:"job"`
	Cancel bool   `json:"cancel,omitempty"`
}

// FinishedStart is a call of Engine.TaskFinished.
type FinishedStart struct {
	Task    job.TaskID  `json:"task"`
	Minion  string      `json:"minion"`
	Outcome job.Outcome `json:"outcome"`
}

// DisprovedStart is a call of Engine.TaskDisproved.
type DisprovedStart struct {
	Task   job.TaskID  `json:"task"`
	Minion string      `json:"minion"`
	Reason result.Code `json:"reason"`
}

// ReceivedMessage is a message from a peer.
type ReceivedMessage struct {
	From        string                 `json:"from"`
	Incarnation membership.Incarnation `json:"incarnation"`
	Body        peer.Body              `json:"-"`
}

// MinionIncarnation identifies one incarnation of a minion by its name and
// generation.
type MinionIncarnation struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
}

// AppliedConfig is a call of Engine.ApplyConfig.
type AppliedConfig struct {
	Version  uint64           `json:"version"`
	Document *config.Document `json:"document"`
}

func (e *Engine) recordInput(now time.Time, in Input) {
	if e.cfg.Observer != nil {
		e.cfg.Observer.Input(now, in)
	}
}

// ApplyInput repeats the method call that a recorded input describes.
func (e *Engine) ApplyInput(now time.Time, in Input) {
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
		e.ApplyConfig(now, in.Apply.Version, in.Apply.Document)
	case in.Stop:
		e.Stop()
	case in.Tick:
		e.Tick(now)
	}
}
