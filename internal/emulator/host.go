package emulator

import (
	"fmt"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Host is an emulated entry host.
type Host struct {
	Name   string
	Engine *engine.Engine
	// ClockError is added to the virtual time whenever the host reads a clock.
	ClockError time.Duration

	emulator   *Emulator
	config     engine.Config
	up         bool
	frozen     bool
	waiting    []func(now time.Time) // inputs that arrived while frozen
	generation int                   // process starts and ends so far
	frozenAt   time.Time
	frozenFor  time.Duration // in all freezes that have ended
}

// AddHost adds a running host. cfg.Peers must name hosts of this run.
func (e *Emulator) AddHost(cfg engine.Config, tick time.Duration) *Host {
	h := &Host{Name: cfg.Host.Name, emulator: e, config: cfg}
	e.hosts[h.Name] = h
	e.order = append(e.order, h)
	h.Restart()
	var next func()
	next = func() {
		h.tick()
		e.After(tick, next)
	}
	e.After(tick, next)
	return h
}

// Restart starts a new process with empty state.
func (h *Host) Restart() {
	h.generation++
	cfg := h.config
	cfg.Incarnation = membership.Incarnation(fmt.Sprintf("%s#%d", h.Name, h.generation))
	cfg.StartedAt = h.now()
	h.Engine = engine.New(cfg)
	h.up = true
	h.thaw()
	h.waiting = nil
}

// Kill ends the process without warning.
func (h *Host) Kill() {
	h.generation++
	h.up = false
	h.thaw()
	h.waiting = nil
}

// Up reports whether the process runs, frozen or not.
func (h *Host) Up() bool { return h.up }

// Freeze suspends the process: inputs wait.
func (h *Host) Freeze() {
	if h.up && !h.frozen {
		h.frozen = true
		h.frozenAt = h.emulator.now
	}
}

func (h *Host) thaw() {
	if h.frozen {
		h.frozenFor += h.emulator.now.Sub(h.frozenAt)
	}
	h.frozen = false
}

// FrozenFor returns how long the host was frozen so far.
func (h *Host) FrozenFor() time.Duration {
	if h.frozen {
		return h.frozenFor + h.emulator.now.Sub(h.frozenAt)
	}
	return h.frozenFor
}

// Generation changes whenever a process of the host starts or ends.
func (h *Host) Generation() int { return h.generation }

// Resume ends a freeze and handles the inputs that waited.
func (h *Host) Resume() {
	if !h.frozen {
		return
	}
	h.thaw()
	waiting := h.waiting
	h.waiting = nil
	for _, f := range waiting {
		h.Do(f)
	}
}

func (h *Host) now() time.Time { return h.emulator.now.Add(h.ClockError) }

func (h *Host) tick() {
	if h.up && !h.frozen {
		h.Do(h.Engine.Tick)
	}
}

// Do feeds one input to the engine and carries out what follows. An input to
// a killed host is lost.
func (h *Host) Do(f func(now time.Time)) {
	if !h.up {
		return
	}
	if h.frozen {
		h.waiting = append(h.waiting, f)
		return
	}
	now := h.now()
	if on := h.emulator.OnInput; on != nil {
		on(h, now)
	}
	f(now)
	h.flush()
}

func (h *Host) flush() {
	r := h.Engine.Ready()
	e := h.emulator
	for _, s := range r.Starts {
		e.start(h, s)
	}
	for _, c := range r.Cancels {
		e.Counters.Cancellations++
		e.cancel(h, c)
	}
	for _, m := range r.Messages {
		e.deliver(h, m)
	}
	for _, a := range r.Answers {
		if e.OnAnswer != nil {
			e.OnAnswer(h, a)
		}
	}
}

// Submit delivers a submission after the link's delay. Its deadline counts
// from receipt. reply gets the immediate answer or refusal; a final answer that
// comes later goes to OnAnswer. A dead host does not reply.
func (h *Host) Submit(s job.Submission, deadline time.Duration, reply func(*job.Answer, *result.Error)) {
	h.emulator.After(h.emulator.delay(), func() {
		h.Do(func(now time.Time) {
			s.Deadline = now.Add(deadline)
			a, err := h.Engine.Submit(now, &s)
			reply(a, err)
		})
	})
}
