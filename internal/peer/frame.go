package peer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// MaxFrame is the largest frame payload in bytes.
const MaxFrame = 64 << 20

// ErrTooLarge is the cause of a refusal to write a payload beyond MaxFrame.
var ErrTooLarge = errors.New("peer: frame too large")

const lengthBytes = 4

// WriteFrame writes a length-prefixed payload to w in one call.
func WriteFrame(w io.Writer, payload []byte) error {
	if len(payload) > MaxFrame {
		return errors.Wrapf(ErrTooLarge, "%d bytes exceed %d", len(payload), MaxFrame)
	}
	frame := make([]byte, lengthBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	copy(frame[lengthBytes:], payload)
	_, err := w.Write(frame)
	return errors.WithStack(err)
}

// ReadFrame reads one length-prefixed payload from r. Memory grows with the
// bytes received, not with the announced length.
func ReadFrame(r io.Reader) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxFrame {
		return nil, errors.Errorf("peer: frame of %d bytes exceeds %d", n, MaxFrame)
	}
	payload, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(payload) < int(n) {
		return nil, errors.WithStack(io.ErrUnexpectedEOF)
	}
	return payload, nil
}
