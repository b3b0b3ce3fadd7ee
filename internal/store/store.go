// Package store keeps durable files under the one data folder. A file is
// replaced as a whole: written under a temporary name, synced, renamed, and
// the folder synced. Its checksum is verified at each load; a file that does
// not pass is refused as a whole, never half read.
package store

import (
	"encoding/binary"
	"io"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Layout of a file: magic, payload length, checksum of the payload, payload.
const (
	magic       = "LWSTORE1"
	lengthAt    = len(magic)
	checksumAt  = lengthAt + 8
	headerBytes = checksumAt + 8
)

const (
	temporary = ".tmp"
	lockName  = "lock"
)

// ErrCorrupt is returned for a file whose content does not pass its check.
var ErrCorrupt = errors.New("store: file corrupt")

// ErrFailed is returned after a write has failed: what the disk holds is not
// known until the next start.
var ErrFailed = errors.New("store: an earlier write failed")

// Store is an open data folder. It isn't safe for concurrent use.
type Store struct {
	fs     FS
	folder string
	lock   io.Closer
	failed bool
}

// Open creates the folder where needed and locks it against other processes.
func Open(fs FS, folder string) (*Store, error) {
	if err := fs.MkdirAll(folder); err != nil {
		return nil, errors.Wrap(err, "store")
	}
	lock, err := fs.Lock(filepath.Join(folder, lockName))
	if err != nil {
		return nil, errors.Wrapf(err, "store: %s is used by another process", folder)
	}
	return &Store{fs: fs, folder: folder, lock: lock}, nil
}

// Close unlocks the folder.
func (s *Store) Close() error { return errors.WithStack(s.lock.Close()) }

// Load returns the payload of a file. The error is os.ErrNotExist when there
// is none, or ErrCorrupt.
func (s *Store) Load(name string) ([]byte, error) {
	content, err := s.fs.ReadFile(filepath.Join(s.folder, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, os.ErrNotExist
	}
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	return decode(content)
}

// Save replaces the payload of a file. When it returns nil the file is
// durable. After an error every further Save fails.
func (s *Store) Save(name string, payload []byte) error {
	if s.failed {
		return ErrFailed
	}
	if err := s.replace(filepath.Join(s.folder, name), encode(payload)); err != nil {
		s.failed = true
		return errors.Wrap(err, "store")
	}
	return nil
}

func (s *Store) replace(path string, content []byte) error {
	if err := s.write(path+temporary, content); err != nil {
		return err
	}
	if err := s.fs.Rename(path+temporary, path); err != nil {
		return err
	}
	return s.fs.SyncDir(s.folder)
}

func (s *Store) write(path string, content []byte) error {
	f, err := s.fs.Create(path)
	if err != nil {
		return err
	}
	if _, err := f.Write(content); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func encode(payload []byte) []byte {
	content := make([]byte, headerBytes, headerBytes+len(payload))
	copy(content, magic)
	binary.BigEndian.PutUint64(content[lengthAt:], uint64(len(payload)))
	binary.BigEndian.PutUint64(content[checksumAt:], xxhash.Sum64(payload))
	return append(content, payload...)
}

func decode(content []byte) ([]byte, error) {
	if len(content) < headerBytes || string(content[:lengthAt]) != magic {
		return nil, errors.WithStack(ErrCorrupt)
	}
	payload := content[headerBytes:]
	length := binary.BigEndian.Uint64(content[lengthAt:])
	sum := binary.BigEndian.Uint64(content[checksumAt:])
	if length != uint64(len(payload)) || sum != xxhash.Sum64(payload) {
		return nil, errors.WithStack(ErrCorrupt)
	}
	return payload, nil
}
