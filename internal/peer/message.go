// Package peer is the protocol between hosts: message types, their msgpack
// encoding and the framing on a TCP stream. docs/PROTOCOL.md describes it.
package peer

import (
	"bytes"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Version is the protocol version; hosts of different versions reject each other.
const Version = 1

// Kind numbers the message types.
type Kind uint8

// Message kinds.
const (
	KindHello Kind = iota + 1
	KindHeartbeat
	KindMinionUpdate
	KindMinionLeave
	KindMinionQuery
)

// Body is a typed message.
type Body interface{ Kind() Kind }

// Hello is the first message on a connection, in both directions.
type Hello struct {
	Version       int                    `msgpack:"v"`
	Host          string                 `msgpack:"h"`
	FailureDomain string                 `msgpack:"d"`
	Incarnation   membership.Incarnation `msgpack:"i"`
}

// Heartbeat is sent at a fixed interval to every peer.
type Heartbeat struct {
	SentAt  time.Duration `msgpack:"t"` // sender's monotonic clock
	EchoAt  time.Duration `msgpack:"e"` // receiver's clock reading, returned
	Held    time.Duration `msgpack:"o"` // how long the sender kept it
	Config  uint64        `msgpack:"c"` // configuration version in force
	Leases  []MinionLease `msgpack:"l,omitempty"`
	Stopped bool          `msgpack:"s,omitempty"` // the sender takes no new work
	Demand  int           `msgpack:"d,omitempty"` // tasks of the sender's own small jobs in progress
	InUse   int           `msgpack:"u,omitempty"` // tasks that the sender has in progress on the domain's minions
	Ejected []string      `msgpack:"j,omitempty"` // minions that the dispatching host has ejected
	Lent    int           `msgpack:"n,omitempty"` // slots that the sender lends to the receiver
}

// MinionLease renews the lease of a minion that announced to the sender.
type MinionLease struct {
	Name       string        `msgpack:"n"`
	Generation uint64        `msgpack:"g"`
	Remaining  time.Duration `msgpack:"r"`
}

// MinionUpdate relays an announcement.
type MinionUpdate struct {
	Minion    minion.Announcement `msgpack:"m"`
	Remaining time.Duration       `msgpack:"r"`
	SentAt    time.Duration       `msgpack:"t"` // sender's monotonic clock
}

// MinionLeave relays a leave.
type MinionLeave struct {
	Name       string `msgpack:"n"`
	Generation uint64 `msgpack:"g"`
}

// MinionQuery asks for the full announcements of the named minions.
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

// bodies makes an empty message of each kind.
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

	KindBeat:         func() Body { return &Beat{} },
	KindRoster:       func() Body { return &Roster{} },
	KindJobOffer:     func() Body { return &JobOffer{} },
	KindJobAck:       func() Body { return &JobAck{} },
	KindJobResult:    func() Body { return &JobResult{} },
	KindJobResultAck: func() Body { return &JobResultAck{} },
	KindJobCancel:    func() Body { return &JobCancel{} },

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

// Encode returns the frame payload of b: one byte of kind and the msgpack body.
func Encode(b Body) ([]byte, error) {
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

// Decode is the inverse of Encode.
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
	return b, nil
}
