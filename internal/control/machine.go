package control

import (
	"math/rand/v2"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// RecentCommands is the number of commands that a version lists, so that a
	// command that is sent again gets its original outcome.
	RecentCommands = 64
	// MaxMembers is the maximum number of members of the control group.
	MaxMembers = 7
	// MaxPending is the maximum number of undecided proposals on one host.
	MaxPending = 64
	// maxRefusals is the maximum number of refused commands whose outcome a
	// host keeps, for commands that are sent again.
	maxRefusals = 256
)

// Timing holds the timeouts and intervals of a Machine.
type Timing struct {
	ProposeTimeout     time.Duration // time limit for a proposal
	ResendInterval     time.Duration // interval at which unanswered messages are sent again
	FirstBackoff       time.Duration // delay after a refused ballot, doubled each time up to MaxBackoff
	MaxBackoff         time.Duration
	RecoveryDelay      time.Duration // time after which a host completes an undecided value that it accepted
	GroupChangeTimeout time.Duration // time limit for reports and promises from the hosts that a group change needs
	ReadTimeout        time.Duration // time limit for a read
	MemberTimeout      time.Duration // time without a report after which a member may be replaced
	SaveRetryInterval  time.Duration // delay after a failed write of the state until it is written again
}

// DefaultTiming returns values for links with a one-way latency of up to 100 ms.
func DefaultTiming() Timing {
	return Timing{
		ProposeTimeout:     3 * time.Second,
		ResendInterval:     250 * time.Millisecond,
		FirstBackoff:       20 * time.Millisecond,
		MaxBackoff:         500 * time.Millisecond,
		RecoveryDelay:      2 * time.Second,
		GroupChangeTimeout: time.Second,
		ReadTimeout:        800 * time.Millisecond,
		MemberTimeout:      1500 * time.Millisecond,
		SaveRetryInterval:  250 * time.Millisecond,
	}
}

// Config configures a Machine.
type Config struct {
	Self            membership.Host
	Incarnation     membership.Incarnation // makes ballots unique
	Peers           []membership.Host      // hosts that chosen versions are pushed to
	Bootstrap       []string               // control hosts that choose version 1; nil: not known, as the host is new or has lost its disk
	Contacts        []string               // control hosts that are asked for the bootstrap hosts if those are not known
	State           State                  // loaded from disk; an empty Disk means that the host has no disk
	Unsaved         bool                   // State could not be written to the disk yet
	RelaysPerDomain int                    // hosts of each other failure domain that a chosen version is pushed to
	Seed            uint64                 // seeds the random delays and the choice of relays
	Timing          Timing
	// GroupSize, if positive, lets a host with a disk propose itself as a
	// member if the group has fewer members or a member stopped reporting.
	GroupSize int
}

// OutgoingMessage is a message to a host, possibly to the sending host itself.
type OutgoingMessage struct {
	To   string
	Body peer.Body
}

// Decision is the outcome of a proposal. Ticket is the value that Propose
// returned for it.
type Decision struct {
	Ticket  uint64
	Outcome Outcome
}

// Ready holds the work that resulted from the inputs since the previous call of
// Machine.Ready.
type Ready struct {
	Save      *State // must be durable before the messages are sent; nil: no change to save
	Messages  []OutgoingMessage
	Chosen    *peer.ConfigRecord // newly learned version to apply; nil: none
	Decisions []Decision
	Reads     []ReadResult
}

// Machine implements the proposer, acceptor and learner of one host.
type Machine struct {
	cfg          Config
	state        State
	stateChanged bool // since the previous Ready
	storeFailed  bool // the latest write of the state failed; the host doesn't vote until one succeeds
	saveRetryAt  time.Time
	saveDue      bool // the state is to be written again after a failed write
	rng          *rand.Rand

	pending        []*pendingProposal
	attempt        *attempt
	refusals       map[string]refusal
	refusalOrder   []string // keys of refusals, oldest first
	lastTicket     uint64
	highestRound   uint64    // highest round seen in a ballot
	refusedBallots int       // since the latest version was learned
	backoffUntil   time.Time // earliest start of the next attempt; currently always zero

	synced        map[string]bool // members that have the latest version on their disk
	chosenBallot  peer.Ballot     // under which the latest version was chosen; zero if unknown
	decidedSentAt time.Time       // when the latest version was learned or last sent by sendDecided
	recoveryStart time.Time       // when Tick first saw the undecided value, plus a random delay
	fetchSentAt   time.Time       // last fetch sent because of a peer's version
	pushedVersion uint64          // latest version that was pushed within this host's failure domain
	lastNonce     uint64          // nonce of the most recent query
	reads         []*pendingRead
	admission     admission
	formation     formation
	ready         Ready
}

// nonceStream selects the random numbers of nonces, apart from those of delays.
const nonceStream = 1

// New returns a Machine that continues from cfg.State.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:         cfg,
		state:       cfg.State,
		storeFailed: cfg.Unsaved,
		rng:         rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		lastNonce:   rand.New(rand.NewPCG(cfg.Seed, nonceStream)).Uint64() >> 1, // answers to an earlier process of this host must match no query of this one
		refusals:    make(map[string]refusal),
		synced:      make(map[string]bool),
	}
}

// Version returns the latest chosen version that this host knows, or 0.
func (m *Machine) Version() uint64 { return m.state.Version() }

// Record returns the record of the latest known version, or nil at version 0.
// The caller must not modify it.
func (m *Machine) Record() *peer.ConfigRecord { return m.state.Chosen }

// Disk returns the identity of the host's disk, or "" if it has none.
func (m *Machine) Disk() string { return m.state.Disk }

// Voting reports whether the host is an acceptor for the next version.
func (m *Machine) Voting() bool {
	if m.storeFailed || m.state.Disk == "" {
		return false
	}
	if m.state.Chosen == nil {
		return contains(m.bootstrap(), m.cfg.Self.Name)
	}
	return isMember(m.state.Chosen.Group, m.cfg.Self.Name, m.state.Disk)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// SetPeers replaces the list of hosts that chosen versions are pushed to.
func (m *Machine) SetPeers(peers []membership.Host) { m.cfg.Peers = peers }

// Ready returns the work that resulted from the inputs and clears it. The
// package comment gives the order in which the caller must carry it out.
func (m *Machine) Ready() Ready {
	r := m.ready
	if m.state.Disk != "" && (m.saveDue || m.stateChanged && !m.storeFailed) {
		s := m.state
		r.Save = &s
	}
	m.stateChanged, m.saveDue = false, false
	m.ready = Ready{}
	return r
}

// StoreFailed records that a write of the state failed. The host does not vote
// until a later write succeeds, because the content of its disk is unknown. Ready
// returns the state again every Timing.SaveRetryInterval.
func (m *Machine) StoreFailed(now time.Time) {
	m.storeFailed = true
	m.saveRetryAt = now.Add(m.cfg.Timing.SaveRetryInterval)
}

// StoreRecovered records that a write of the state succeeded after a failed one.
// The disk then holds the whole state again, including votes that were not sent.
func (m *Machine) StoreRecovered() { m.storeFailed = false }

// HasStoreFailed reports whether the latest write of the state failed.
func (m *Machine) HasStoreFailed() bool { return m.storeFailed }

// Receive handles a message from a peer or from this host itself.
func (m *Machine) Receive(now time.Time, from string, b peer.Body) {
	m.observeMessage(now, from)
	switch msg := b.(type) {
	case *peer.ControlPrepare:
		m.onPrepare(now, from, msg)
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
		m.onQueryAnswer(now, from, msg)
	case *peer.ControlQuery:
		m.onQuery(from, msg)
	}
	m.advance(now)
}

// Tick handles expired timers. The caller calls it periodically.
func (m *Machine) Tick(now time.Time) {
	m.saveDue = m.saveDue || m.storeFailed && !now.Before(m.saveRetryAt)
	m.tickRecovery(now)
	m.tickAttempt(now)
	m.tickReads(now)
	m.tickAdmission(now)
	m.tickFormation(now)
	m.advance(now)
}

func (m *Machine) send(to string, b peer.Body) {
	m.ready.Messages = append(m.ready.Messages, OutgoingMessage{To: to, Body: b})
}

// sameValue reports whether two records have the same version and command.
func sameValue(a, b *peer.ConfigRecord) bool {
	x, y := a.Command(), b.Command()
	return a.Version == b.Version && x == y
}

// learn stores a chosen version as the latest one, if it is newer, and resets
// the state that belongs to the previous version.
func (m *Machine) learn(now time.Time, r *peer.ConfigRecord) {
	if r.Version == m.Version() && m.state.Chosen != nil {
		invariant.Check(sameValue(r, m.state.Chosen), "two values of configuration version %d: commands %q and %q",
			r.Version, r.Command().Command, m.state.Chosen.Command().Command)
	}
	if r.Version <= m.Version() {
		return
	}
	m.observeGroup(now, r)
	m.state.setChosen(r)
	m.stateChanged = true
	m.attempt = nil
	m.refusedBallots = 0
	m.backoffUntil = time.Time{}
	m.chosenBallot = peer.Ballot{}
	m.recoveryStart = time.Time{}
	m.decidedSentAt = now
	clear(m.synced)
	m.ready.Chosen = r
	if m.Voting() {
		m.sendReport(m.cfg.Self.Name)
	}
}
