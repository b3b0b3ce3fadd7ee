package emulator

import (
	"fmt"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Host is an emulated entry host: a real engine whose inputs and outputs are
// simulated.
type Host struct {
	Name   string
	Engine *engine.Engine
	// ClockError is added to the virtual time whenever the host reads a clock.
	ClockError time.Duration

	emulator      *Emulator
	config        engine.Config
	up            bool
	frozen        bool
	pendingInputs []func(now time.Time) // inputs that arrived while frozen
	generation    int                   // number of process starts and ends so far
	frozenAt      time.Time
	pastFreezes   time.Duration // total duration of the freezes that have ended
}

// AddHost adds a host and starts it. The engine's timer fires every tick.
// cfg.Peers must name hosts of the same emulator.
func (e *Emulator) AddHost(cfg engine.Config, tick time.Duration) *Host {
	h := &Host{Name: cfg.Host.Name, emulator: e, config: cfg}
	e.hosts[h.Name] = h
	e.hostOrder = append(e.hostOrder, h)
	h.Restart()
	var nextTick func()
	nextTick = func() {
		h.tick()
		e.After(tick, nextTick)
	}
	e.After(tick, nextTick)
	return h
}

// Restart starts a new process with empty state. A process that still runs
// ends without warning.
func (h *Host) Restart() {
	h.generation++
	cfg := h.config
	cfg.Incarnation = membership.Incarnation(fmt.Sprintf("%s#%d", h.Name, h.generation))
	cfg.StartedAt = h.now()
	h.Engine = engine.New(cfg)
	h.up = true
	h.endFreeze()
	h.pendingInputs = nil
}

// Kill ends the process without warning.
func (h *Host) Kill() {
	h.generation++
	h.up = false
	h.endFreeze()
	h.pendingInputs = nil
}

// Up reports whether the process runs, frozen or not.
func (h *Host) Up() bool { return h.up }

// Freeze suspends the process. Inputs are queued until Resume.
func (h *Host) Freeze() {
	if h.up && !h.frozen {
		h.frozen = true
		h.frozenAt = h.emulator.now
	}
}

func (h *Host) endFreeze() {
	if h.frozen {
		h.pastFreezes += h.emulator.now.Sub(h.frozenAt)
	}
	h.frozen = false
}

// TotalFrozen returns the total time that the host has been frozen, including
// a freeze in progress.
func (h *Host) TotalFrozen() time.Duration {
	if h.frozen {
		return h.pastFreezes + h.emulator.now.Sub(h.frozenAt)
	}
	return h.pastFreezes
}

// Generation returns a number that grows whenever a process of the host starts
// or ends.
func (h *Host) Generation() int { return h.generation }

// Resume ends a freeze and handles the queued inputs.
func (h *Host) Resume() {
	if !h.frozen {
		return
	}
	h.endFreeze()
	inputs := h.pendingInputs
	h.pendingInputs = nil
	for _, f := range inputs {
		h.HandleInput(f)
	}
}

// now returns the time by the host's clock.
func (h *Host) now() time.Time { return h.emulator.now.Add(h.ClockError) }

func (h *Host) tick() {
	if h.up && !h.frozen {
		h.HandleInput(h.Engine.Tick)
	}
}

// HandleInput passes one input to the engine by calling f with the time by the
// host's clock, and carries out the engine's output. Inputs to a frozen host are
// queued; inputs to a killed host are dropped.
func (h *Host) HandleInput(f func(now time.Time)) {
	if !h.up {
		return
	}
	if h.frozen {
		h.pendingInputs = append(h.pendingInputs, f)
		return
	}
	now := h.now()
	if onInput := h.emulator.OnInput; onInput != nil {
		onInput(h, now)
	}
	f(now)
	h.carryOut()
}

// carryOut sends the engine's pending starts, cancellations, messages and
// answers.
func (h *Host) carryOut() {
	r := h.Engine.Ready()
	e := h.emulator
	for _, s := range r.Starts {
		e.sendStart(h, s)
	}
	for _, c := range r.Cancels {
		e.Counters.Cancellations++
		e.sendCancel(h, c)
	}
	for _, m := range r.Messages {
		e.sendMessage(h, m)
	}
	for _, a := range r.Answers {
		if e.OnAnswer != nil {
			e.OnAnswer(h, a)
		}
	}
}

// Submit delivers a submission after the network's delay. deadline is relative
// to the host's receipt of the submission. reply is called with the immediate
// answer or the refusal, or with two nils if the job was accepted; its final
// answer then goes to OnAnswer. A killed host never calls reply.
func (h *Host) Submit(s job.Submission, deadline time.Duration, reply func(*job.Answer, *result.Error)) {
	h.emulator.After(h.emulator.networkDelay(), func() {
		h.HandleInput(func(now time.Time) {
			s.Deadline = now.Add(deadline)
			a, err := h.Engine.Submit(now, &s)
			reply(a, err)
		})
	})
}
