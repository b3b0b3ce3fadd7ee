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
// reports this host's latest version as theirs and has no accepted value that
// may become the next version.
type pendingRead struct {
	ticket   uint64
	nonce    uint64
	deadline time.Time
	resendAt time.Time
	upToDate map[string]string              // disk by host name, of the hosts that reported the same latest version
	reports  map[string]*peer.ControlReport // latest answer of each host, to any query of the read
}

// readResendInterval is the interval between the queries of a read. An undecided
// value delays a read until it is chosen, which takes about two syncs of a slow
// disk.
const readResendInterval = 60 * time.Millisecond

// Read starts a read, which determines whether the latest known version is the
// newest one. Its result is delivered in Ready.Reads with the returned ticket,
// after at most Timing.ReadTimeout and one tick.
func (m *Machine) Read(now time.Time) (ticket uint64) {
	m.lastTicket++
	r := &pendingRead{ticket: m.lastTicket, deadline: now.Add(m.cfg.Timing.ReadTimeout), reports: make(map[string]*peer.ControlReport)}
	m.reads = append(m.reads, r)
	m.sendQueries(now, r)
	return r.ticket
}

// sendQueries queries the whole group with a new nonce and discards earlier
// answers. The nonce makes sure that only answers to these queries count.
func (m *Machine) sendQueries(now time.Time, r *pendingRead) {
	m.lastNonce++
	r.nonce = m.lastNonce
	r.resendAt = now.Add(readResendInterval)
	r.upToDate = make(map[string]string)
	for _, host := range m.acceptors() {
		m.send(host, &peer.ControlQuery{Nonce: r.nonce, Version: m.Version()})
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
			x.upToDate[from] = r.Disk
		}
		if m.hasMajority(x) {
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
