package engine

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// heartbeat sends the peers whose turn it is the host's state; the peers of the own failure
// domain also get the leases of the minions that announced here.
func (e *Engine) heartbeat(now time.Time) {
	leases := e.localLeases(now)
	e.adjustLending(now)
	ejected := e.ejectedMinions(now)
	demand := e.reportDemand()
	for _, p := range e.duePeers() {
		echo := e.members.EchoFor(now, p.Name)
		h := &peer.Heartbeat{
			SentAt:  now.Sub(e.cfg.StartedAt),
			EchoAt:  echo.SentAt,
			Held:    echo.Held,
			Config:  e.configVersion,
			Stopped: e.Stopping() || e.Drained(),
		}
		if p.FailureDomain == e.cfg.Host.FailureDomain {
			h.Leases = leases
			h.Demand = demand
			h.Lent = e.lent[p.Name]
			h.InUse = e.minions.InUse()
			h.Ejected = ejected
		}
		e.send(p.Name, h)
	}
}

func (e *Engine) localLeases(now time.Time) []peer.MinionLease {
	var leases []peer.MinionLease
	for _, m := range e.minions.All() {
		if !m.LocalUntil.After(now) {
			continue
		}
		leases = append(leases, peer.MinionLease{Name: m.Name, Generation: m.Generation, Remaining: m.LocalUntil.Sub(now)})
	}
	return leases
}

// eachDomainPeer calls f for the peers of the host's own failure domain.
func (e *Engine) eachDomainPeer(f func(*membership.Peer)) {
	for _, p := range e.members.All() {
		if p.FailureDomain == e.cfg.Host.FailureDomain {
			f(p)
		}
	}
}

// Receive handles a message of a peer.
func (e *Engine) Receive(now time.Time, from string, inc membership.Incarnation, b peer.Body) {
	e.record(now, Input{Receive: &Received{From: from, Incarnation: inc, Body: b}})
	e.stall.observe(now)
	if c, changed := e.members.Heard(now, from, inc); changed {
		e.log(event.PeerUp, slog.String("host", from), slog.Bool("restarted", c.Restart))
		e.relayAll(now, c.Peer)
		e.failForwards(now, c.Peer)
		e.peerCameUp(now, from)
	}
	switch m := b.(type) {
	case *peer.Heartbeat:
		e.receiveHeartbeat(now, from, m)
	case *peer.MinionUpdate:
		e.learn(now, m.Minion, m.Remaining-e.age(now, from, m.SentAt), false)
	case *peer.MinionLeave:
		e.leave(m.Name, m.Generation)
	case *peer.MinionQuery:
		e.answerQuery(now, from, m.Names)
	case *peer.Locate:
		e.receiveLocate(now, from, m)
	case *peer.LocateReply:
		e.receiveLocateReply(now, from, inc, m)
	case *peer.Attach:
		e.receiveAttach(now, from, m)
	case *peer.JobAnswer:
		if !e.settleForward(now, from, m) {
			e.receiveJobAnswer(now, from, m)
		}
	case *peer.Forward:
		e.receiveForward(now, from, m)
	}
}

func (e *Engine) receiveHeartbeat(now time.Time, from string, h *peer.Heartbeat) {
	e.shutdown.echoes[from] = h.EchoAt
	e.members.Measured(now, from, h.SentAt, now.Sub(e.cfg.StartedAt), membership.Echo{SentAt: h.EchoAt, Held: h.Held})
	if p := e.members.Get(from); p != nil {
		p.ReportedConfig(now, h.Config)
	}
	age := e.age(now, from, h.SentAt)
	e.recordPath(now, from, h)
	var unknown []string
	for _, l := range h.Leases {
		if !e.minions.Renew(now, l.Name, l.Generation, l.Remaining-age, false) {
			unknown = append(unknown, l.Name)
		}
	}
	if len(unknown) > 0 {
		e.send(from, &peer.MinionQuery{Names: unknown})
	}
}

// relayAll sends every local announcement to a peer that came up.
func (e *Engine) relayAll(now time.Time, p *membership.Peer) {
	if p.FailureDomain != e.cfg.Host.FailureDomain {
		return
	}
	for _, m := range e.minions.All() {
		if m.Local {
			e.relay(now, p.Name, m)
		}
	}
}

func (e *Engine) answerQuery(now time.Time, from string, names []string) {
	for _, n := range names {
		if m := e.minions.Get(n); m != nil && m.Local {
			e.relay(now, from, m)
		}
	}
}

func (e *Engine) relay(now time.Time, to string, m *minion.Minion) {
	e.send(to, &peer.MinionUpdate{Minion: m.Announcement, Remaining: m.LocalUntil.Sub(now), SentAt: now.Sub(e.cfg.StartedAt)})
	if m.Leaving {
		e.send(to, &peer.MinionLeave{Name: m.Name, Generation: m.Generation})
	}
}

// Announce handles a minion's announcement and relays it to the failure domain.
func (e *Engine) Announce(now time.Time, a minion.Announcement) *result.Error {
	e.record(now, Input{Announce: &a})
	if a.FailureDomain != e.cfg.Host.FailureDomain {
		return result.Errorf(result.InvalidField, "failure_domain %q: this host serves %q", a.FailureDomain, e.cfg.Host.FailureDomain)
	}
	e.stall.observe(now)
	if !e.learn(now, a, e.grant(now), true) {
		return result.Errorf(result.InvalidField, "generation %d is older than the announced one", a.Generation)
	}
	m := e.minions.Get(a.Name)
	e.eachDomainPeer(func(p *membership.Peer) { e.relay(now, p.Name, m) })
	return nil
}

func (e *Engine) learn(now time.Time, a minion.Announcement, remaining time.Duration, local bool) bool {
	known := e.minions.Get(a.Name) != nil
	if !e.minions.Announce(now, a, remaining, local) {
		return false
	}
	if !known {
		e.log(event.MinionAnnounced, slog.String("minion", a.Name), slog.Bool("relayed", !local))
	}
	e.dispatch(now)
	return true
}

// Renew handles a minion's heartbeat. An unknown minion must announce again.
func (e *Engine) Renew(now time.Time, name string, generation uint64) *result.Error {
	e.record(now, Input{Renew: &Process{Name: name, Generation: generation}})
	e.stall.observe(now)
	if !e.minions.Renew(now, name, generation, e.grant(now), true) {
		return result.Errorf(result.MinionUnknown, "minion %q generation %d", name, generation)
	}
	return nil
}

// Leave handles a minion's leave and relays it to the failure domain.
func (e *Engine) Leave(name string, generation uint64) *result.Error {
	e.record(e.stall.last, Input{Leave: &Process{Name: name, Generation: generation}})
	if e.minions.Get(name) == nil {
		return result.Errorf(result.MinionUnknown, "minion %q", name)
	}
	e.leave(name, generation)
	e.eachDomainPeer(func(p *membership.Peer) {
		e.send(p.Name, &peer.MinionLeave{Name: name, Generation: generation})
	})
	return nil
}

func (e *Engine) leave(name string, generation uint64) {
	if e.minions.Leave(name, generation) {
		e.log(event.MinionLeft, slog.String("minion", name))
	}
}
