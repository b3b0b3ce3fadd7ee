package peer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// MaxFrame is the maximum size of a frame payload in bytes.
const MaxFrame = 64 << 20

// ErrTooLarge is the cause of the error that AppendFrame and WriteFrame return for a payload
// of more than MaxFrame bytes.
var ErrTooLarge = errors.New("peer: frame too large")

const (
	lengthBytes   = 4       // size of the length prefix
	maxEagerBytes = 4 << 10 // memory for payloads up to this size is allocated before they arrive
)

// AppendFrame appends the payload with a big-endian length prefix to b. It returns an
// error, and b as it was, for a payload of more than MaxFrame bytes.
func AppendFrame(b, payload []byte) ([]byte, error) {
	if len(payload) > MaxFrame {
		return b, errors.Wrapf(ErrTooLarge, "payload of %d bytes exceeds the limit of %d", len(payload), MaxFrame)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(b, payload...), nil
}

// WriteFrame writes the payload with a big-endian length prefix to w, in a single
// Write call. A payload of more than MaxFrame bytes is not written.
func WriteFrame(w io.Writer, payload []byte) error {
	frame, err := AppendFrame(make([]byte, 0, lengthBytes+len(payload)), payload)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return errors.WithStack(err)
}

// ReadFrame reads one length-prefixed payload from r. It allocates memory for a large
// payload as bytes arrive, not by the announced length. It returns an error if the announced length
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
	if n <= maxEagerBytes {
		payload := make([]byte, n)
		if _, err := io.ReadFull(r, payload); err != nil {
			return nil, errors.WithStack(unexpectedEOF(err))
		}
		return payload, nil
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

// unexpectedEOF replaces io.EOF, which ReadFull returns if no byte of a payload arrived.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
