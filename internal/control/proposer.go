package control

import (
	"fmt"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// pendingProposal is a proposal that has no outcome yet.
type pendingProposal struct {
	Proposal
	digest    uint64
	tickets   []uint64 // one for each time that the command was proposed
	deadline  time.Time
	valueSent bool // the value was sent to acceptors, so it may be chosen at any time
}

// refusal is the outcome of a command that can never be chosen, kept for the
// case that the command is sent again.
type refusal struct {
	digest  uint64
	outcome Outcome
}

// attempt is the state of one ballot of this host.
type attempt struct {
	version   uint64
	ballot    peer.Ballot
	proposal  *pendingProposal // nil: the attempt only completes an undecided value
	acceptors []string
	promises  map[string]*peer.ControlPromise
	reports   map[string]*peer.ControlReport
	value     *peer.ConfigRecord // value proposed in phase two; nil in phase one
	accepts   map[string]bool    // acceptors that accepted value
	startedAt time.Time
	resendAt  time.Time
	retryAt   time.Time // when to replace the refused ballot; zero: not refused
}

// Propose starts a proposal. Its outcome is delivered in Ready.Decisions with
// the returned ticket, after at most Timing.ProposeTimeout and one tick.
//
// After a NoMajority or StoreUnavailable outcome the change may still be chosen;
// to learn the final outcome, propose the same command again.
func (m *Machine) Propose(now time.Time, p Proposal) (ticket uint64) {
	m.lastTicket++
	ticket = m.lastTicket
	n := &pendingProposal{Proposal: p, digest: p.digest(), tickets: []uint64{ticket}, deadline: now.Add(m.cfg.Timing.ProposeTimeout)}
	if m.handleResend(n) {
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

// handleResend handles a proposal whose command is already pending or was
// refused before, and reports whether it did.
func (m *Machine) handleResend(n *pendingProposal) bool {
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

// advance decides the pending proposals whose outcome is known and, if no
// attempt is in progress, starts one for the first proposal that is based on the
// latest version.
func (m *Machine) advance(now time.Time) {
	var undecided []*pendingProposal
	for _, p := range m.pending {
		if !m.tryDecide(now, p) {
			undecided = append(undecided, p)
		}
	}
	m.pending = undecided
	if m.attempt != nil || now.Before(m.backoffUntil) {
		return
	}
	for _, p := range m.pending {
		if p.Base == m.Version() {
			m.startAttempt(now, p)
			return
		}
	}
}

// tryDecide decides a proposal if its outcome is known or its deadline has
// passed, and reports whether it did.
func (m *Machine) tryDecide(now time.Time, p *pendingProposal) bool {
	version := m.Version()
	if c, ok := findCommand(m.state.Chosen, p.Command); ok {
		return m.tryDecideChosen(now, p, c)
	}
	switch {
	case p.Base+1 == version:
		m.refuse(p, result.VersionTaken, "")
	case p.Base < version:
		m.refuse(p, result.PlanStale, fmt.Sprintf("made on version %d", p.Base))
	case now.Before(p.deadline):
		return false
	case p.Base > version:
		m.decide(p, result.NoMajority, fmt.Sprintf("this host knows version %d, the plan was made on %d", version, p.Base))
	case m.storesFailed(p):
		m.decide(p, result.StoreUnavailable, "the stores of too many control hosts failed; the change may still be chosen ("+m.describeProgress(p)+")")
	default:
		m.decide(p, result.NoMajority, "the change may still be chosen; resend the command to learn its outcome ("+m.describeProgress(p)+")")
	}
	m.cancelAttempt(p)
	return true
}

// tryDecideChosen decides a proposal whose command was chosen, and reports
// whether it did. If the command is in the latest version, the outcome is OK
// only once a majority of the new group has that version on disk, and the group has
// settled. For an older
// version no such check is needed: the hosts that voted on the next version had
// it on disk.
func (m *Machine) tryDecideChosen(now time.Time, p *pendingProposal, c peer.CommandRecord) bool {
	switch {
	case c.Digest != p.digest:
		m.refuse(p, result.PlanRefused, fmt.Sprintf("the command identity was used for version %d", c.Version))
		return true
	case (c.Version < m.Version() || m.syncedByMajority()) && m.Settled(now):
		m.decideWithVersion(p, result.OK, c.Version, "", "")
		return true
	case !now.Before(p.deadline):
		m.decide(p, result.NoMajority, "chosen, but not yet on the disks of a majority of the control hosts")
		return true
	}
	if now.Sub(m.decidedSentAt) >= m.cfg.Timing.ResendInterval {
		m.sendDecided(now)
	}
	return false
}

// decide adds the outcome of a proposal to Ready.Decisions, with the latest known
// version.
func (m *Machine) decide(p *pendingProposal, code result.Code, detail string) {
	m.decideWithVersion(p, code, m.Version(), "", detail)
}

// decideWithVersion adds the outcome of a proposal to Ready.Decisions, once for
// each ticket.
func (m *Machine) decideWithVersion(p *pendingProposal, code result.Code, version uint64, winner, detail string) {
	o := Outcome{Command: p.Command, Code: code, Version: version, Winner: winner, Detail: detail}
	for _, t := range p.tickets {
		m.ready.Decisions = append(m.ready.Decisions, Decision{Ticket: t, Outcome: o})
	}
}

// refuse decides a proposal that can never be chosen, and keeps the outcome for
// the case that the command is sent again.
func (m *Machine) refuse(p *pendingProposal, code result.Code, detail string) {
	winner := ""
	if code != result.PlanRefused {
		winner = operatorOf(m.state.Chosen, p.Base+1)
	}
	m.decideWithVersion(p, code, m.Version(), winner, detail)
	if _, ok := m.refusals[p.Command]; !ok {
		m.refusalOrder = append(m.refusalOrder, p.Command)
	}
	m.refusals[p.Command] = refusal{p.digest, Outcome{Command: p.Command, Code: code, Version: m.Version(), Winner: winner, Detail: detail}}
	if len(m.refusalOrder) > maxRefusals {
		delete(m.refusals, m.refusalOrder[0])
		m.refusalOrder = m.refusalOrder[1:]
	}
}

// cancelAttempt cancels the current attempt if it belongs to the given proposal,
// which has an outcome.
func (m *Machine) cancelAttempt(p *pendingProposal) {
	if m.attempt != nil && m.attempt.proposal == p {
		m.attempt = nil
	}
}

// storesFailed reports whether the current attempt cannot get a majority because
// too many acceptors have reported a failed store.
func (m *Machine) storesFailed(p *pendingProposal) bool {
	a := m.attempt
	if a == nil || a.proposal != p {
		return false
	}
	failed := 0
	for _, host := range a.acceptors {
		if r := a.reports[host]; r != nil && r.StoreFailed && a.promises[host] == nil {
			failed++
		}
	}
	return len(a.acceptors)-failed < majority(len(a.acceptors))
}

// startAttempt starts a ballot for the next version. With a nil proposal the
// attempt only completes a value that an acceptor has already accepted.
func (m *Machine) startAttempt(now time.Time, p *pendingProposal) {
	if p != nil && !p.valueSent {
		if reason := m.checkGroupChange(p); reason != "" {
			m.refuse(p, result.PlanRefused, reason)
			m.removePending(p)
			return
		}
	}
	m.highestRound = max(m.highestRound, m.state.Promised.Round) + 1
	a := &attempt{
		version:   m.Version() + 1,
		ballot:    peer.Ballot{Round: m.highestRound, Proposer: string(m.cfg.Incarnation)},
		proposal:  p,
		acceptors: m.acceptors(),
		promises:  make(map[string]*peer.ControlPromise),
		reports:   make(map[string]*peer.ControlReport),
		accepts:   make(map[string]bool),
		startedAt: now,
		resendAt:  now.Add(m.cfg.Timing.ResendInterval),
	}
	m.attempt = a
	if a.version == 1 && m.formation.askedAt.IsZero() {
		m.formation.askedAt = now
	}
	m.sendToUnanswered(a)
}

func (m *Machine) removePending(p *pendingProposal) {
	var remaining []*pendingProposal
	for _, x := range m.pending {
		if x != p {
			remaining = append(remaining, x)
		}
	}
	m.pending = remaining
}

// acceptors returns the names of the hosts that choose the next version.
func (m *Machine) acceptors() []string {
	if m.state.Chosen == nil {
		return m.bootstrap()
	}
	hosts := make([]string, len(m.state.Chosen.Group))
	for i, g := range m.state.Chosen.Group {
		hosts[i] = g.Host
	}
	return hosts
}

// sendToUnanswered sends the message of the attempt's current phase to every
// acceptor that has not answered it. In phase one of a proposal, the members
// that it adds get the prepare message too: they answer with the report that
// nextGroup requires.
func (m *Machine) sendToUnanswered(a *attempt) {
	for _, host := range a.acceptors {
		switch {
		case a.value == nil && a.promises[host] == nil:
			m.send(host, m.prepareOf(a))
		case a.value != nil && !a.accepts[host]:
			m.send(host, &peer.ControlAccept{Version: a.version, Ballot: a.ballot, Value: a.value})
		}
	}
	if a.value == nil && a.proposal != nil {
		for _, g := range m.addedMembers(a.proposal) {
			if !contains(a.acceptors, g.Host) {
				m.send(g.Host, m.prepareOf(a))
			}
		}
	}
}

// prepareOf returns the message of the attempt's phase one.
func (m *Machine) prepareOf(a *attempt) *peer.ControlPrepare {
	p := &peer.ControlPrepare{Version: a.version, Ballot: a.ballot}
	if a.version == 1 {
		p.Bootstrap = a.acceptors
	}
	return p
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
				m.startAttempt(now, nil)
			}
		}
		return
	}
	if !now.Before(a.resendAt) {
		a.resendAt = now.Add(m.cfg.Timing.ResendInterval)
		m.sendToUnanswered(a)
	}
	m.maybeStartPhaseTwo(now, a)
}

// backOff marks the attempt's ballot as refused and schedules the next one after
// a random delay, so that competing proposers don't block each other forever. The delay
// is at least about as long as this ballot took until its refusal: on slow links a
// shorter one would interrupt the competing ballot before its next phase ends.
func (m *Machine) backOff(now time.Time, a *attempt, promised peer.Ballot) {
	m.highestRound = max(m.highestRound, promised.Round)
	if !a.retryAt.IsZero() {
		return
	}
	pause := max(m.cfg.Timing.FirstBackoff<<min(m.refusedBallots, 10), now.Sub(a.startedAt))
	pause = min(pause, m.cfg.Timing.MaxBackoff)
	m.refusedBallots++
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
	if m.state.Chosen != nil && !isMember(m.state.Chosen.Group, from, p.Disk) {
		return
	}
	a.promises[from] = p
	for _, s := range p.Spares {
		m.observeSpare(now, s.Host, &peer.ControlReport{Disk: s.Disk})
	}
	m.maybeStartPhaseTwo(now, a)
}

// hasPromiseQuorum reports whether phase one has the promises that it needs: of a majority,
// or for version 1 those that firstPromisesSuffice asks for.
func (m *Machine) hasPromiseQuorum(now time.Time, a *attempt) bool {
	if a.version == 1 {
		return m.firstPromisesSuffice(now, a)
	}
	return len(a.promises) >= majority(len(a.acceptors))
}

// maybeStartPhaseTwo sends a value to the acceptors once enough promises have
// arrived. A value that an acceptor already accepted takes precedence over the
// attempt's own proposal.
func (m *Machine) maybeStartPhaseTwo(now time.Time, a *attempt) {
	if a.value != nil || !a.retryAt.IsZero() || !m.hasPromiseQuorum(now, a) {
		return
	}
	value := a.highestAccepted()
	if value != nil && a.version == 1 {
		value = a.renewDisks(value)
	}
	if value == nil && a.proposal == nil {
		m.attempt = nil // no acceptor has an undecided value to complete
		m.recoveryStart = time.Time{}
		return
	}
	if value == nil {
		if value = m.proposedValue(now, a); value == nil {
			return
		}
	}
	a.value = value
	a.resendAt = now.Add(m.cfg.Timing.ResendInterval)
	m.sendToUnanswered(a)
}

// highestAccepted returns the value accepted under the highest ballot among the
// promises, which may have been chosen already, or nil if there is none.
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

// proposedValue returns the attempt's proposal as a record of the next version,
// or nil while a group change lacks answers from the new group. If they are
// still missing after Timing.GroupChangeTimeout, it refuses a proposal that was
// not yet sent to acceptors.
func (m *Machine) proposedValue(now time.Time, a *attempt) *peer.ConfigRecord {
	p := a.proposal
	group, reason := m.nextGroup(now, a)
	if reason != "" {
		if !p.valueSent && now.Sub(a.startedAt) >= m.cfg.Timing.GroupChangeTimeout {
			m.refuse(p, result.PlanRefused, reason)
			m.removePending(p)
			m.attempt = nil
		}
		return nil
	}
	p.valueSent = true
	c := peer.CommandRecord{Command: p.Command, Operator: p.Operator, Version: a.version, Digest: p.digest}
	return &peer.ConfigRecord{
		Version:  a.version,
		Document: compress(p.Document),
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
	unlisted := a.version == 1 && diskOf(group, from) == "" // it has checked that it may vote
	if !contains(a.acceptors, from) || !unlisted && !isMember(group, from, r.Disk) {
		return
	}
	a.accepts[from] = true
	if len(a.accepts) < m.acceptQuorum(a) {
		return
	}
	m.learn(now, a.value)
	m.chosenBallot = a.ballot
	m.sendDecided(now)
	m.pushChosen()
}

// tickRecovery starts an attempt to complete a value that this host accepted and
// that has stayed undecided for Timing.RecoveryDelay plus a random delay, for
// example because its proposer crashed.
func (m *Machine) tickRecovery(now time.Time) {
	if m.state.Value == nil || m.attempt != nil {
		m.recoveryStart = time.Time{}
		return
	}
	if m.recoveryStart.IsZero() {
		m.recoveryStart = now.Add(time.Duration(m.rng.Int64N(int64(m.cfg.Timing.RecoveryDelay))))
		return
	}
	if now.Sub(m.recoveryStart) >= m.cfg.Timing.RecoveryDelay {
		m.startAttempt(now, nil)
	}
}
