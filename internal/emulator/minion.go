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

// Minion is a fake backend server. It does not interpret payloads: RunTime sets
// how long a task runs, and the payload is returned as the result.
type Minion struct {
	minion.Announcement
	// RunTime returns the run time of a task; nil means 0.
	RunTime       func(s engine.Start) time.Duration
	RunTimeFactor float64 // factor on run times; 0 or less means 1
	Failing       bool    // fails every task without delay
	Killed        bool    // refuses connections; tasks in progress end with an unknown outcome
	Leaving       bool    // refuses new tasks
	// LinkDelay is added to the one-way delay between hosts and the minion, in
	// both directions.
	LinkDelay         time.Duration
	OmitTiming        bool // outcomes do not report the run time
	HeartbeatsStopped bool // renews no lease, but runs tasks

	emulator *Emulator

	running          map[string]*runningTask
	hosts            []*Host
	incarnation      int       // grows with every Kill
	unavailableSince time.Time // zero while the minion serves
}

type runningTask struct {
	cancelled bool // the task ends as failed
}

// heartbeatInterval is the interval at which minions renew their leases.
const heartbeatInterval = time.Second

// AddMinion adds a minion that announces itself, and renews its lease, at the
// first of the hosts that is up.
func (e *Emulator) AddMinion(a minion.Announcement, hosts []*Host, runTime func(engine.Start) time.Duration) *Minion {
	m := &Minion{Announcement: a, RunTime: runTime, hosts: hosts, running: make(map[string]*runningTask), emulator: e}
	e.minions[a.Name] = m
	var renew func()
	renew = func() {
		m.renewLease()
		e.After(heartbeatInterval, renew)
	}
	e.After(0, renew)
	return m
}

// renewLease renews the minion's lease at the first host that is up, or
// announces the minion there if that host does not accept the renewal. A frozen
// host handles the request when it resumes; the minion also tries the next host.
func (m *Minion) renewLease() {
	if m.Killed || m.Leaving || m.HeartbeatsStopped {
		return
	}
	for _, h := range m.hosts {
		if !h.up {
			continue
		}
		a := m.Announcement
		h.HandleInput(func(now time.Time) {
			if h.Engine.Renew(now, a.Name, a.Generation) != nil {
				_ = h.Engine.Announce(now, a) // refused only when misconfigured
			}
		})
		if !h.frozen {
			return
		}
	}
}

// Leave makes the minion refuse new tasks and tells the first host that is up
// and not frozen that the minion leaves.
func (m *Minion) Leave() {
	m.Leaving = true
	m.markUnavailable()
	for _, h := range m.hosts {
		if h.up && !h.frozen {
			h.HandleInput(func(time.Time) { _ = h.Engine.Leave(m.Name, m.Generation) })
			return
		}
	}
}

// StopHeartbeats stops the renewal of leases; tasks still run.
func (m *Minion) StopHeartbeats() {
	m.HeartbeatsStopped = true
	m.markUnavailable()
}

func (m *Minion) markUnavailable() {
	if m.unavailableSince.IsZero() {
		m.unavailableSince = m.emulator.now
	}
}

// UnavailableSince returns when the minion left, was killed or stopped its
// heartbeats; zero while it serves.
func (m *Minion) UnavailableSince() time.Time { return m.unavailableSince }

// Kill ends the process. For each task in progress the host receives an unknown
// outcome at the end of the task's run time.
func (m *Minion) Kill() {
	m.Killed = true
	m.markUnavailable()
	m.incarnation++
	m.running = make(map[string]*runningTask)
}

// Restart ends the effects of Kill, Leave, StopHeartbeats and Failing. The
// minion then announces itself under a higher generation.
func (m *Minion) Restart() {
	m.Killed = false
	m.Leaving = false
	m.HeartbeatsStopped = false
	m.Failing = false
	m.unavailableSince = time.Time{}
	m.Generation++
}

// InUse returns the number of tasks in progress.
func (m *Minion) InUse() int { return len(m.running) }

// runIdentity returns the identity of a run of a task that was started by the
// host process with the given incarnation.
func runIdentity(inc membership.Incarnation, id job.TaskID) string {
	return string(inc) + "/" + id.Job.String() + "/" + strconv.Itoa(id.Index)
}

// reserveSlot takes a slot for the run. It returns nil if the minion refuses the
// run: it is leaving, has no free slot, or has a run of the same identity.
func (m *Minion) reserveSlot(identity string) *runningTask {
	if m.Leaving || len(m.running) >= m.Slots || m.running[identity] != nil {
		return nil
	}
	t := &runningTask{}
	m.running[identity] = t
	return t
}

// run simulates a run for which reserveSlot took a slot. After the run time it
// frees the slot and calls finish with the outcome, which is unknown if the
// minion was killed meanwhile.
func (m *Minion) run(e *Emulator, identity string, s engine.Start, finish func(job.Outcome, bool)) {
	t := m.running[identity]
	runTime := m.runTime(s)
	incarnation := m.incarnation
	e.After(runTime, func() {
		if m.incarnation != incarnation {
			m.reportEnd(s, false)
			finish(job.Outcome{Code: result.StartUnknown, Detail: "connection lost"}, false)
			return
		}
		delete(m.running, identity)
		o := m.outcome(e, t, s, runTime)
		m.reportEnd(s, o.Code != result.StartUnknown)
		finish(o, false)
	})
}

func (m *Minion) reportEnd(s engine.Start, known bool) {
	if m.emulator.OnEnd != nil {
		m.emulator.OnEnd(m, s, known)
	}
}

func (m *Minion) runTime(s engine.Start) time.Duration {
	if m.Failing || m.RunTime == nil {
		return 0
	}
	runTime := m.RunTime(s)
	if m.RunTimeFactor > 0 {
		runTime = time.Duration(float64(runTime) * m.RunTimeFactor)
	}
	return runTime
}

func (m *Minion) outcome(e *Emulator, t *runningTask, s engine.Start, runTime time.Duration) job.Outcome {
	o := job.Outcome{Code: result.OK}
	if !m.OmitTiming {
		o.Run, o.Own = runTime, runTime
	}
	switch {
	case e.chance(e.Net.LostAnswers):
		o.Code = result.StartUnknown
	case m.Failing || t.cancelled:
		o.Code = result.TaskFailed
	default:
		o.Result = s.Payload
	}
	return o
}

// sendCancel delivers a cancellation to the minion. The task still ends after its
// run time, but as failed.
func (e *Emulator) sendCancel(h *Host, c engine.Cancel) {
	identity := runIdentity(h.Engine.Incarnation(), c.Task)
	e.After(e.networkDelay(), func() {
		for _, m := range e.minions {
			if m.Address == c.Address && m.running[identity] != nil {
				m.running[identity].cancelled = true
			}
		}
	})
}
