package peer

import "cmp"

// Kinds of the messages by which hosts agree on configuration versions and
// spread them.
const (
	KindControlPrepare Kind = iota + 48
	KindControlPromise
	KindControlAccept
	KindControlAccepted
	KindControlDecided
	KindControlChosen
	KindControlFetch
	KindControlReport
	KindControlQuery
)

// IsControl reports whether a message is about agreeing on configuration
// versions.
func IsControl(k Kind) bool { return k >= KindControlPrepare && k <= KindControlQuery }

// Ballot orders the attempts to choose one version. The zero value is lower
// than every attempt.
type Ballot struct {
	Round    uint64 `msgpack:"r"`
	Proposer string `msgpack:"p"` // incarnation of the proposing host: unique
}

// Compare returns -1, 0 or 1.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Proposer, o.Proposer))
}

// ControlMember is a control host with the identity of its disk.
type ControlMember struct {
	Host string `msgpack:"h"`
	Disk string `msgpack:"d"`
}

// CommandRecord names the operator's command that a version was chosen for.
type CommandRecord struct {
	Command  string `msgpack:"c"`
	Operator string `msgpack:"o"`
	Version  uint64 `msgpack:"v"`
	Digest   uint64 `msgpack:"d"` // of the command's content
}

// ConfigRecord is the value of one configuration version. It is never changed
// after its creation.
type ConfigRecord struct {
	Version  uint64          `msgpack:"v"`
	Document []byte          `msgpack:"d"` // compressed; see control.Document
	Group    []ControlMember `msgpack:"g"` // who chooses the next version
	Recent   []CommandRecord `msgpack:"r"` // oldest first; the last one is this version's
}

// Command returns the record of the version's own command.
func (r *ConfigRecord) Command() CommandRecord {
	if len(r.Recent) == 0 {
		return CommandRecord{}
	}
	return r.Recent[len(r.Recent)-1]
}

// ControlPrepare opens an attempt (phase one).
type ControlPrepare struct {
	Version uint64 `msgpack:"v"`
	Ballot  Ballot `msgpack:"b"`
}

// ControlPromise answers a prepare.
type ControlPromise struct {
	Version  uint64        `msgpack:"v"`
	Ballot   Ballot        `msgpack:"b"` // of the prepare
	Disk     string        `msgpack:"d"`
	Refused  bool          `msgpack:"f"`           // a higher ballot was promised
	Promised Ballot        `msgpack:"p"`           // that ballot, when refused
	Accepted Ballot        `msgpack:"a"`           // of Value
	Value    *ConfigRecord `msgpack:"w,omitempty"` // accepted before, or nil
}

// ControlAccept asks to accept a value (phase two).
type ControlAccept struct {
	Version uint64        `msgpack:"v"`
	Ballot  Ballot        `msgpack:"b"`
	Value   *ConfigRecord `msgpack:"w"`
}

// ControlAccepted answers an accept.
type ControlAccepted struct {
	Version  uint64 `msgpack:"v"`
	Ballot   Ballot `msgpack:"b"`
	Disk     string `msgpack:"d"`
	Refused  bool   `msgpack:"f"`
	Promised Ballot `msgpack:"p"`
}

// ControlDecided tells a control host that the value of a ballot is chosen.
type ControlDecided struct {
	Version uint64 `msgpack:"v"`
	Ballot  Ballot `msgpack:"b"`
}

// ControlChosen carries a chosen version.
type ControlChosen struct {
	Record *ConfigRecord `msgpack:"r"`
	Relay  bool          `msgpack:"y"` // pass it on within the failure domain
}

// ControlFetch asks for the latest chosen version, when it is newer.
type ControlFetch struct {
	Version uint64 `msgpack:"v"` // the asker's version
}

// ControlReport tells the sender's disk and the version it has synced.
type ControlReport struct {
	Disk    string `msgpack:"d"`
	Version uint64 `msgpack:"v"`
	Failed  bool   `msgpack:"f"`           // its store failed; it does not vote
	Nonce   uint64 `msgpack:"n,omitempty"` // of the query that it answers
	Pending bool   `msgpack:"u,omitempty"` // it accepted a value for the next version, which may be chosen
}

// ControlQuery asks a control host for a report.
type ControlQuery struct {
	Nonce   uint64 `msgpack:"n"`
	Version uint64 `msgpack:"v"` // the asker's version
}

// Kind implements Body.
func (*ControlPrepare) Kind() Kind { return KindControlPrepare }

// Kind implements Body.
func (*ControlPromise) Kind() Kind { return KindControlPromise }

// Kind implements Body.
func (*ControlAccept) Kind() Kind { return KindControlAccept }

// Kind implements Body.
func (*ControlAccepted) Kind() Kind { return KindControlAccepted }

// Kind implements Body.
func (*ControlDecided) Kind() Kind { return KindControlDecided }

// Kind implements Body.
func (*ControlChosen) Kind() Kind { return KindControlChosen }

// Kind implements Body.
func (*ControlFetch) Kind() Kind { return KindControlFetch }

// Kind implements Body.
func (*ControlReport) Kind() Kind { return KindControlReport }

// Kind implements Body.
func (*ControlQuery) Kind() Kind { return KindControlQuery }
