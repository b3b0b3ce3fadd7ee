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

// sendHeartbeats sends this host's state to the peers that are due. Peers of its
// own failure domain also get the leases of the minions that announced to this
// host, its demand and slot use, the slots lent to the peer, and the minions that
// this host has ejected.
func (e *Engine) sendHeartbeats(now time.Time) {
	leases := e.localLeases(now)
	e.adjustLending(now)
	ejected := e.ejectedMinions(now)
	demand := e.reportDemand()
	for _, p := range e.duePeers() {
		echo := e.members.EchoFor(now, p.Name)
		h := &peer.Heartbeat{
			SentAt:        now.Sub(e.cfg.StartedAt),
			EchoSentAt:    echo.SentAt,
			EchoHeld:      echo.Held,
			ConfigVersion: e.configVersion,
			RefusesWork:   e.Stopping() || e.Drained(),
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

// localLeases returns the leases that this host granted to minions.
func (e *Engine) localLeases(now time.Time) []peer.MinionLease {
	var leases []peer.MinionLease
	for _, m := range e.minions.All() {
		if !m.LocalLeaseUntil.After(now) {
			continue
		}
		leases = append(leases, peer.MinionLease{Name: m.Name, Generation: m.Generation, Remaining: m.LocalLeaseUntil.Sub(now)})
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

// Receive handles a message from a peer; inc is the incarnation of the peer that
// sent it.
func (e *Engine) Receive(now time.Time, from string, inc membership.Incarnation, b peer.Body) {
	e.recordInput(now, Input{Receive: &ReceivedMessage{From: from, Incarnation: inc, Body: b}})
	e.stall.observeInput(now)
	if c, changed := e.members.RecordMessage(now, from, inc); changed {
		e.log(event.PeerUp, slog.String("host", from), slog.Bool("restarted", c.Restart))
		e.relayLocalMinions(now, c.Peer)
		e.failForwards(now, c.Peer)
		e.peerCameUp(now, from)
	}
	switch m := b.(type) {
	case *peer.Heartbeat:
		e.receiveHeartbeat(now, from, m)
	case *peer.MinionUpdate:
		e.applyAnnouncement(now, m.Minion, m.Remaining-e.messageDelay(now, from, m.SentAt), false)
	case *peer.MinionLeave:
		e.applyLeave(m.Name, m.Generation)
	case *peer.MinionQuery:
		e.answerMinionQuery(now, from, m.Names)
	case *peer.Locate:
		e.receiveLocate(now, from, m)
	case *peer.LocateReply:
		e.receiveLocateReply(now, from, inc, m)
	case *peer.Attach:
		e.receiveAttach(now, from, m)
	case *peer.JobAnswer:
		if !e.receiveForwardAnswer(now, from, m) {
			e.receiveJobAnswer(now, from, m)
		}
	case *peer.Forward:
		e.receiveForward(now, from, m)
	}
}

func (e *Engine) receiveHeartbeat(now time.Time, from string, h *peer.Heartbeat) {
	e.shutdown.echoedAt[from] = h.EchoSentAt
	e.members.RecordHeartbeat(now, from, h.SentAt, now.Sub(e.cfg.StartedAt), membership.Echo{SentAt: h.EchoSentAt, Held: h.EchoHeld})
	if p := e.members.Get(from); p != nil {
		p.RecordConfig(now, h.ConfigVersion)
	}
	delay := e.messageDelay(now, from, h.SentAt)
	e.recordPeerState(now, from, h)
	var unknown []string
	for _, l := range h.Leases {
		if !e.minions.Renew(now, l.Name, l.Generation, l.Remaining-delay, false) {
			unknown = append(unknown, l.Name)
		}
	}
	if len(unknown) > 0 {
		e.send(from, &peer.MinionQuery{Names: unknown})
	}
}

// relayLocalMinions sends the announcements made to this host to a peer of its
// failure domain that came up.
func (e *Engine) relayLocalMinions(now time.Time, p *membership.Peer) {
	if p.FailureDomain != e.cfg.Host.FailureDomain {
		return
	}
	for _, m := range e.minions.All() {
		if m.Local {
			e.relayMinion(now, p.Name, m)
		}
	}
}

// answerMinionQuery handles a query for minions that the peer does not know. It
// sends those announcements that were made to this host.
func (e *Engine) answerMinionQuery(now time.Time, from string, names []string) {
	for _, n := range names {
		if m := e.minions.Get(n); m != nil && m.Local {
			e.relayMinion(now, from, m)
		}
	}
}

func (e *Engine) relayMinion(now time.Time, to string, m *minion.Minion) {
	e.send(to, &peer.MinionUpdate{Minion: m.Announcement, Remaining: m.LocalLeaseUntil.Sub(now), SentAt: now.Sub(e.cfg.StartedAt)})
	if m.Leaving {
		e.send(to, &peer.MinionLeave{Name: m.Name, Generation: m.Generation})
	}
}

// Announce handles a minion's announcement and relays it to the failure domain.
func (e *Engine) Announce(now time.Time, a minion.Announcement) *result.Error {
	e.recordInput(now, Input{Announce: &a})
	if a.FailureDomain != e.cfg.Host.FailureDomain {
		return result.Errorf(result.InvalidField, "failure_domain %q: this host serves %q", a.FailureDomain, e.cfg.Host.FailureDomain)
	}
	e.stall.observeInput(now)
	if !e.applyAnnouncement(now, a, e.leaseDuration(now), true) {
		return result.Errorf(result.InvalidField, "generation %d is older than the announced one", a.Generation)
	}
	m := e.minions.Get(a.Name)
	e.eachDomainPeer(func(p *membership.Peer) { e.relayMinion(now, p.Name, m) })
	return nil
}

// applyAnnouncement adds or renews a minion. local is false for an announcement
// that a peer relayed. It reports false when a newer generation is known.
func (e *Engine) applyAnnouncement(now time.Time, a minion.Announcement, remaining time.Duration, local bool) bool {
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

// Renew handles a minion's heartbeat. It fails when the minion is not known under
// this generation; the minion must then announce itself again.
func (e *Engine) Renew(now time.Time, name string, generation uint64) *result.Error {
	e.recordInput(now, Input{Renew: &MinionIncarnation{Name: name, Generation: generation}})
	e.stall.observeInput(now)
	if !e.minions.Renew(now, name, generation, e.leaseDuration(now), true) {
		return result.Errorf(result.MinionUnknown, "minion %q generation %d", name, generation)
	}
	return nil
}

// Leave marks a minion as leaving, at its request, and relays the leave to the
// failure domain.
func (e *Engine) Leave(name string, generation uint64) *result.Error {
	e.recordInput(e.stall.lastInput, Input{Leave: &MinionIncarnation{Name: name, Generation: generation}})
	if e.minions.Get(name) == nil {
		return result.Errorf(result.MinionUnknown, "minion %q", name)
	}
	e.applyLeave(name, generation)
	e.eachDomainPeer(func(p *membership.Peer) {
		e.send(p.Name, &peer.MinionLeave{Name: name, Generation: generation})
	})
	return nil
}

func (e *Engine) applyLeave(name string, generation uint64) {
	if e.minions.MarkLeaving(name, generation) {
		e.log(event.MinionLeft, slog.String("minion", name))
	}
}
