package control

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// ReadResult is the outcome of a read. Ticket is the value that Machine.Read
// returned for it.
type ReadResult struct {
	Ticket   uint64
	Verified bool // a majority confirmed that Version was the newest at some time since the read began
	Version  uint64
	Detail   string // if not verified: what each control host has answered
}

// pendingRead is a read in progress. It completes when a majority of the group
// has reported, in answer to queries of this read, this host's latest version as
// theirs and no accepted value that may become the next version. The answers may be
// of different times: if a newer version had been chosen before the read began, one
// host of any majority would have accepted it by then, and would not report so at any
// time since.
type pendingRead struct {
	ticket    uint64
	nonce     uint64 // of all queries of this read, and of no others of this process
	version   uint64 // latest version when upToDate was begun
	deadline  time.Time
	resendAt  time.Time
	resendGap time.Duration
	upToDate  map[string]string              // disk by host name, of the hosts that reported version
	reports   map[string]*peer.ControlReport // latest answer of each host
}

const (
	// firstReadResend is the interval after which a read is repeated at the hosts that have
	// not confirmed the version: an undecided value delays a read until it is chosen, which
	// takes about two syncs of a slow disk. The interval doubles, so that hosts that are slow
	// to answer don't get ever more queries.
	firstReadResend = 60 * time.Millisecond
	maxReadResend   = 250 * time.Millisecond
)

// Read starts a read, which determines whether the latest known version is the
// newest one. Its result is delivered in Ready.Reads with the returned ticket,
// after at most Timing.ReadTimeout and one tick.
func (m *Machine) Read(now time.Time) (ticket uint64) {
	m.lastTicket++
	m.lastNonce++
	r := &pendingRead{
		ticket: m.lastTicket, nonce: m.lastNonce, deadline: now.Add(m.cfg.Timing.ReadTimeout), resendGap: firstReadResend,
		reports: make(map[string]*peer.ControlReport),
	}
	m.reads = append(m.reads, r)
	m.sendQueries(now, r)
	return r.ticket
}

// sendQueries queries the members of the group that have not confirmed the latest
// version.
func (m *Machine) sendQueries(now time.Time, r *pendingRead) {
	r.resendAt = now.Add(r.resendGap)
	r.resendGap = min(2*r.resendGap, maxReadResend)
	m.restartOutdated(r)
	for _, host := range m.acceptors() {
		if _, confirmed := r.upToDate[host]; !confirmed {
			m.send(host, &peer.ControlQuery{Nonce: r.nonce, Version: m.Version()})
		}
	}
}

// restartOutdated discards the answers that confirmed an earlier version.
func (m *Machine) restartOutdated(r *pendingRead) {
	if r.upToDate == nil || r.version != m.Version() {
		r.version, r.upToDate = m.Version(), make(map[string]string)
	}
}

func (m *Machine) onQuery(from string, q *peer.ControlQuery) {
	if q.Version < m.Version() {
		m.send(from, &peer.ControlChosen{Record: m.state.Chosen})
	}
	m.send(from, &peer.ControlReport{
		Disk: m.state.Disk, Version: m.Version(), StoreFailed: m.storeFailed, Nonce: q.Nonce, Pending: m.state.Value != nil,
	})
}

// onQueryAnswer counts a report that answers a query of a read or of
// tickAdmission.
func (m *Machine) onQueryAnswer(now time.Time, from string, r *peer.ControlReport) {
	if r.Nonce == 0 {
		return
	}
	m.admission.recordReport(now, from, r.Disk)
	for _, x := range m.reads {
		if x.nonce == r.Nonce {
			x.reports[from] = r
		}
	}
	if r.Version != m.Version() || r.StoreFailed || r.Pending || m.state.Chosen == nil {
		return
	}
	remaining := m.reads[:0]
	for _, x := range m.reads {
		if x.nonce == r.Nonce {
			m.restartOutdated(x)
			x.upToDate[from] = r.Disk
		}
		if x.version == m.Version() && m.hasMajority(x) {
			m.ready.Reads = append(m.ready.Reads, ReadResult{Ticket: x.ticket, Verified: true, Version: m.Version()})
			continue
		}
		remaining = append(remaining, x)
	}
	m.reads = remaining
}

// hasMajority reports whether a majority of the current group has confirmed that
// this host's version is the latest.
func (m *Machine) hasMajority(r *pendingRead) bool {
	n := 0
	for _, g := range m.state.Chosen.Group {
		if r.upToDate[g.Host] == g.Disk {
			n++
		}
	}
	return n >= majority(len(m.state.Chosen.Group))
}

// tickReads sends the queries of pending reads again and ends those past their
// deadline as not verified. An undecided value that delays a read is completed
// by its proposer or, after Timing.RecoveryDelay and a random delay, by
// tickRecovery.
func (m *Machine) tickReads(now time.Time) {
	remaining := m.reads[:0]
	for _, r := range m.reads {
		if !now.Before(r.deadline) {
			detail := m.describeAcceptors(func(host string) string { return m.describeReport(host, r.reports[host]) })
			m.ready.Reads = append(m.ready.Reads, ReadResult{Ticket: r.ticket, Version: m.Version(), Detail: detail})
			continue
		}
		if !now.Before(r.resendAt) {
			m.sendQueries(now, r)
		}
		remaining = append(remaining, r)
	}
	m.reads = remaining
}
