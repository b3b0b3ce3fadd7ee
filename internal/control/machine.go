package control

import (
	"math/rand/v2"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// RecentCommands is how many commands a version remembers, so that a
	// resend gets the first outcome.
	RecentCommands = 64
	// MaxMembers is the largest control group.
	MaxMembers = 7
	// MaxPending bounds the proposals in progress on one host.
	MaxPending = 64
	// maxRefusals bounds the refusals that a host remembers for resends.
	maxRefusals = 256
)

// Timing holds the intervals of a Machine.
type Timing struct {
	Propose      time.Duration // bound on one proposal
	Resend       time.Duration // interval of repeated messages
	FirstBackoff time.Duration // pause after a refused ballot, doubled each time
	MaxBackoff   time.Duration
	Recover      time.Duration // age at which an undecided value is completed
	Admit        time.Duration // wait for the hosts that a group change needs
	Read         time.Duration // bound on one read
	Silence      time.Duration // without a report, after which a member may be replaced
}

// DefaultTiming returns the intervals for links of up to 100 ms one way.
func DefaultTiming() Timing {
	return Timing{
		Propose:      3 * time.Second,
		Resend:       250 * time.Millisecond,
		FirstBackoff: 20 * time.Millisecond,
		MaxBackoff:   500 * time.Millisecond,
		Recover:      2 * time.Second,
		Admit:        time.Second,
		Read:         800 * time.Millisecond,
		Silence:      1500 * time.Millisecond,
	}
}

// Config is the fixed part of a Machine.
type Config struct {
	Self        membership.Host
	Incarnation membership.Incarnation // makes ballots unique
	Peers       []membership.Host
	Bootstrap   []string // hosts that choose version 1
	State       State    // as loaded from the disk; without a Disk the host has none
	Relays      int      // hosts per failure domain that a chosen version is pushed to
	Seed        uint64   // of the random pauses and of the choice of relays
	Timing      Timing
	// GroupSize, where positive, lets a host with a disk ask by itself to be
	// admitted to a group that has fewer members, or in place of a silent one.
	GroupSize int
}

// Outgoing is a message to a host, possibly to the own one.
type Outgoing struct {
	To   string
	Body peer.Body
}

// Decision is the outcome of the proposal that Propose gave the ticket for.
type Decision struct {
	Ticket  uint64
	Outcome Outcome
}

// Ready is what follows from the inputs since the last call.
type Ready struct {
	Save      *State // to be made durable before the messages are sent
	Messages  []Outgoing
	Chosen    *peer.ConfigRecord // newly known, to be put in force
	Decisions []Decision
	Reads     []ReadResult
}

// Machine is the part of one host in agreeing on versions.
type Machine struct {
	cfg    Config
	state  State
	dirty  bool
	failed bool // the store failed: no votes until a restart
	rng    *rand.Rand

	pending  []*pending
	attempt  *attempt
	refusals map[string]refusal
	refused  []string // commands of refusals, oldest first
	tickets  uint64
	round    uint64 // highest seen
	failures int    // refused ballots since the last chosen version
	pauseTo  time.Time

	synced    map[string]bool // members that have the latest version on their disk
	ballot    peer.Ballot     // under which the latest version was chosen, when known
	decidedAt time.Time       // when the members were last told of it
	valueAt   time.Time       // when the undecided value was first seen by Tick
	fetchedAt time.Time
	pushed    uint64 // latest version that was pushed within the failure domain
	nonce     uint64 // of the newest query
	reads     []*read
	admission admission
	ready     Ready
}

// New returns a Machine that continues from cfg.State.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:      cfg,
		state:    cfg.State,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		refusals: make(map[string]refusal),
		synced:   make(map[string]bool),
	}
}

// Version returns the latest chosen version that is known.
func (m *Machine) Version() uint64 { return m.state.Version() }

// Record returns that version, or nil at version 0. It must not be changed.
func (m *Machine) Record() *peer.ConfigRecord { return m.state.Chosen }

// Disk returns the identity of the host's disk, or "".
func (m *Machine) Disk() string { return m.state.Disk }

// Voting reports whether the host takes part in choosing the next version.
func (m *Machine) Voting() bool {
	if m.failed || m.state.Disk == "" {
		return false
	}
	if m.state.Chosen == nil {
		return contains(m.cfg.Bootstrap, m.cfg.Self.Name)
	}
	return names(m.state.Chosen.Group, m.cfg.Self.Name, m.state.Disk)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// SetPeers replaces the hosts that chosen versions are pushed to.
func (m *Machine) SetPeers(peers []membership.Host) { m.cfg.Peers = peers }

// Ready returns and clears what is to be done.
func (m *Machine) Ready() Ready {
	r := m.ready
	if m.dirty && m.state.Disk != "" && !m.failed {
		s := m.state
		r.Save = &s
	}
	m.dirty = false
	m.ready = Ready{}
	return r
}

// StoreFailed stops the host's votes until it is restarted: what its disk
// holds is not known.
func (m *Machine) StoreFailed() { m.failed = true }

// Receive handles a message of a peer or of the own host.
func (m *Machine) Receive(now time.Time, from string, b peer.Body) {
	switch msg := b.(type) {
	case *peer.ControlPrepare:
		m.onPrepare(from, msg)
	case *peer.ControlAccept:
		m.onAccept(from, msg)
	case *peer.ControlPromise:
		m.onPromise(now, from, msg)
	case *peer.ControlAccepted:
		m.onAccepted(now, from, msg)
	case *peer.ControlDecided:
		m.onDecided(now, from, msg)
	case *peer.ControlChosen:
		m.onChosen(now, from, msg)
	case *peer.ControlFetch:
		m.onFetch(from, msg)
	case *peer.ControlReport:
		m.onReport(now, from, msg)
		m.onAnswer(now, from, msg)
	case *peer.ControlQuery:
		m.onQuery(from, msg)
	}
	m.advance(now)
}

// Tick advances time.
func (m *Machine) Tick(now time.Time) {
	m.tickRecovery(now)
	m.tickAttempt(now)
	m.tickReads(now)
	m.tickAdmission(now)
	m.advance(now)
}

func (m *Machine) send(to string, b peer.Body) {
	m.ready.Messages = append(m.ready.Messages, Outgoing{To: to, Body: b})
}

// sameValue reports whether two records of one version are the same choice.
func sameValue(a, b *peer.ConfigRecord) bool {
	x, y := a.Command(), b.Command()
	return a.Version == b.Version && x == y
}

// learn records a version that is certainly chosen.
func (m *Machine) learn(now time.Time, r *peer.ConfigRecord) {
	if r.Version == m.Version() && m.state.Chosen != nil {
		invariant.Check(sameValue(r, m.state.Chosen), "two values of configuration version %d: commands %q and %q",
			r.Version, r.Command().Command, m.state.Chosen.Command().Command)
	}
	if r.Version <= m.Version() {
		return
	}
	m.state.choose(r)
	m.dirty = true
	m.attempt = nil
	m.failures = 0
	m.pauseTo = time.Time{}
	m.ballot = peer.Ballot{}
	m.valueAt = time.Time{}
	m.decidedAt = now
	clear(m.synced)
	m.ready.Chosen = r
	if m.Voting() {
		m.report(m.cfg.Self.Name)
	}
}
