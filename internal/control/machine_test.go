package control

import (
	"strings"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

var (
	startTime = time.Unix(1000, 0)
	groupABC  = []peer.ControlMember{{Host: "a", Disk: "a1"}, {Host: "b", Disk: "b1"}, {Host: "c", Disk: "c1"}}
)

// newMachine returns a machine for host a with the given state.
func newMachine(s State) *Machine {
	return New(Config{
		Self: membership.Host{Name: "a"}, Incarnation: "a#1", Bootstrap: []string{"a", "b", "c"},
		State: s, Timing: DefaultTiming(),
	})
}

func newRecord(version uint64, command string, group []peer.ControlMember) *peer.ConfigRecord {
	return &peer.ConfigRecord{Version: version, Group: group, Recent: []peer.CommandRecord{{Command: command, Version: version}}}
}

// stateAtVersion returns the state of host a with the given latest version.
func stateAtVersion(v uint64) State { return State{Disk: "a1", Chosen: newRecord(v, "base", groupABC)} }

// lastMessage returns the body of the last message of a Ready. The test fails if
// there is none or it has another type.
func lastMessage[T peer.Body](t *testing.T, r Ready) T {
	t.Helper()
	must.SliceNotEmpty(t, r.Messages)
	b, ok := r.Messages[len(r.Messages)-1].Body.(T)
	must.True(t, ok, must.Sprintf("got %T", r.Messages[len(r.Messages)-1].Body))
	return b
}

// A promise is saved in the same Ready that sends it, and a restarted host keeps it:
// it refuses a lower ballot.
func TestPromiseSurvivesRestart(t *testing.T) {
	m := newMachine(stateAtVersion(4))
	high, low := peer.Ballot{Round: 2, Proposer: "p"}, peer.Ballot{Round: 1, Proposer: "q"}
	m.Receive(startTime, "b", &peer.ControlPrepare{Version: 5, Ballot: high})
	r := m.Ready()
	must.False(t, lastMessage[*peer.ControlPromise](t, r).Refused)
	must.NotNil(t, r.Save)
	m = newMachine(*r.Save)
	m.Receive(startTime, "b", &peer.ControlAccept{Version: 5, Ballot: low, Value: newRecord(5, "late", groupABC)})
	r = m.Ready()
	must.True(t, lastMessage[*peer.ControlAccepted](t, r).Refused)
	must.Nil(t, r.Save)
}

// No earlier version lists the bootstrap hosts' disks: a host accepts only a
// version 1 that lists its disk.
func TestFirstVersionMustNameTheDisk(t *testing.T) {
	m := newMachine(State{Disk: "a2"})
	b := peer.Ballot{Round: 1, Proposer: "p"}
	m.Receive(startTime, "b", &peer.ControlAccept{Version: 1, Ballot: b, Value: newRecord(1, "x", groupABC)})
	r := m.Ready()
	lastMessage[*peer.ControlReport](t, r)
	must.Nil(t, r.Save)
}

// A host that is behind does not vote, because its group may be outdated.
func TestHostThatIsBehindDoesNotVote(t *testing.T) {
	m := newMachine(stateAtVersion(4))
	m.Receive(startTime, "b", &peer.ControlPrepare{Version: 6, Ballot: peer.Ballot{Round: 1, Proposer: "p"}})
	must.Eq(t, uint64(4), lastMessage[*peer.ControlReport](t, m.Ready()).Version)
}

// propose starts a proposal and returns the ballot that it sends.
func propose(t *testing.T, m *Machine, p Proposal) peer.Ballot {
	t.Helper()
	m.Propose(startTime, p)
	return lastMessage[*peer.ControlPrepare](t, m.Ready()).Ballot
}

// Promises and acceptances for an earlier ballot don't count for the current one.
func TestAnswersToAnOldBallotDoNotCount(t *testing.T) {
	m := newMachine(stateAtVersion(4))
	first := propose(t, m, Proposal{Command: "x", Base: 4})
	m.Receive(startTime, "b", &peer.ControlPromise{Version: 5, Ballot: first, Disk: "b1", Refused: true, Promised: peer.Ballot{Round: 9}})
	later := startTime.Add(time.Second)
	m.Tick(later)
	second := lastMessage[*peer.ControlPrepare](t, m.Ready()).Ballot
	must.Eq(t, 1, second.Compare(peer.Ballot{Round: 9, Proposer: "z"}))
	for _, ballot := range []peer.Ballot{first, second} {
		for _, g := range groupABC[1:] {
			m.Receive(later, g.Host, &peer.ControlPromise{Version: 5, Ballot: ballot, Disk: g.Disk})
		}
		if ballot == first {
			must.SliceEmpty(t, m.Ready().Messages)
		}
	}
	lastMessage[*peer.ControlAccept](t, m.Ready())
	for _, g := range groupABC {
		m.Receive(later, g.Host, &peer.ControlAccepted{Version: 5, Ballot: first, Disk: g.Disk})
	}
	must.Eq(t, uint64(4), m.Version())
	for _, g := range groupABC[1:] {
		m.Receive(later, g.Host, &peer.ControlAccepted{Version: 5, Ballot: second, Disk: g.Disk})
	}
	must.Eq(t, uint64(5), m.Version())
}

// A group change that adds a host requires the host's report with the listed disk,
// the latest version and a working store.
func TestAddedHostMustBeUpToDate(t *testing.T) {
	groupABCD := append(append([]peer.ControlMember(nil), groupABC...), peer.ControlMember{Host: "d", Disk: "d1"})
	cases := []struct {
		name   string
		report *peer.ControlReport
		want   result.Code // OK: the value is sent to the acceptors
	}{
		{"no report", nil, result.PlanRefused},
		{"another disk", &peer.ControlReport{Disk: "d2", Version: 4}, result.PlanRefused},
		{"behind", &peer.ControlReport{Disk: "d1", Version: 3}, result.PlanRefused},
		{"failed store", &peer.ControlReport{Disk: "d1", Version: 4, StoreFailed: true}, result.PlanRefused},
		{"up to date", &peer.ControlReport{Disk: "d1", Version: 4}, result.OK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(stateAtVersion(4))
			ballot := propose(t, m, Proposal{Command: "x", Base: 4, Group: groupABCD})
			if c.report != nil {
				m.Receive(startTime, "d", c.report)
			}
			for _, g := range groupABC {
				m.Receive(startTime, g.Host, &peer.ControlPromise{Version: 5, Ballot: ballot, Disk: g.Disk})
			}
			m.Tick(startTime.Add(DefaultTiming().GroupChangeTimeout))
			r := m.Ready()
			if c.want == result.OK {
				lastMessage[*peer.ControlAccept](t, r)
				return
			}
			must.SliceLen(t, 1, r.Decisions)
			must.Eq(t, c.want, r.Decisions[0].Outcome.Code)
		})
	}
}

// If a majority has reported failed stores, the outcome is StoreUnavailable and not
// NoMajority, which unreachable hosts cause.
func TestFailedStoresAreReportedAsStoreUnavailable(t *testing.T) {
	m := newMachine(stateAtVersion(4))
	propose(t, m, Proposal{Command: "x", Base: 4})
	for _, g := range groupABC[1:] {
		m.Receive(startTime, g.Host, &peer.ControlReport{Disk: g.Disk, Version: 4, StoreFailed: true})
	}
	m.Tick(startTime.Add(DefaultTiming().ProposeTimeout))
	must.Eq(t, result.StoreUnavailable, m.Ready().Decisions[0].Outcome.Code)
}

// A command identity that was already used for another change is refused.
func TestReusedCommandIdentityIsRefused(t *testing.T) {
	m := newMachine(stateAtVersion(4))
	m.Propose(startTime, Proposal{Command: "base", Base: 4, Document: []byte("other")})
	must.Eq(t, result.PlanRefused, m.Ready().Decisions[0].Outcome.Code)
}

// A host that missed hundreds of versions fetches only the latest, once.
func TestLaggingHostCatchesUpWithOneFetch(t *testing.T) {
	m := newMachine(stateAtVersion(4))
	m.ObserveVersion(startTime, "b", 400)
	m.ObserveVersion(startTime, "c", 400) // while the first fetch is unanswered
	r := m.Ready()
	must.SliceLen(t, 1, r.Messages)
	lastMessage[*peer.ControlFetch](t, r)
	m.Receive(startTime, "b", &peer.ControlChosen{Record: newRecord(400, "x", groupABC)})
	r = m.Ready()
	must.Eq(t, uint64(400), r.Save.Version())
	must.Eq(t, uint64(400), r.Chosen.Version)
	m.ObserveVersion(startTime.Add(time.Minute), "c", 400)
	must.SliceEmpty(t, m.Ready().Messages)
}

func TestDocumentDecompressesARecord(t *testing.T) {
	r := newRecord(1, "c", groupABC)
	text := strings.Repeat("document ", 1000)
	r.Document = compress([]byte(text))
	must.Less(t, 200, len(r.Document))
	got, err := Document(r)
	must.NoError(t, err)
	must.Eq(t, text, string(got))
	r.Document = r.Document[:len(r.Document)/2]
	_, err = Document(r)
	must.Error(t, err)
}

// A version lists at most RecentCommands commands, the newest ones.
func TestRecentCommandsAreBounded(t *testing.T) {
	r := newRecord(1, "c", groupABC)
	for v := uint64(2); v < 3*RecentCommands; v++ {
		r = &peer.ConfigRecord{Version: v, Recent: appendRecent(r, peer.CommandRecord{Version: v})}
	}
	must.SliceLen(t, RecentCommands, r.Recent)
	must.Eq(t, r.Version, r.Command().Version)
	must.Eq(t, r.Version-RecentCommands+1, r.Recent[0].Version)
}

// A read or a change without a majority says what each control host has answered, so that
// a log tells an unreachable host from one that does not vote.
func TestMissingMajorityNamesTheAnswers(t *testing.T) {
	for _, c := range []struct {
		report peer.ControlReport
		want   string
	}{
		{peer.ControlReport{Disk: "b1", Version: 4, StoreFailed: true}, "b: its disk refuses writes"},
		{peer.ControlReport{Disk: "new", Version: 4}, `b: disk "new" is not in the group`},
		{peer.ControlReport{Disk: "b1", Version: 3}, "b: has version 3"},
		{peer.ControlReport{Disk: "b1", Version: 4, Pending: true}, "b: a change is undecided"},
	} {
		m := newMachine(stateAtVersion(4))
		m.Read(startTime)
		c.report.Nonce = lastMessage[*peer.ControlQuery](t, m.Ready()).Nonce
		m.Receive(startTime, "b", &c.report)
		m.Tick(startTime.Add(DefaultTiming().ReadTimeout))
		r := m.Ready().Reads
		must.SliceLen(t, 1, r)
		must.False(t, r[0].Verified)
		must.Eq(t, "a: no answer, "+c.want+", c: no answer", r[0].Detail)
	}
	m := newMachine(stateAtVersion(4))
	ballot := propose(t, m, Proposal{Command: "x", Base: 4})
	m.Receive(startTime, "b", &peer.ControlPromise{Version: 5, Ballot: ballot, Disk: "b1"})
	m.Tick(startTime.Add(DefaultTiming().ProposeTimeout))
	must.StrContains(t, m.Ready().Decisions[0].Outcome.Detail, "(a: no answer, b: promised, c: no answer)")
}

// A read is answered although each answer takes longer than the interval between its
// queries: discarding the answers to earlier queries would fail every read then.
func TestReadCountsSlowAnswers(t *testing.T) {
	const answerTime, tick = 200 * time.Millisecond, 20 * time.Millisecond // one-way latency of 100 ms
	m := newMachine(stateAtVersion(4))
	m.Read(startTime)
	answers := make(map[time.Duration][]uint64) // nonces by the time at which host b answers
	for at := time.Duration(0); at <= DefaultTiming().ReadTimeout; at += tick {
		m.Tick(startTime.Add(at))
		for _, nonce := range answers[at] {
			for _, g := range groupABC[:2] {
				m.Receive(startTime.Add(at), g.Host, &peer.ControlReport{Disk: g.Disk, Version: 4, Nonce: nonce})
			}
		}
		r := m.Ready()
		if len(r.Reads) > 0 {
			must.True(t, r.Reads[0].Verified)
			must.Less(t, 2*answerTime, at)
			return
		}
		for _, x := range r.Messages {
			if q, ok := x.Body.(*peer.ControlQuery); ok && x.To == "b" {
				answers[at+answerTime] = append(answers[at+answerTime], q.Nonce)
			}
		}
	}
	t.Fatal("the read has no result")
}

// An answer that confirmed an earlier version does not count for the version that the
// host has learned since.
func TestReadStartsAnewWithANewVersion(t *testing.T) {
	m := newMachine(stateAtVersion(4))
	m.Read(startTime)
	nonce := lastMessage[*peer.ControlQuery](t, m.Ready()).Nonce
	m.Receive(startTime, "b", &peer.ControlReport{Disk: "b1", Version: 4, Nonce: nonce})
	m.Receive(startTime, "c", &peer.ControlChosen{Record: newRecord(5, "x", groupABC)})
	m.Receive(startTime, "c", &peer.ControlReport{Disk: "c1", Version: 5, Nonce: nonce})
	must.SliceEmpty(t, m.Ready().Reads)
	m.Receive(startTime, "b", &peer.ControlReport{Disk: "b1", Version: 5, Nonce: nonce})
	must.SliceLen(t, 1, m.Ready().Reads)
}

// A host does not replace a member that votes while as many disks of the group are lost as
// it tolerates: if the new disk were lost before the change is completed, the group would
// have no majority for good.
func TestReplacementNeedsAMajorityWithoutTheNewMember(t *testing.T) {
	groupABD := []peer.ControlMember{{Host: "a", Disk: "a1"}, {Host: "b", Disk: "b1"}, {Host: "d", Disk: "d1"}}
	for name, c := range map[string]struct {
		promises []peer.ControlMember
		want     bool
	}{
		"the replaced member votes, another is lost":  {[]peer.ControlMember{groupABC[0], groupABC[2]}, false},
		"the replaced member is lost":                 {groupABC[:2], true},
		"the replaced member votes, no other is lost": {groupABC, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMachine(stateAtVersion(4))
			ballot := propose(t, m, Proposal{Command: "x", Base: 4, Group: groupABD})
			m.Receive(startTime, "d", &peer.ControlReport{Disk: "d1", Version: 4})
			for _, g := range c.promises {
				m.Receive(startTime, g.Host, &peer.ControlPromise{Version: 5, Ballot: ballot, Disk: g.Disk})
			}
			m.Tick(startTime.Add(DefaultTiming().GroupChangeTimeout))
			r := m.Ready()
			if c.want {
				lastMessage[*peer.ControlAccept](t, r)
				return
			}
			must.SliceLen(t, 1, r.Decisions)
			must.Eq(t, result.PlanRefused, r.Decisions[0].Outcome.Code)
		})
	}
}

// An answer to a query of an earlier process of the host does not count for a read: it
// describes a time before the read began.
func TestReadIgnoresAnswersToAnEarlierProcess(t *testing.T) {
	read := func(seed uint64) (m *Machine, nonce uint64) {
		m = New(Config{Self: membership.Host{Name: "a"}, State: stateAtVersion(4), Seed: seed, Timing: DefaultTiming()})
		m.Read(startTime)
		return m, lastMessage[*peer.ControlQuery](t, m.Ready()).Nonce
	}
	_, earlier := read(1)
	m, nonce := read(2)
	for _, n := range []uint64{earlier, nonce} {
		must.SliceEmpty(t, m.Ready().Reads)
		for _, g := range groupABC[1:] {
			m.Receive(startTime, g.Host, &peer.ControlReport{Disk: g.Disk, Version: 4, Nonce: n})
		}
	}
	must.SliceLen(t, 1, m.Ready().Reads)
}

// A host with an undecided value does not confirm a read: the value may be chosen already.
func TestReadWaitsForAnUndecidedValue(t *testing.T) {
	m := newMachine(stateAtVersion(4))
	m.Read(startTime)
	nonce := lastMessage[*peer.ControlQuery](t, m.Ready()).Nonce
	m.Receive(startTime, "b", &peer.ControlReport{Disk: "b1", Version: 4, Nonce: nonce, Pending: true})
	m.Receive(startTime, "c", &peer.ControlReport{Disk: "c1", Version: 4, Nonce: nonce})
	must.SliceEmpty(t, m.Ready().Reads)
	m.Receive(startTime, "b", &peer.ControlReport{Disk: "b1", Version: 4, Nonce: nonce})
	must.SliceLen(t, 1, m.Ready().Reads)
}

// Of several accepted values among the promises, the one under the highest ballot is
// proposed: only that one can have been chosen.
func TestProposerAdoptsTheHighestAcceptedValue(t *testing.T) {
	older, newer := peer.Ballot{Round: 1, Proposer: "p"}, peer.Ballot{Round: 2, Proposer: "q"}
	accepted := map[string]*peer.ControlPromise{
		"b": {Accepted: older, Value: newRecord(5, "older", groupABC)},
		"c": {Accepted: newer, Value: newRecord(5, "newer", groupABC)},
	}
	for _, order := range [][]string{{"b", "c"}, {"c", "b"}} {
		m := newMachine(stateAtVersion(4))
		ballot := propose(t, m, Proposal{Command: "own", Base: 4})
		for _, host := range order {
			p := *accepted[host]
			p.Version, p.Ballot, p.Disk = 5, ballot, host+"1"
			m.Receive(startTime, host, &p)
		}
		must.Eq(t, "newer", lastMessage[*peer.ControlAccept](t, m.Ready()).Value.Command().Command)
	}
}
