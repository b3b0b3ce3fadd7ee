package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestEncodeAndFrameRoundTrip(t *testing.T) {
	in := &Heartbeat{SentAt: time.Second, ConfigVersion: 7, Leases: []MinionLease{{Name: "m", Generation: 3, Remaining: time.Second}}}
	payload, err := Encode(in)
	must.NoError(t, err)
	var stream bytes.Buffer
	must.NoError(t, WriteFrame(&stream, payload))
	got, err := ReadFrame(&stream)
	must.NoError(t, err)
	out, err := Decode(got)
	must.NoError(t, err)
	must.Eq(t, Body(in), out)
}

func TestReadFrameRejectsOversizedLength(t *testing.T) {
	_, err := ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1}))
	must.ErrorContains(t, err, "exceeds")
}

// FuzzDecode decodes arbitrary payloads: Decode must not panic, and every message
// that it returns must be encodable.
func FuzzDecode(f *testing.F) {
	for _, b := range []Body{
		&Hello{Host: "a"}, &Heartbeat{}, &MinionUpdate{}, &MinionLeave{Name: "m"}, &MinionQuery{Names: []string{"m"}},
		&FleetHeartbeat{Claims: []Claim{{ShardCount: 1}}}, &JobOffer{ShardCount: 1, Steps: []TaskStep{{Count: 1}}}, &RosterUpdate{},
	} {
		payload, err := Encode(b)
		must.NoError(f, err)
		f.Add(payload)
		f.Add(payload[:len(payload)-1])
	}
	f.Add([]byte{})
	f.Add([]byte{byte(KindMinionQuery), 0x81, 0xa1, 'n', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, payload []byte) {
		b, err := Decode(payload)
		if err != nil {
			return
		}
		_, err = Encode(b)
		must.NoError(t, err)
	})
}
