package control

import (
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// State is the durable state of a host. Promised, Accepted and Value belong to
// the version after Chosen.
type State struct {
	Disk     string             `msgpack:"d"` // identity of the disk; empty: the host has no disk
	Chosen   *peer.ConfigRecord `msgpack:"c"` // latest known version; nil: version 0
	Promised peer.Ballot        `msgpack:"p"` // highest ballot promised
	Accepted peer.Ballot        `msgpack:"a"` // ballot under which Value was accepted
	Value    *peer.ConfigRecord `msgpack:"v"` // last accepted value; nil: none
	// Bootstrap lists the hosts that choose version 1, if another host named them.
	Bootstrap []string `msgpack:"b,omitempty"`
}

// Version returns the latest known version, or 0.
func (s *State) Version() uint64 {
	if s.Chosen == nil {
		return 0
	}
	return s.Chosen.Version
}

// setChosen replaces the latest version and clears the votes, which were cast on
// the successor of the previous one.
func (s *State) setChosen(r *peer.ConfigRecord) {
	s.Chosen = r
	s.Promised = peer.Ballot{}
	s.Accepted = peer.Ballot{}
	s.Value = nil
}

// majority returns the smallest integer greater than n/2.
func majority(n int) int { return n/2 + 1 }

// diskOf returns the disk that the group lists for a host, or "".
func diskOf(group []peer.ControlMember, host string) string {
	i := slices.IndexFunc(group, func(m peer.ControlMember) bool { return m.Host == host })
	if i < 0 {
		return ""
	}
	return group[i].Disk
}

// isMember reports whether the group lists the host with the given disk.
func isMember(group []peer.ControlMember, host, disk string) bool {
	return disk != "" && diskOf(group, host) == disk
}

// findCommand returns the entry of a command in the record's recent commands.
func findCommand(r *peer.ConfigRecord, command string) (peer.CommandRecord, bool) {
	if r == nil {
		return peer.CommandRecord{}, false
	}
	i := slices.IndexFunc(r.Recent, func(c peer.CommandRecord) bool { return c.Command == command })
	if i < 0 {
		return peer.CommandRecord{}, false
	}
	return r.Recent[i], true
}

// operatorOf returns the operator whose change became the given version, or ""
// if the version is not among the recent commands.
func operatorOf(r *peer.ConfigRecord, version uint64) string {
	if r == nil {
		return ""
	}
	i := slices.IndexFunc(r.Recent, func(c peer.CommandRecord) bool { return c.Version == version })
	if i < 0 {
		return ""
	}
	return r.Recent[i].Operator
}

// appendRecent returns the record's recent commands with c appended. It drops the
// oldest ones to keep at most RecentCommands.
func appendRecent(r *peer.ConfigRecord, c peer.CommandRecord) []peer.CommandRecord {
	var recent []peer.CommandRecord
	if r != nil {
		recent = r.Recent
	}
	if len(recent) >= RecentCommands {
		recent = recent[len(recent)-RecentCommands+1:]
	}
	return append(slices.Clone(recent), c)
}
