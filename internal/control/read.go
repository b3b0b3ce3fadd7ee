package control

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// ReadResult is the outcome of the read that Read gave the ticket for.
type ReadResult struct {
	Ticket  uint64
	Certain bool // Version was the newest at some moment since the read began
	Version uint64
}

// read waits until a majority of the group reports the version that is known
// here as its newest, without a value that may be the next one.
type read struct {
	ticket  uint64
	nonce   uint64
	until   time.Time
	resend  time.Time
	current map[string]string // member to disk, of those that agreed
}

// readResend is the interval of a read's queries: a value in progress takes
// about two syncs of a slow disk.
const readResend = 60 * time.Millisecond

// Read starts to find out whether the known version is the newest. Its outcome
// follows in Ready.Reads under the returned ticket, within Timing.Read and a
// tick.
func (m *Machine) Read(now time.Time) (ticket uint64) {
	m.tickets++
	r := &read{ticket: m.tickets, until: now.Add(m.cfg.Timing.Read)}
	m.reads = append(m.reads, r)
	m.query(now, r)
	return r.ticket
}

// query asks the whole group again, under a new nonce: an answer counts only
// when it was given after the question.
func (m *Machine) query(now time.Time, r *read) {
	m.nonce++
	r.nonce = m.nonce
	r.resend = now.Add(readResend)
	r.current = make(map[string]string)
	for _, host := range m.acceptors() {
		m.send(host, &peer.ControlQuery{Nonce: r.nonce, Version: m.Version()})
	}
}

func (m *Machine) onQuery(from string, q *peer.ControlQuery) {
	if q.Version < m.Version() {
		m.send(from, &peer.ControlChosen{Record: m.state.Chosen})
	}
	m.send(from, &peer.ControlReport{
		Disk: m.state.Disk, Version: m.Version(), Failed: m.failed, Nonce: q.Nonce, Pending: m.state.Value != nil,
	})
}

// onAnswer counts a report towards the read that asked for it.
func (m *Machine) onAnswer(now time.Time, from string, r *peer.ControlReport) {
	if r.Nonce == 0 {
		return
	}
	m.admission.heard(now, from, r.Disk)
	if r.Version != m.Version() || r.Failed || r.Pending || m.state.Chosen == nil {
		return
	}
	open := m.reads[:0]
	for _, x := range m.reads {
		if x.nonce == r.Nonce {
			x.current[from] = r.Disk
		}
		if m.agreed(x) {
			m.ready.Reads = append(m.ready.Reads, ReadResult{Ticket: x.ticket, Certain: true, Version: m.Version()})
			continue
		}
		open = append(open, x)
	}
	m.reads = open
}

// agreed reports whether a majority of the current group has answered.
func (m *Machine) agreed(r *read) bool {
	n := 0
	for _, g := range m.state.Chosen.Group {
		if r.current[g.Host] == g.Disk {
			n++
		}
	}
	return n >= majority(len(m.state.Chosen.Group))
}

// tickReads repeats the queries of open reads and gives up late ones. A value
// in progress that keeps them waiting is completed by its proposer, or later by
// tickRecovery.
func (m *Machine) tickReads(now time.Time) {
	open := m.reads[:0]
	for _, r := range m.reads {
		if !now.Before(r.until) {
			m.ready.Reads = append(m.ready.Reads, ReadResult{Ticket: r.ticket, Version: m.Version()})
			continue
		}
		if !now.Before(r.resend) {
			m.query(now, r)
		}
		open = append(open, r)
	}
	m.reads = open
}
