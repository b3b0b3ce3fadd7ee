package peer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// MaxFrame is the maximum size of a frame payload in bytes.
const MaxFrame = 64 << 20

// ErrTooLarge is the cause of the error that WriteFrame returns for a payload of more
// than MaxFrame bytes.
var ErrTooLarge = errors.New("peer: frame too large")

const lengthBytes = 4 // size of the length prefix

// WriteFrame writes the payload with a big-endian length prefix to w, in a single
// Write call. A payload of more than MaxFrame bytes is not written.
func WriteFrame(w io.Writer, payload []byte) error {
	if len(payload) > MaxFrame {
		return errors.Wrapf(ErrTooLarge, "payload of %d bytes exceeds the limit of %d", len(payload), MaxFrame)
	}
	frame := make([]byte, lengthBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	copy(frame[lengthBytes:], payload)
	_, err := w.Write(frame)
	return errors.WithStack(err)
}

// ReadFrame reads one length-prefixed payload from r. It allocates memory as bytes
// arrive, not by the announced length. It returns an error if the announced length
// exceeds MaxFrame.
func ReadFrame(r io.Reader) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxFrame {
		return nil, errors.Errorf("peer: frame of %d bytes exceeds the limit of %d", n, MaxFrame)
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
