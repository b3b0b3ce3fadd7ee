package emulator

import (
	"strconv"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Minion is a fake backend server. A payload is not looked at: RunTime decides.
type Minion struct {
	minion.Announcement
	// RunTime returns how long a task takes; nil means no time.
	RunTime func(s engine.Start) time.Duration
	Slow    float64 // factor on run times; 0 means 1
	Failing bool    // fails every task at once
	Dead    bool    // refuses connections; tasks in progress are lost
	Leaving bool    // refuses tasks
	// LinkDelay is added to each way between hosts and the minion.
	LinkDelay time.Duration
	Unmetered bool // does not report its own time
	Silent    bool // sends no heartbeats, but runs tasks

	emulator *Emulator

	running map[string]*runningTask
	hosts   []*Host
	life    int
	quietAt time.Time // when it left, died or fell silent; zero while it serves
}

type runningTask struct {
	cancelled bool
}

// heartbeatEvery is the interval at which minions renew their leases.
const heartbeatEvery = time.Second

// AddMinion adds a minion that announces itself to the first live host.
func (e *Emulator) AddMinion(a minion.Announcement, hosts []*Host, runTime func(engine.Start) time.Duration) *Minion {
	m := &Minion{Announcement: a, RunTime: runTime, hosts: hosts, running: make(map[string]*runningTask), emulator: e}
	e.minions[a.Name] = m
	var beat func()
	beat = func() {
		m.beat()
		e.After(heartbeatEvery, beat)
	}
	e.After(0, beat)
	return m
}

// beat renews the lease at the first host that is up, or announces there. A
// frozen host takes the request when it resumes; the minion goes on to the next.
func (m *Minion) beat() {
	if m.Dead || m.Leaving || m.Silent {
		return
	}
	for _, h := range m.hosts {
		if !h.up {
			continue
		}
		a := m.Announcement
		h.Do(func(now time.Time) {
			if h.Engine.Renew(now, a.Name, a.Generation) != nil {
				_ = h.Engine.Announce(now, a) // refused only when misconfigured
			}
		})
		if !h.frozen {
			return
		}
	}
}

// Leave announces the leave to the first host that is up.
func (m *Minion) Leave() {
	m.Leaving = true
	m.quiet()
	for _, h := range m.hosts {
		if h.up && !h.frozen {
			h.Do(func(time.Time) { _ = h.Engine.Leave(m.Name, m.Generation) })
			return
		}
	}
}

// Silence stops the heartbeats; tasks are still run.
func (m *Minion) Silence() {
	m.Silent = true
	m.quiet()
}

func (m *Minion) quiet() {
	if m.quietAt.IsZero() {
		m.quietAt = m.emulator.now
	}
}

// QuietSince returns when the minion left, died or fell silent; zero while it
// serves.
func (m *Minion) QuietSince() time.Time { return m.quietAt }

// Kill ends the process: tasks in progress are lost, their answers never come.
func (m *Minion) Kill() {
	m.Dead = true
	m.quiet()
	m.life++
	m.running = make(map[string]*runningTask)
}

// Restart starts the process again under a higher generation.
func (m *Minion) Restart() {
	m.Dead = false
	m.Leaving = false
	m.Silent = false
	m.Failing = false
	m.quietAt = time.Time{}
	m.Generation++
}

// InUse returns the number of tasks in progress.
func (m *Minion) InUse() int { return len(m.running) }

// identityOf returns the identity of a start by the process that sends it.
func identityOf(inc membership.Incarnation, id job.TaskID) string {
	return string(inc) + "/" + id.Job.String() + "/" + strconv.Itoa(id.Index)
}

// begin takes a slot for the task; nil means that it was not started.
func (m *Minion) begin(identity string) *runningTask {
	if m.Leaving || len(m.running) >= m.Slots || m.running[identity] != nil {
		return nil
	}
	t := &runningTask{}
	m.running[identity] = t
	return t
}

// run ends a begun task after its run time.
func (m *Minion) run(e *Emulator, identity string, s engine.Start, finish func(job.Outcome, bool)) {
	t := m.running[identity]
	run := m.runTime(s)
	life := m.life
	e.After(run, func() {
		if m.life != life {
			m.ended(s, false)
			finish(job.Outcome{Code: result.StartUnknown, Detail: "connection lost"}, false)
			return
		}
		delete(m.running, identity)
		o := m.outcome(e, t, s, run)
		m.ended(s, o.Code != result.StartUnknown)
		finish(o, false)
	})
}

func (m *Minion) ended(s engine.Start, known bool) {
	if m.emulator.OnEnd != nil {
		m.emulator.OnEnd(m, s, known)
	}
}

func (m *Minion) runTime(s engine.Start) time.Duration {
	if m.Failing || m.RunTime == nil {
		return 0
	}
	run := m.RunTime(s)
	if m.Slow > 0 {
		run = time.Duration(float64(run) * m.Slow)
	}
	return run
}

func (m *Minion) outcome(e *Emulator, t *runningTask, s engine.Start, run time.Duration) job.Outcome {
	o := job.Outcome{Code: result.OK}
	if !m.Unmetered {
		o.Run, o.Own = run, run
	}
	switch {
	case e.chance(e.Net.Broken):
		o.Code = result.StartUnknown
	case m.Failing || t.cancelled:
		o.Code = result.TaskFailed
	default:
		o.Result = s.Payload
	}
	return o
}

// cancel asks the minion to stop a task; the task ends at its run time.
func (e *Emulator) cancel(h *Host, c engine.Cancel) {
	identity := identityOf(h.Engine.Incarnation(), c.Task)
	e.After(e.delay(), func() {
		for _, m := range e.minions {
			if m.Address == c.Address && m.running[identity] != nil {
				m.running[identity].cancelled = true
			}
		}
	})
}
