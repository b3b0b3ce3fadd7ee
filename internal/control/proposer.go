package control

import (
	"fmt"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// pending is a proposal without an outcome.
type pending struct {
	Proposal
	digest  uint64
	tickets []uint64
	until   time.Time
	sent    bool // its value was sent to acceptors and may be chosen at any time
}

// refusal is a remembered final refusal.
type refusal struct {
	digest  uint64
	outcome Outcome
}

// attempt is one ballot.
type attempt struct {
	version   uint64
	ballot    peer.Ballot
	proposal  *pending // nil: only completes an undecided value
	acceptors []string
	promises  map[string]*peer.ControlPromise
	reports   map[string]*peer.ControlReport
	value     *peer.ConfigRecord // of phase two; nil in phase one
	accepts   map[string]bool
	startedAt time.Time
	resendAt  time.Time
	retryAt   time.Time // when a refused ballot is replaced; zero: not refused
}

// Propose starts to get a change chosen. Its outcome follows in
// Ready.Decisions under the returned ticket, within Timing.Propose and a tick.
//
// A NoMajority outcome leaves open whether the change is chosen later; a
// resend of the same command tells.
func (m *Machine) Propose(now time.Time, p Proposal) (ticket uint64) {
	m.tickets++
	ticket = m.tickets
	n := &pending{Proposal: p, digest: p.digest(), tickets: []uint64{ticket}, until: now.Add(m.cfg.Timing.Propose)}
	if m.resent(n) {
		return ticket
	}
	if len(m.pending) >= MaxPending {
		m.decide(n, result.Busy, fmt.Sprintf("%d changes in progress on this host", len(m.pending)))
		return ticket
	}
	m.pending = append(m.pending, n)
	if p.Base > m.Version() {
		m.fetchFromGroup()
	}
	m.advance(now)
	return ticket
}

// resent handles a command that is in progress or was refused before.
func (m *Machine) resent(n *pending) bool {
	for _, p := range m.pending {
		if p.Command != n.Command {
			continue
		}
		if p.digest != n.digest {
			m.decide(n, result.PlanRefused, "the command identity is in use for another change")
			return true
		}
		p.tickets = append(p.tickets, n.tickets...)
		return true
	}
	r, ok := m.refusals[n.Command]
	if !ok || r.digest != n.digest {
		return false
	}
	if _, chosen := findCommand(m.state.Chosen, n.Command); chosen {
		return false
	}
	m.ready.Decisions = append(m.ready.Decisions, Decision{Ticket: n.tickets[0], Outcome: r.outcome})
	return true
}

// advance settles what the latest version decides and starts the next attempt.
func (m *Machine) advance(now time.Time) {
	var open []*pending
	for _, p := range m.pending {
		if !m.settle(now, p) {
			open = append(open, p)
		}
	}
	m.pending = open
	if m.attempt != nil || now.Before(m.pauseTo) {
		return
	}
	for _, p := range m.pending {
		if p.Base == m.Version() {
			m.start(now, p)
			return
		}
	}
}

// settle decides a proposal, if its outcome is known.
func (m *Machine) settle(now time.Time, p *pending) bool {
	version := m.Version()
	if c, ok := findCommand(m.state.Chosen, p.Command); ok {
		return m.settleChosen(now, p, c)
	}
	switch {
	case p.Base+1 == version:
		m.refuse(p, result.VersionTaken, "")
	case p.Base < version:
		m.refuse(p, result.PlanStale, fmt.Sprintf("made on version %d", p.Base))
	case now.Before(p.until):
		return false
	case p.Base > version:
		m.decide(p, result.NoMajority, fmt.Sprintf("this host knows version %d, the plan was made on %d", version, p.Base))
	case m.storesFailed(p):
		m.decide(p, result.StoreUnavailable, "the stores of too many control hosts failed; the change may still be chosen")
	default:
		m.decide(p, result.NoMajority, "the change may still be chosen; resend the command to learn its outcome")
	}
	m.abandon(p)
	return true
}

// settleChosen decides a proposal whose command was chosen. The latest version
// counts as accepted only when it is confirmed; an older one was confirmed by
// those who voted on the next.
func (m *Machine) settleChosen(now time.Time, p *pending, c peer.CommandRecord) bool {
	switch {
	case c.Digest != p.digest:
		m.refuse(p, result.PlanRefused, fmt.Sprintf("the command identity was used for version %d", c.Version))
		return true
	case c.Version < m.Version() || m.confirmed():
		m.decideAt(p, result.OK, c.Version, "", "")
		return true
	case !now.Before(p.until):
		m.decide(p, result.NoMajority, "chosen, but not yet on the disks of a majority of the control hosts")
		return true
	}
	if now.Sub(m.decidedAt) >= m.cfg.Timing.Resend {
		m.tellDecided(now)
	}
	return false
}

func (m *Machine) decide(p *pending, code result.Code, detail string) {
	m.decideAt(p, code, m.Version(), "", detail)
}

func (m *Machine) decideAt(p *pending, code result.Code, version uint64, winner, detail string) {
	o := Outcome{Command: p.Command, Code: code, Version: version, Winner: winner, Detail: detail}
	for _, t := range p.tickets {
		m.ready.Decisions = append(m.ready.Decisions, Decision{Ticket: t, Outcome: o})
	}
}

// refuse decides a proposal that can never be chosen, and remembers that.
func (m *Machine) refuse(p *pending, code result.Code, detail string) {
	winner := ""
	if code != result.PlanRefused {
		winner = operatorOf(m.state.Chosen, p.Base+1)
	}
	m.decideAt(p, code, m.Version(), winner, detail)
	if _, ok := m.refusals[p.Command]; !ok {
		m.refused = append(m.refused, p.Command)
	}
	m.refusals[p.Command] = refusal{p.digest, Outcome{Command: p.Command, Code: code, Version: m.Version(), Winner: winner, Detail: detail}}
	if len(m.refused) > maxRefusals {
		delete(m.refusals, m.refused[0])
		m.refused = m.refused[1:]
	}
}

// abandon ends the attempt of a proposal that has an outcome.
func (m *Machine) abandon(p *pending) {
	if m.attempt != nil && m.attempt.proposal == p {
		m.attempt = nil
	}
}

// storesFailed reports whether failed stores alone prevent a majority.
func (m *Machine) storesFailed(p *pending) bool {
	a := m.attempt
	if a == nil || a.proposal != p {
		return false
	}
	failed := 0
	for _, host := range a.acceptors {
		if r := a.reports[host]; r != nil && r.Failed && a.promises[host] == nil {
			failed++
		}
	}
	return len(a.acceptors)-failed < majority(len(a.acceptors))
}

// start opens a ballot for the next version.
func (m *Machine) start(now time.Time, p *pending) {
	if p != nil && !p.sent {
		if reason := m.checkChange(p); reason != "" {
			m.refuse(p, result.PlanRefused, reason)
			m.drop(p)
			return
		}
	}
	m.round = max(m.round, m.state.Promised.Round) + 1
	a := &attempt{
		version:   m.Version() + 1,
		ballot:    peer.Ballot{Round: m.round, Proposer: string(m.cfg.Incarnation)},
		proposal:  p,
		acceptors: m.acceptors(),
		promises:  make(map[string]*peer.ControlPromise),
		reports:   make(map[string]*peer.ControlReport),
		accepts:   make(map[string]bool),
		startedAt: now,
		resendAt:  now.Add(m.cfg.Timing.Resend),
	}
	m.attempt = a
	m.resend(a)
}

func (m *Machine) drop(p *pending) {
	var open []*pending
	for _, x := range m.pending {
		if x != p {
			open = append(open, x)
		}
	}
	m.pending = open
}

// acceptors returns the hosts that choose the next version.
func (m *Machine) acceptors() []string {
	if m.state.Chosen == nil {
		return m.cfg.Bootstrap
	}
	hosts := make([]string, len(m.state.Chosen.Group))
	for i, g := range m.state.Chosen.Group {
		hosts[i] = g.Host
	}
	return hosts
}

// resend sends the attempt's messages to everyone who has not answered.
func (m *Machine) resend(a *attempt) {
	for _, host := range a.acceptors {
		switch {
		case a.value == nil && a.promises[host] == nil:
			m.send(host, &peer.ControlPrepare{Version: a.version, Ballot: a.ballot})
		case a.value != nil && !a.accepts[host]:
			m.send(host, &peer.ControlAccept{Version: a.version, Ballot: a.ballot, Value: a.value})
		}
	}
	if a.value == nil && a.proposal != nil {
		for _, g := range m.added(a.proposal) {
			if !contains(a.acceptors, g.Host) {
				m.send(g.Host, &peer.ControlPrepare{Version: a.version, Ballot: a.ballot})
			}
		}
	}
}

func (m *Machine) tickAttempt(now time.Time) {
	a := m.attempt
	if a == nil {
		return
	}
	if !a.retryAt.IsZero() {
		if !now.Before(a.retryAt) {
			m.attempt = nil
			if a.proposal == nil {
				m.start(now, nil)
			}
		}
		return
	}
	if !now.Before(a.resendAt) {
		a.resendAt = now.Add(m.cfg.Timing.Resend)
		m.resend(a)
	}
	m.phaseTwo(now, a)
}

// backOff gives up a refused ballot and waits for a random time before the
// next, so that one of several proposers gets through.
func (m *Machine) backOff(now time.Time, a *attempt, promised peer.Ballot) {
	m.round = max(m.round, promised.Round)
	if !a.retryAt.IsZero() {
		return
	}
	pause := m.cfg.Timing.FirstBackoff << min(m.failures, 10)
	pause = min(pause, m.cfg.Timing.MaxBackoff)
	m.failures++
	a.retryAt = now.Add(pause/2 + time.Duration(m.rng.Int64N(int64(pause))))
}

func (m *Machine) onPromise(now time.Time, from string, p *peer.ControlPromise) {
	a := m.attempt
	if a == nil || a.value != nil || p.Version != a.version || p.Ballot != a.ballot || !contains(a.acceptors, from) {
		return
	}
	if p.Refused {
		m.backOff(now, a, p.Promised)
		return
	}
	if m.state.Chosen != nil && !names(m.state.Chosen.Group, from, p.Disk) {
		return
	}
	a.promises[from] = p
	m.phaseTwo(now, a)
}

// quorum is the number of promises that phase one needs. The disks of version
// 0 are not agreed on, and one of them may be replaced in between: version 1
// asks all of them, so that every earlier acceptance is seen.
func (a *attempt) quorum() int {
	if a.version == 1 {
		return len(a.acceptors)
	}
	return majority(len(a.acceptors))
}

// phaseTwo proposes a value once enough promises have arrived.
func (m *Machine) phaseTwo(now time.Time, a *attempt) {
	if a.value != nil || !a.retryAt.IsZero() || len(a.promises) < a.quorum() {
		return
	}
	value := a.highestAccepted()
	if value == nil && a.proposal == nil {
		m.attempt = nil // nothing to complete
		m.valueAt = time.Time{}
		return
	}
	if value == nil {
		if value = m.ownValue(now, a); value == nil {
			return
		}
	}
	a.value = value
	a.resendAt = now.Add(m.cfg.Timing.Resend)
	m.resend(a)
}

// highestAccepted returns the value that may have been chosen already, or nil.
func (a *attempt) highestAccepted() *peer.ConfigRecord {
	var best peer.Ballot
	var value *peer.ConfigRecord
	for _, p := range a.promises {
		if p.Value != nil && p.Accepted.Compare(best) > 0 {
			best, value = p.Accepted, p.Value
		}
	}
	return value
}

// ownValue returns the proposal as the next version, or nil while the group
// it wants isn't known to work.
func (m *Machine) ownValue(now time.Time, a *attempt) *peer.ConfigRecord {
	p := a.proposal
	group, reason := m.nextGroup(a)
	if reason != "" {
		if !p.sent && now.Sub(a.startedAt) >= m.cfg.Timing.Admit {
			m.refuse(p, result.PlanRefused, reason)
			m.drop(p)
			m.attempt = nil
		}
		return nil
	}
	p.sent = true
	c := peer.CommandRecord{Command: p.Command, Operator: p.Operator, Version: a.version, Digest: p.digest}
	return &peer.ConfigRecord{
		Version:  a.version,
		Document: pack(p.Document),
		Group:    group,
		Recent:   appendRecent(m.state.Chosen, c),
	}
}

func (m *Machine) onAccepted(now time.Time, from string, r *peer.ControlAccepted) {
	a := m.attempt
	if a == nil || a.value == nil || r.Version != a.version || r.Ballot != a.ballot {
		return
	}
	if r.Refused {
		m.backOff(now, a, r.Promised)
		return
	}
	group := a.value.Group
	if m.state.Chosen != nil {
		group = m.state.Chosen.Group
	}
	if !names(group, from, r.Disk) {
		return
	}
	a.accepts[from] = true
	if len(a.accepts) < majority(len(group)) {
		return
	}
	m.learn(now, a.value)
	m.ballot = a.ballot
	m.tellDecided(now)
	m.spread()
}

// tickRecovery completes a value that this host accepted and whose proposer
// has fallen silent.
func (m *Machine) tickRecovery(now time.Time) {
	if m.state.Value == nil || m.attempt != nil {
		m.valueAt = time.Time{}
		return
	}
	if m.valueAt.IsZero() {
		m.valueAt = now.Add(time.Duration(m.rng.Int64N(int64(m.cfg.Timing.Recover))))
		return
	}
	if now.Sub(m.valueAt) >= m.cfg.Timing.Recover {
		m.start(now, nil)
	}
}
