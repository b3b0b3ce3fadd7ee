package control

import (
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

// A bootstrap host that has lost its disk is told by a proposer that it is one. Without its
// promise no version 1 can be chosen.
func TestReplacedBootstrapHostTakesPart(t *testing.T) {
	m := newMachine(State{Disk: "a2"})
	m.cfg.Bootstrap = nil
	prepare := &peer.ControlPrepare{Version: 1, Ballot: peer.Ballot{Round: 1, Proposer: "p"}, Bootstrap: []string{"b", "c"}}
	m.Receive(startTime, "b", prepare)
	must.False(t, m.Voting())
	prepare.Bootstrap = []string{"a", "b", "c"}
	m.Receive(startTime, "b", prepare)
	r := m.Ready()
	must.Eq(t, "a2", lastMessage[*peer.ControlPromise](t, r).Disk)
	must.Eq(t, prepare.Bootstrap, r.Save.Bootstrap)
}

// firstVersion returns a machine of a group that is to have 5 members, with version 1
// accepted by all three hosts that choose it. The spare hosts have reported their disks.
func firstVersion(t *testing.T, spares ...string) (m *Machine, value *peer.ConfigRecord) {
	t.Helper()
	m = newMachine(State{Disk: "a1"})
	m.cfg.GroupSize = 5
	for _, host := range spares {
		m.Receive(startTime, host, &peer.ControlReport{Disk: host + "1"})
	}
	ballot := propose(t, m, Proposal{Command: "x"})
	for _, g := range groupABC {
		m.Receive(startTime, g.Host, &peer.ControlPromise{Version: 1, Ballot: ballot, Disk: g.Disk})
	}
	value = lastMessage[*peer.ControlAccept](t, m.Ready()).Value
	for i, g := range groupABC {
		must.Eq(t, uint64(0), m.Version(), must.Sprintf("chosen with %d acceptances: two lost disks could be all of them", i))
		m.Receive(startTime, g.Host, &peer.ControlAccepted{Version: 1, Ballot: ballot, Disk: g.Disk})
	}
	must.Eq(t, uint64(1), m.Version())
	return m, value
}

// Version 1 names spare hosts as members, so that the group tolerates its losses from the
// beginning. It is reported as accepted when every host that chooses version 1 has it.
func TestFirstGroupIsFull(t *testing.T) {
	m, value := firstVersion(t, "e", "d")
	must.Eq(t, append(append([]peer.ControlMember(nil), groupABC...), peer.ControlMember{Host: "d", Disk: "d1"}, peer.ControlMember{Host: "e", Disk: "e1"}), value.Group)
	for _, host := range []string{"a", "d", "e", "b"} {
		m.Receive(startTime, host, &peer.ControlReport{Disk: host + "1", Version: 1})
		must.SliceEmpty(t, m.Ready().Decisions)
	}
	m.Receive(startTime, "c", &peer.ControlReport{Disk: "c1", Version: 1})
	must.Eq(t, result.OK, m.Ready().Decisions[0].Outcome.Code)
}

// While the group is smaller than it has to be, nothing is reported as accepted: two lost
// disks of three would be its majority. Hosts that don't join in time count as lost.
func TestAcceptedOutcomeWaitsForTheFullGroup(t *testing.T) {
	m, _ := firstVersion(t)
	for _, g := range groupABC {
		m.Receive(startTime, g.Host, &peer.ControlReport{Disk: g.Disk, Version: 1})
	}
	must.SliceEmpty(t, m.Ready().Decisions)
	must.False(t, m.Settled(startTime))
	m.Tick(startTime.Add(DefaultTiming().MemberTimeout))
	must.Eq(t, result.OK, m.Ready().Decisions[0].Outcome.Code)
}

// A value of version 1 that names lost disks is proposed again with their replacements, which
// could not accept it otherwise.
func TestUndecidedFirstVersionGetsPresentDisks(t *testing.T) {
	m := newMachine(State{Disk: "a1"})
	ballot := propose(t, m, Proposal{Command: "x"})
	for host, disk := range map[string]string{"a": "a1", "b": "b2", "c": "c2"} {
		p := &peer.ControlPromise{Version: 1, Ballot: ballot, Disk: disk}
		if host == "a" {
			p.Accepted, p.Value = peer.Ballot{Round: 1, Proposer: "earlier"}, newRecord(1, "y", groupABC)
		}
		m.Receive(startTime, host, p)
	}
	value := lastMessage[*peer.ControlAccept](t, m.Ready()).Value
	must.Eq(t, "y", value.Command().Command)
	must.Eq(t, []peer.ControlMember{{Host: "a", Disk: "a1"}, {Host: "b", Disk: "b2"}, {Host: "c", Disk: "c2"}}, value.Group)
}
