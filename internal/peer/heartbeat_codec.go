package peer

import (
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/vmihailenco/msgpack/v5"
)

// Heartbeats are most of the messages between hosts, so they are encoded and decoded without
// reflection. The encoding is that of the struct tags; keys that are not known are skipped.

// EncodeMsgpack implements msgpack.CustomEncoder.
func (h *FleetHeartbeat) EncodeMsgpack(e *msgpack.Encoder) error {
	w := fieldWriter{e: e}
	w.mapLen(6 + count(h.ShuttingDown) + count(len(h.Claims) > 0) + count(h.NextMS != 0) + count(h.Carries != 0))
	w.key("h")
	w.hostRecord(&h.From)
	w.uint("c", h.ConfigVersion)
	w.boolIfSet("l", h.ShuttingDown)
	if len(h.Claims) > 0 {
		w.key("m")
		w.do(e.EncodeArrayLen(len(h.Claims)))
		for i := range h.Claims {
			w.claim(&h.Claims[i])
		}
	}
	w.uint("g", h.ReadIndex)
	w.string("o", string(h.ReadIncarnation))
	if h.Carries != 0 {
		w.int("b", int64(h.Carries))
	}
	w.key("v")
	w.mapLen(2)
	w.int("c", int64(h.CellLayout.Cells))
	w.uint("a", h.CellLayout.Version)
	if h.NextMS != 0 {
		w.int("n", h.NextMS)
	}
	w.int("t", h.Clock)
	return w.err
}

// count returns 1 for true: the number of map entries of an optional field.
func count(set bool) int {
	if set {
		return 1
	}
	return 0
}

// fieldWriter writes the fields of a struct. After an error it writes nothing more.
type fieldWriter struct {
	e   *msgpack.Encoder
	err error
}

func (w *fieldWriter) do(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *fieldWriter) mapLen(n int) { w.do(w.e.EncodeMapLen(n)) }
func (w *fieldWriter) key(k string) { w.do(w.e.EncodeString(k)) }

func (w *fieldWriter) uint(k string, v uint64) {
	w.key(k)
	w.do(w.e.EncodeUint(v))
}

func (w *fieldWriter) int(k string, v int64) {
	w.key(k)
	w.do(w.e.EncodeInt(v))
}

func (w *fieldWriter) string(k, v string) {
	w.key(k)
	w.do(w.e.EncodeString(v))
}

func (w *fieldWriter) boolIfSet(k string, v bool) {
	if v {
		w.key(k)
		w.do(w.e.EncodeBool(true))
	}
}

func (w *fieldWriter) hostRecord(r *HostRecord) {
	w.mapLen(4 + count(r.Entry) + count(r.Control) + count(r.Tombstone))
	w.string("n", r.Name)
	w.string("d", r.FailureDomain)
	w.string("r", r.Region)
	w.string("i", string(r.Incarnation))
	w.boolIfSet("e", r.Entry)
	w.boolIfSet("c", r.Control)
	w.boolIfSet("x", r.Tombstone)
}

func (w *fieldWriter) claim(c *Claim) {
	w.mapLen(5 + count(c.Phase != 0))
	w.int("s", int64(c.Shard))
	w.int("o", int64(c.ShardCount))
	w.uint("l", c.LayoutVersion)
	w.uint("t", c.Token)
	w.key("p")
	w.mapLen(4 + count(c.Load.Overloaded))
	w.int("c", c.Load.Capacity)
	w.int("f", c.Load.Free)
	w.int("q", c.Load.Queued)
	w.uint("m", c.Load.MinionsDigest)
	w.boolIfSet("o", c.Load.Overloaded)
	if c.Phase != 0 {
		w.uint("w", uint64(c.Phase))
	}
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (h *FleetHeartbeat) DecodeMsgpack(d *msgpack.Decoder) error {
	return eachField(d, func(k string) (err error) {
		switch k {
		case "h":
			return h.From.decodeFields(d)
		case "c":
			h.ConfigVersion, err = d.DecodeUint64()
		case "l":
			h.ShuttingDown, err = d.DecodeBool()
		case "m":
			h.Claims, err = decodeClaims(d)
		case "g":
			h.ReadIndex, err = d.DecodeUint64()
		case "o":
			h.ReadIncarnation, err = decodeIncarnation(d)
		case "b":
			h.Carries, err = d.DecodeInt()
		case "v":
			return h.CellLayout.decodeFields(d)
		case "n":
			h.NextMS, err = d.DecodeInt64()
		case "t":
			h.Clock, err = d.DecodeInt64()
		default:
			err = d.Skip()
		}
		return err
	})
}

// eachField calls decode with the key of each entry of a map, to decode its value.
func eachField(d *msgpack.Decoder, decode func(key string) error) error {
	n, err := d.DecodeMapLen()
	if err != nil {
		return err
	}
	for range n {
		k, err := d.DecodeString()
		if err != nil {
			return err
		}
		if err := decode(k); err != nil {
			return err
		}
	}
	return nil
}

func decodeIncarnation(d *msgpack.Decoder) (membership.Incarnation, error) {
	s, err := d.DecodeString()
	return membership.Incarnation(s), err
}

func (r *HostRecord) decodeFields(d *msgpack.Decoder) error {
	return eachField(d, func(k string) (err error) {
		switch k {
		case "n":
			r.Name, err = d.DecodeString()
		case "d":
			r.FailureDomain, err = d.DecodeString()
		case "r":
			r.Region, err = d.DecodeString()
		case "i":
			r.Incarnation, err = decodeIncarnation(d)
		case "e":
			r.Entry, err = d.DecodeBool()
		case "c":
			r.Control, err = d.DecodeBool()
		case "x":
			r.Tombstone, err = d.DecodeBool()
		default:
			err = d.Skip()
		}
		return err
	})
}

func (l *CellLayout) decodeFields(d *msgpack.Decoder) error {
	return eachField(d, func(k string) (err error) {
		switch k {
		case "c":
			l.Cells, err = d.DecodeInt()
		case "a":
			l.Version, err = d.DecodeUint64()
		default:
			err = d.Skip()
		}
		return err
	})
}

func decodeClaims(d *msgpack.Decoder) ([]Claim, error) {
	n, err := d.DecodeArrayLen()
	if err != nil || n <= 0 {
		return nil, err
	}
	var claims []Claim // grows as claims arrive, not by the announced length
	for range n {
		var c Claim
		if err := c.decodeFields(d); err != nil {
			return nil, err
		}
		claims = append(claims, c)
	}
	return claims, nil
}

func (c *Claim) decodeFields(d *msgpack.Decoder) error {
	return eachField(d, func(k string) (err error) {
		switch k {
		case "s":
			c.Shard, err = d.DecodeInt()
		case "o":
			c.ShardCount, err = d.DecodeInt()
		case "l":
			c.LayoutVersion, err = d.DecodeUint64()
		case "t":
			c.Token, err = d.DecodeUint64()
		case "p":
			return c.Load.decodeFields(d)
		case "w":
			var p uint8
			p, err = d.DecodeUint8()
			c.Phase = ClaimPhase(p)
		default:
			err = d.Skip()
		}
		return err
	})
}

func (l *PoolLoad) decodeFields(d *msgpack.Decoder) error {
	return eachField(d, func(k string) (err error) {
		switch k {
		case "c":
			l.Capacity, err = d.DecodeInt64()
		case "f":
			l.Free, err = d.DecodeInt64()
		case "q":
			l.Queued, err = d.DecodeInt64()
		case "m":
			l.MinionsDigest, err = d.DecodeUint64()
		case "o":
			l.Overloaded, err = d.DecodeBool()
		default:
			err = d.Skip()
		}
		return err
	})
}
