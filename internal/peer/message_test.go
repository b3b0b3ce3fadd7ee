package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
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

// taggedHeartbeat has the struct tags of FleetHeartbeat, but not its methods.
type taggedHeartbeat FleetHeartbeat

// The encoding without reflection is that of the struct tags, and decodes to the same.
func TestHeartbeatCodecFollowsTheTags(t *testing.T) {
	full := FleetHeartbeat{
		From:          HostRecord{Name: "n", FailureDomain: "d", Region: "r", Incarnation: "i", Entry: true, Control: true, Tombstone: true},
		ConfigVersion: 1 << 40, ShuttingDown: true, ReadIndex: 7, ReadIncarnation: "o", Carries: 109, CellLayout: CellLayout{Cells: 2, Version: 1 << 50}, NextMS: 400, Clock: -5,
		Claims: []Claim{{Shard: 1, ShardCount: 3, LayoutVersion: 9, Token: 1 << 52, Load: PoolLoad{Capacity: 64_000, Free: -3, Queued: 1 << 33, MinionsDigest: 1 << 63}, Phase: ClaimFinished}, {ShardCount: 1}},
	}
	for _, h := range []FleetHeartbeat{{}, full} {
		tagged := taggedHeartbeat(h)
		var want bytes.Buffer
		e := msgpack.NewEncoder(&want)
		e.UseCompactInts(true)
		must.NoError(t, e.Encode(&tagged))
		got, err := Encode(&h)
		must.NoError(t, err)
		must.Eq(t, want.Bytes(), got[1:])
		b, err := Decode(got)
		must.NoError(t, err)
		must.Eq(t, Body(&h), b)
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	h := &FleetHeartbeat{From: HostRecord{Name: "10.1.0.13", FailureDomain: "a", Region: "r", Incarnation: "8c664f9e-3763-425d-99a6-083685c36707", Entry: true},
		Claims: []Claim{{Shard: 1, ShardCount: 3, LayoutVersion: 1 << 50, Token: 1 << 50, Load: PoolLoad{Capacity: 64_000, Free: 64_000}}}, NextMS: 200, Clock: 1 << 45}
	for b.Loop() {
		payload, err := Encode(h)
		must.NoError(b, err)
		_, err = Decode(payload)
		must.NoError(b, err)
	}
}
