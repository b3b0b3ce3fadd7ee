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
	start = time.Unix(1000, 0)
	abc   = []peer.ControlMember{{Host: "a", Disk: "a1"}, {Host: "b", Disk: "b1"}, {Host: "c", Disk: "c1"}}
)

// newMachine returns the machine of host a with the given state.
func newMachine(s State) *Machine {
	return New(Config{
		Self: membership.Host{Name: "a"}, Incarnation: "a#1", Bootstrap: []string{"a", "b", "c"},
		State: s, Timing: DefaultTiming(),
	})
}

func record(version uint64, command string, group []peer.ControlMember) *peer.ConfigRecord {
	return &peer.ConfigRecord{Version: version, Group: group, Recent: []peer.CommandRecord{{Command: command, Version: version}}}
}

func atVersion(v uint64) State { return State{Disk: "a1", Chosen: record(v, "base", abc)} }

// last returns the last message of a Ready, which must exist.
func last[T peer.Body](t *testing.T, r Ready) T {
	t.Helper()
	must.SliceNotEmpty(t, r.Messages)
	b, ok := r.Messages[len(r.Messages)-1].Body.(T)
	must.True(t, ok, must.Sprintf("got %T", r.Messages[len(r.Messages)-1].Body))
	return b
}

// A promise is saved in the same Ready that carries it, and holds afterwards.
func TestPromiseSurvivesRestart(t *testing.T) {
	m := newMachine(atVersion(4))
	high, low := peer.Ballot{Round: 2, Proposer: "p"}, peer.Ballot{Round: 1, Proposer: "q"}
	m.Receive(start, "b", &peer.ControlPrepare{Version: 5, Ballot: high})
	r := m.Ready()
	must.False(t, last[*peer.ControlPromise](t, r).Refused)
	must.NotNil(t, r.Save)
	m = newMachine(*r.Save)
	m.Receive(start, "b", &peer.ControlAccept{Version: 5, Ballot: low, Value: record(5, "late", abc)})
	r = m.Ready()
	must.True(t, last[*peer.ControlAccepted](t, r).Refused)
	must.Nil(t, r.Save)
}

// The disks of version 0 are not agreed on: a disk accepts only a first
// version that names it.
func TestFirstVersionMustNameTheDisk(t *testing.T) {
	m := newMachine(State{Disk: "a2"})
	b := peer.Ballot{Round: 1, Proposer: "p"}
	m.Receive(start, "b", &peer.ControlAccept{Version: 1, Ballot: b, Value: record(1, "x", abc)})
	r := m.Ready()
	last[*peer.ControlReport](t, r)
	must.Nil(t, r.Save)
}

// A host that is behind does not vote: its group may be out of date.
func TestHostThatIsBehindDoesNotVote(t *testing.T) {
	m := newMachine(atVersion(4))
	m.Receive(start, "b", &peer.ControlPrepare{Version: 6, Ballot: peer.Ballot{Round: 1, Proposer: "p"}})
	must.Eq(t, uint64(4), last[*peer.ControlReport](t, m.Ready()).Version)
}

// propose starts a proposal at version 4 and returns its ballot.
func propose(t *testing.T, m *Machine, p Proposal) peer.Ballot {
	t.Helper()
	m.Propose(start, p)
	return last[*peer.ControlPrepare](t, m.Ready()).Ballot
}

// Answers to an earlier ballot do not count for the present one.
func TestAnswersToAnOldBallotDoNotCount(t *testing.T) {
	m := newMachine(atVersion(4))
	first := propose(t, m, Proposal{Command: "x", Base: 4})
	m.Receive(start, "b", &peer.ControlPromise{Version: 5, Ballot: first, Disk: "b1", Refused: true, Promised: peer.Ballot{Round: 9}})
	later := start.Add(time.Second)
	m.Tick(later)
	second := last[*peer.ControlPrepare](t, m.Ready()).Ballot
	must.Eq(t, 1, second.Compare(peer.Ballot{Round: 9, Proposer: "z"}))
	for _, ballot := range []peer.Ballot{first, second} {
		for _, g := range abc[1:] {
			m.Receive(later, g.Host, &peer.ControlPromise{Version: 5, Ballot: ballot, Disk: g.Disk})
		}
		if ballot == first {
			must.SliceEmpty(t, m.Ready().Messages)
		}
	}
	last[*peer.ControlAccept](t, m.Ready())
	for _, g := range abc {
		m.Receive(later, g.Host, &peer.ControlAccepted{Version: 5, Ballot: first, Disk: g.Disk})
	}
	must.Eq(t, uint64(4), m.Version())
	for _, g := range abc[1:] {
		m.Receive(later, g.Host, &peer.ControlAccepted{Version: 5, Ballot: second, Disk: g.Disk})
	}
	must.Eq(t, uint64(5), m.Version())
}

// A host that is added must have reported its disk and the latest version.
func TestAddedHostMustBeUpToDate(t *testing.T) {
	grown := append(append([]peer.ControlMember(nil), abc...), peer.ControlMember{Host: "d", Disk: "d1"})
	cases := []struct {
		name   string
		report *peer.ControlReport
		want   result.Code // 0: the change goes on
	}{
		{"silent", nil, result.PlanRefused},
		{"another disk", &peer.ControlReport{Disk: "d2", Version: 4}, result.PlanRefused},
		{"behind", &peer.ControlReport{Disk: "d1", Version: 3}, result.PlanRefused},
		{"failed store", &peer.ControlReport{Disk: "d1", Version: 4, Failed: true}, result.PlanRefused},
		{"up to date", &peer.ControlReport{Disk: "d1", Version: 4}, result.OK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(atVersion(4))
			ballot := propose(t, m, Proposal{Command: "x", Base: 4, Group: grown})
			if c.report != nil {
				m.Receive(start, "d", c.report)
			}
			for _, g := range abc {
				m.Receive(start, g.Host, &peer.ControlPromise{Version: 5, Ballot: ballot, Disk: g.Disk})
			}
			m.Tick(start.Add(DefaultTiming().Admit))
			r := m.Ready()
			if c.want == result.OK {
				last[*peer.ControlAccept](t, r)
				return
			}
			must.SliceLen(t, 1, r.Decisions)
			must.Eq(t, c.want, r.Decisions[0].Outcome.Code)
		})
	}
}

// Failed stores are told apart from a cut.
func TestFailedStoresAreNamed(t *testing.T) {
	m := newMachine(atVersion(4))
	propose(t, m, Proposal{Command: "x", Base: 4})
	for _, g := range abc[1:] {
		m.Receive(start, g.Host, &peer.ControlReport{Disk: g.Disk, Version: 4, Failed: true})
	}
	m.Tick(start.Add(DefaultTiming().Propose))
	must.Eq(t, result.StoreUnavailable, m.Ready().Decisions[0].Outcome.Code)
}

// A command identity that was used for another change is refused.
func TestCommandIdentityOfAnotherChange(t *testing.T) {
	m := newMachine(atVersion(4))
	m.Propose(start, Proposal{Command: "base", Base: 4, Document: []byte("other")})
	must.Eq(t, result.PlanRefused, m.Ready().Decisions[0].Outcome.Code)
}

// A host that slept through hundreds of versions fetches one document.
func TestSleeperCatchesUpWithOneDocument(t *testing.T) {
	m := newMachine(atVersion(4))
	m.Hint(start, "b", 400)
	m.Hint(start, "c", 400) // while the first fetch is out
	r := m.Ready()
	must.SliceLen(t, 1, r.Messages)
	last[*peer.ControlFetch](t, r)
	m.Receive(start, "b", &peer.ControlChosen{Record: record(400, "x", abc)})
	r = m.Ready()
	must.Eq(t, uint64(400), r.Save.Version())
	must.Eq(t, uint64(400), r.Chosen.Version)
	m.Hint(start.Add(time.Minute), "c", 400)
	must.SliceEmpty(t, m.Ready().Messages)
}

func TestDocumentOfARecord(t *testing.T) {
	r := record(1, "c", abc)
	text := strings.Repeat("document ", 1000)
	r.Document = pack([]byte(text))
	must.Less(t, 200, len(r.Document))
	got, err := Document(r)
	must.NoError(t, err)
	must.Eq(t, text, string(got))
	r.Document = r.Document[:len(r.Document)/2]
	_, err = Document(r)
	must.Error(t, err)
}

// The recent commands are bounded, the newest kept.
func TestRecentCommandsAreBounded(t *testing.T) {
	r := record(1, "c", abc)
	for v := uint64(2); v < 3*RecentCommands; v++ {
		r = &peer.ConfigRecord{Version: v, Recent: appendRecent(r, peer.CommandRecord{Version: v})}
	}
	must.SliceLen(t, RecentCommands, r.Recent)
	must.Eq(t, r.Version, r.Command().Version)
	must.Eq(t, r.Version-RecentCommands+1, r.Recent[0].Version)
}
