package engine

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// shutdown is the state of a graceful stop. The process may exit when for one
// heartbeat interval no job or search was in progress and no answer was sent, and
// every reachable peer of the failure domain has echoed a heartbeat that was sent
// after the last answer. Connections deliver in order, so such a peer has received
// all answers, knows that this host accepts no new jobs, and has no forwarded job
// in flight. The shutdown does not wait for peers of other failure domains: they
// forward no jobs, and they get heartbeats less often.
type shutdown struct {
	stopping        bool
	quiet           bool                     // nothing in progress and no answer sent since quietAt
	quietAt         time.Duration            // start of the quiet period, since StartedAt
	quietPeriodOver bool                     // quiet for at least one heartbeat interval
	echoedAt        map[string]time.Duration // by peer: send time of the latest heartbeat that it echoed, since StartedAt
}

// Stopping reports whether Stop was called: new submissions are refused.
func (e *Engine) Stopping() bool { return e.shutdown.stopping }

// Stop begins a graceful stop: new submissions are refused, jobs in progress
// continue. The next Tick sends the peers a heartbeat that says so.
func (e *Engine) Stop() {
	e.recordInput(e.stall.lastInput, Input{Stop: true})
	e.shutdown.stopping = true
	e.nextHeartbeat = time.Time{}
}

// ShutdownComplete reports whether the graceful stop is complete, so that the process may
// exit. It is false before Stop is called.
func (e *Engine) ShutdownComplete() bool {
	if !e.shutdown.quietPeriodOver || e.hasWork() {
		return false
	}
	echoed := true
	e.eachDomainPeer(func(p *membership.Peer) {
		echoed = echoed && (!p.Up() || e.shutdown.echoedAt[p.Name] >= e.shutdown.quietAt)
	})
	return echoed
}

// hasWork reports whether a job or a search is in progress.
func (e *Engine) hasWork() bool { return e.jobs.Active() > 0 || len(e.searches) > 0 }

// tickShutdown tracks how long a stopping host has had no work. When the work
// ends, it makes the next heartbeat due at once.
func (e *Engine) tickShutdown(now time.Time) {
	s := &e.shutdown
	if !s.stopping || e.hasWork() {
		return
	}
	elapsed := now.Sub(e.cfg.StartedAt)
	if s.quiet {
		s.quietPeriodOver = elapsed-s.quietAt >= e.cfg.HeartbeatEvery
		return
	}
	s.quiet = true
	s.quietAt = elapsed
	e.nextHeartbeat = time.Time{}
}

// observeSent ends the quiet period when an answer is sent.
func (s *shutdown) observeSent(b peer.Body) {
	if _, ok := b.(*peer.JobAnswer); ok {
		s.quiet, s.quietPeriodOver = false, false
	}
}
