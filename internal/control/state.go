package control

import (
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// State is what a host keeps on its disk. Promised, Accepted and Value belong
// to the version after Chosen.
type State struct {
	Disk     string             `msgpack:"d"` // identity of the disk; empty: no disk
	Chosen   *peer.ConfigRecord `msgpack:"c"` // latest known version; nil: version 0
	Promised peer.Ballot        `msgpack:"p"`
	Accepted peer.Ballot        `msgpack:"a"`
	Value    *peer.ConfigRecord `msgpack:"v"`
}

// Version returns the latest chosen version that is known.
func (s *State) Version() uint64 {
	if s.Chosen == nil {
		return 0
	}
	return s.Chosen.Version
}

// choose replaces the latest version and forgets the register it closes.
func (s *State) choose(r *peer.ConfigRecord) {
	s.Chosen = r
	s.Promised = peer.Ballot{}
	s.Accepted = peer.Ballot{}
	s.Value = nil
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }

// diskOf returns the disk under which the group names a host, or "".
func diskOf(group []peer.ControlMember, host string) string {
	i := slices.IndexFunc(group, func(m peer.ControlMember) bool { return m.Host == host })
	if i < 0 {
		return ""
	}
	return group[i].Disk
}

// names reports whether the group contains the host under the disk.
func names(group []peer.ControlMember, host, disk string) bool {
	return disk != "" && diskOf(group, host) == disk
}

// findCommand returns the record of a command among the recent ones.
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

// operatorOf returns whose change the version was, or "" when it is too old.
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

// appendRecent returns the recent commands with one more, at most RecentCommands.
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
