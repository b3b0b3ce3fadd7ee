// Package peer defines the protocol between hosts: the message types, their
// msgpack encoding and their framing on a TCP stream. docs/PROTOCOL.md describes
// the protocol.
package peer

import (
	"bytes"
	"reflect"
	"strconv"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Version is the protocol version. Hosts reject connections from hosts with another
// version.
const Version = 1

// Kind identifies a message type. It is the first byte of an encoded message.
type Kind uint8

// Kinds of the messages that open connections and report hosts and minions.
const (
	KindHello Kind = iota + 1
	KindHeartbeat
	KindMinionUpdate
	KindMinionLeave
	KindMinionQuery
)

// Body is a message of any type.
type Body interface{ Kind() Kind }

// String returns the name of the message type.
func (k Kind) String() string {
	b, err := newBody(k)
	if err != nil {
		return "unknown kind " + strconv.Itoa(int(k))
	}
	return reflect.TypeOf(b).Elem().Name()
}

// Encoded is a message that was encoded once, to be sent to several hosts.
type Encoded struct {
	kind    Kind
	payload []byte
}

// Kind implements Body.
func (e *Encoded) Kind() Kind { return e.kind }

// EncodeOnce returns b in encoded form.
func EncodeOnce(b Body) (*Encoded, error) {
	payload, err := Encode(b)
	if err != nil {
		return nil, err
	}
	return &Encoded{b.Kind(), payload}, nil
}

// Hello is the first message on each connection. The host that dialed sends it to
// identify itself.
type Hello struct {
	Version       int                    `msgpack:"v"`
	Host          string                 `msgpack:"h"`
	FailureDomain string                 `msgpack:"d"`
	Incarnation   membership.Incarnation `msgpack:"i"`
}

// Heartbeat is sent at a fixed interval to every configured peer. (Hosts that discover
// each other send a FleetHeartbeat instead.) It carries the sender's state and echoes
// the receiver's last heartbeat, so that the receiver can measure the round-trip time.
// Leases, Demand, InUse, Ejected and Lent are set only for receivers in the sender's
// failure domain.
type Heartbeat struct {
	SentAt        time.Duration `msgpack:"t"` // on the sender's monotonic clock
	EchoSentAt    time.Duration `msgpack:"e"` // SentAt of the receiver's last heartbeat; 0: none received
	EchoHeld      time.Duration `msgpack:"o"` // time from the arrival of that heartbeat until this one was sent
	ConfigVersion uint64        `msgpack:"c"` // version of the applied configuration
	Leases        []MinionLease `msgpack:"l,omitempty"`
	RefusesWork   bool          `msgpack:"s,omitempty"` // the sender accepts no new work: it is drained or shutting down
	Demand        int           `msgpack:"d,omitempty"` // smoothed number of tasks of the sender's small jobs; with engine.SlotsLeased: all its tasks, queued or in progress
	InUse         int           `msgpack:"u,omitempty"` // tasks of the sender in progress on the failure domain's minions
	Ejected       []string      `msgpack:"j,omitempty"` // names of ejected minions, if the sender is the dispatching host
	Lent          int           `msgpack:"n,omitempty"` // slots that the sender lends to the receiver
}

// MinionLease is the lease of a minion that announced itself to the sender of the
// heartbeat. The receiver renews its copy of the lease.
type MinionLease struct {
	Name       string        `msgpack:"n"`
	Generation uint64        `msgpack:"g"`
	Remaining  time.Duration `msgpack:"r"` // when the heartbeat was sent
}

// MinionUpdate relays a minion's announcement to the other hosts of its failure domain.
type MinionUpdate struct {
	Minion    minion.Announcement `msgpack:"m"`
	Remaining time.Duration       `msgpack:"r"` // of the minion's lease, when the message was sent
	SentAt    time.Duration       `msgpack:"t"` // on the sender's monotonic clock
}

// MinionLeave reports to the other hosts of the failure domain that a minion is leaving.
type MinionLeave struct {
	Name       string `msgpack:"n"`
	Generation uint64 `msgpack:"g"`
}

// MinionQuery requests a MinionUpdate for each of the named minions.
type MinionQuery struct {
	Names []string `msgpack:"n"`
}

// Kind implements Body.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Body.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Body.
func (*MinionUpdate) Kind() Kind { return KindMinionUpdate }

// Kind implements Body.
func (*MinionLeave) Kind() Kind { return KindMinionLeave }

// Kind implements Body.
func (*MinionQuery) Kind() Kind { return KindMinionQuery }

// bodies maps each kind to a function that returns an empty message of the kind.
var bodies = map[Kind]func() Body{
	KindHello:        func() Body { return &Hello{} },
	KindHeartbeat:    func() Body { return &Heartbeat{} },
	KindMinionUpdate: func() Body { return &MinionUpdate{} },
	KindMinionLeave:  func() Body { return &MinionLeave{} },
	KindMinionQuery:  func() Body { return &MinionQuery{} },
	KindLocate:       func() Body { return &Locate{} },
	KindLocateReply:  func() Body { return &LocateReply{} },
	KindAttach:       func() Body { return &Attach{} },
	KindJobAnswer:    func() Body { return &JobAnswer{} },
	KindForward:      func() Body { return &Forward{} },

	KindFleetHeartbeat: func() Body { return &FleetHeartbeat{} },
	KindRosterUpdate:   func() Body { return &RosterUpdate{} },
	KindJobOffer:       func() Body { return &JobOffer{} },
	KindJobAck:         func() Body { return &JobAck{} },
	KindJobResult:      func() Body { return &JobResult{} },
	KindJobResultAck:   func() Body { return &JobResultAck{} },
	KindJobCancel:      func() Body { return &JobCancel{} },

	KindControlPrepare:  func() Body { return &ControlPrepare{} },
	KindControlPromise:  func() Body { return &ControlPromise{} },
	KindControlAccept:   func() Body { return &ControlAccept{} },
	KindControlAccepted: func() Body { return &ControlAccepted{} },
	KindControlDecided:  func() Body { return &ControlDecided{} },
	KindControlChosen:   func() Body { return &ControlChosen{} },
	KindControlFetch:    func() Body { return &ControlFetch{} },
	KindControlReport:   func() Body { return &ControlReport{} },
	KindControlQuery:    func() Body { return &ControlQuery{} },
}

func newBody(k Kind) (Body, error) {
	if f, ok := bodies[k]; ok {
		return f(), nil
	}
	return nil, errors.Errorf("peer: unknown message kind %d", k)
}

// Encode returns the frame payload for b: the kind in one byte, followed by the
// msgpack encoding of b.
func Encode(b Body) ([]byte, error) {
	if e, ok := b.(*Encoded); ok {
		return e.payload, nil
	}
	var frame bytes.Buffer
	frame.WriteByte(byte(b.Kind()))
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&frame)
	e.UseCompactInts(true)
	if err := e.Encode(b); err != nil {
		return nil, errors.Wrapf(err, "peer: encode kind %d", b.Kind())
	}
	return frame.Bytes(), nil
}

// Decode decodes a frame payload that Encode returned. It returns an error if the
// payload is empty, its kind is unknown, its msgpack encoding is invalid or a number in it
// is beyond its bounds.
func Decode(payload []byte) (Body, error) {
	if len(payload) == 0 {
		return nil, errors.New("peer: empty frame")
	}
	b, err := newBody(Kind(payload[0]))
	if err != nil {
		return nil, err
	}
	if err := msgpack.Unmarshal(payload[1:], b); err != nil {
		return nil, errors.Wrapf(err, "peer: decode kind %d", payload[0])
	}
	if c, ok := b.(checkedBody); ok {
		if err := c.check(); err != nil {
			return nil, errors.WithMessagef(err, "peer: message of type %v", b.Kind())
		}
	}
	return b, nil
}
