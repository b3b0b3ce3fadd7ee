package peer

import "cmp"

// Kinds of the messages by which control hosts agree on configuration versions and
// distribute them to all hosts.
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

// IsControl reports whether k is one of the KindControl kinds.
func IsControl(k Kind) bool { return k >= KindControlPrepare && k <= KindControlQuery }

// Ballot orders the attempts to choose one configuration version (a Paxos ballot
// number). The zero value is lower than the ballot of any attempt.
type Ballot struct {
	Round    uint64 `msgpack:"r"`
	Proposer string `msgpack:"p"` // unique: incarnation of the proposing host
}

// Compare returns -1, 0 or 1 if b is lower than, equal to or higher than o.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Proposer, o.Proposer))
}

// ControlMember is a member of the control group: a control host and the identity of
// its disk.
type ControlMember struct {
	Host string `msgpack:"h"`
	Disk string `msgpack:"d"`
}

// CommandRecord identifies the operator's command that created a configuration
// version.
type CommandRecord struct {
	Command  string `msgpack:"c"`
	Operator string `msgpack:"o"`
	Version  uint64 `msgpack:"v"`
	Digest   uint64 `msgpack:"d"` // hash of the command's content
}

// ConfigRecord is the value of one configuration version. It is immutable.
type ConfigRecord struct {
	Version  uint64          `msgpack:"v"`
	Document []byte          `msgpack:"d"` // compressed; see control.Document
	Group    []ControlMember `msgpack:"g"` // control group that chooses the next version
	Recent   []CommandRecord `msgpack:"r"` // oldest first; the last one is this version's
}

// Command returns the record of the command that created this version, or the zero
// value if no command is recorded.
func (r *ConfigRecord) Command() CommandRecord {
	if len(r.Recent) == 0 {
		return CommandRecord{}
	}
	return r.Recent[len(r.Recent)-1]
}

// ControlPrepare starts an attempt to choose a version (phase one). The receiver
// answers with a ControlPromise.
type ControlPrepare struct {
	Version   uint64   `msgpack:"v"`
	Ballot    Ballot   `msgpack:"b"`
	Bootstrap []string `msgpack:"o,omitempty"` // for version 1: the hosts that choose it
}

// ControlPromise is the answer to a ControlPrepare.
type ControlPromise struct {
	Version  uint64          `msgpack:"v"`
	Ballot   Ballot          `msgpack:"b"` // of the ControlPrepare
	Disk     string          `msgpack:"d"`
	Refused  bool            `msgpack:"f"`           // the sender has promised a higher ballot
	Promised Ballot          `msgpack:"p"`           // that higher ballot, if refused
	Accepted Ballot          `msgpack:"a"`           // ballot of Value
	Value    *ConfigRecord   `msgpack:"w,omitempty"` // value that the sender has accepted; nil: none
	Spares   []ControlMember `msgpack:"s,omitempty"` // for version 1: other hosts with a disk that can become members
	NewDisk  bool            `msgpack:"n,omitempty"` // for version 1: Disk is not the one of the host's first start, so an earlier disk's acceptance may be lost
}

// ControlAccept asks the receiver to accept a value (phase two). The receiver answers
// with a ControlAccepted.
type ControlAccept struct {
	Version uint64        `msgpack:"v"`
	Ballot  Ballot        `msgpack:"b"`
	Value   *ConfigRecord `msgpack:"w"`
}

// ControlAccepted is the answer to a ControlAccept.
type ControlAccepted struct {
	Version  uint64 `msgpack:"v"`
	Ballot   Ballot `msgpack:"b"`
	Disk     string `msgpack:"d"`
	Refused  bool   `msgpack:"f"` // the sender has promised a higher ballot
	Promised Ballot `msgpack:"p"` // that higher ballot, if refused
}

// ControlDecided notifies a control host that the value proposed with a ballot is
// chosen.
type ControlDecided struct {
	Version uint64 `msgpack:"v"`
	Ballot  Ballot `msgpack:"b"`
}

// ControlChosen carries a chosen configuration version.
type ControlChosen struct {
	Record *ConfigRecord `msgpack:"r"`
	Relay  bool          `msgpack:"y"` // the receiver relays the message to the hosts of its failure domain
}

// ControlFetch requests the latest chosen version, if it is newer than the sender's.
type ControlFetch struct {
	Version uint64 `msgpack:"v"` // newest version of the sender
}

// ControlReport reports the identity of the sender's disk and the newest version
// that is synced to it.
type ControlReport struct {
	Disk        string `msgpack:"d"`
	Version     uint64 `msgpack:"v"`
	StoreFailed bool   `msgpack:"f"`           // the sender's store has failed, so it does not vote
	Nonce       uint64 `msgpack:"n,omitempty"` // copied from the ControlQuery that this report answers; 0: none
	Pending     bool   `msgpack:"u,omitempty"` // the sender has accepted a value for the next version, which may be chosen already
	// Bootstrap lists the hosts that choose version 1, while the sender knows no version.
	Bootstrap []string `msgpack:"b,omitempty"`
}

// ControlQuery requests a ControlReport from a control host.
type ControlQuery struct {
	Nonce   uint64 `msgpack:"n"`
	Version uint64 `msgpack:"v"` // newest version of the sender
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
