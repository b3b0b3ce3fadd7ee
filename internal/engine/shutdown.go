package engine

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// shutdown is the state of a graceful stop. The process may end when nothing
// was in progress or answered for one heartbeat's interval, and every reachable
// peer of the failure domain has echoed a heartbeat that was sent after the
// last answer: connections keep order, so that the peer has all answers, knows
// that this host takes no new work, and no job that it forwarded before is on
// the way. Peers elsewhere forward no jobs, and hear from this host more rarely.
type shutdown struct {
	stopping bool
	quiet    bool                     // nothing was in progress or answered since quietAt
	quietAt  time.Duration            // this host's clock
	settled  bool                     // quiet for one heartbeat's interval
	echoes   map[string]time.Duration // latest of this host's heartbeats that each peer has got
}

// Stopping reports whether new work is refused.
func (e *Engine) Stopping() bool { return e.shutdown.stopping }

// Stop refuses new submissions from now on; jobs in progress go on. The peers
// are told by the next Tick.
func (e *Engine) Stop() {
	e.record(e.stall.last, Input{Stop: true})
	e.shutdown.stopping = true
	e.nextBeat = time.Time{}
}

// Idle reports, once Stop was called, whether the process may end.
func (e *Engine) Idle() bool {
	if !e.shutdown.settled || e.busy() {
		return false
	}
	told := true
	e.eachDomainPeer(func(p *membership.Peer) {
		told = told && (!p.Up() || e.shutdown.echoes[p.Name] >= e.shutdown.quietAt)
	})
	return told
}

func (e *Engine) busy() bool { return e.jobs.Active() > 0 || len(e.searches) > 0 }

// tickShutdown notes since when a stopping host has had nothing to do, and
// tells the peers at once.
func (e *Engine) tickShutdown(now time.Time) {
	s := &e.shutdown
	if !s.stopping || e.busy() {
		return
	}
	elapsed := now.Sub(e.cfg.StartedAt)
	if s.quiet {
		s.settled = elapsed-s.quietAt >= e.cfg.HeartbeatEvery
		return
	}
	s.quiet = true
	s.quietAt = elapsed
	e.nextBeat = time.Time{}
}

// noteSent starts the quiet period again when an answer is sent.
func (s *shutdown) noteSent(b peer.Body) {
	if _, ok := b.(*peer.JobAnswer); ok {
		s.quiet, s.settled = false, false
	}
}
