// Package store keeps durable files in one data folder. Save replaces a file
// atomically: it writes a temporary file, syncs and renames it, and syncs the
// folder. Load verifies the checksum of the whole file and returns no part of a
// corrupt file.
package store

import (
	"encoding/binary"
	"io"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// A file consists of the magic string, the payload length, the checksum of the
// payload (both 8 bytes, big-endian) and the payload.
const (
	magic          = "LWSTORE1"
	lengthOffset   = len(magic)
	checksumOffset = lengthOffset + 8
	headerBytes    = checksumOffset + 8
)

const (
	temporarySuffix = ".tmp"
	lockName        = "lock"
)

// ErrCorrupt is returned for a file with a wrong header, length or checksum.
var ErrCorrupt = errors.New("store: file corrupt")

// Store is an open data folder. Files with different names may be used
// concurrently.
type Store struct {
	fs     FS
	folder string
	lock   io.Closer
}

// Open creates the folder if it does not exist and locks it against other
// processes. It fails if another process holds the lock.
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

// Close releases the lock on the folder.
func (s *Store) Close() error { return errors.WithStack(s.lock.Close()) }

// Load returns the payload of a file. It returns os.ErrNotExist if the file does
// not exist and ErrCorrupt if its content is not valid.
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

// Save replaces the payload of a file, or creates the file. The payload is
// durable once Save returns nil. After an error, the old or the new payload
// remains, until a later Save succeeds: it writes and syncs all of the file anew,
// so that nothing depends on what the failed one left.
func (s *Store) Save(name string, payload []byte) error {
	return errors.Wrap(s.replace(filepath.Join(s.folder, name), encode(payload)), "store")
}

func (s *Store) replace(path string, content []byte) error {
	if err := s.writeFile(path+temporarySuffix, content); err != nil {
		return err
	}
	if err := s.fs.Rename(path+temporarySuffix, path); err != nil {
		return err
	}
	return s.fs.SyncDir(s.folder)
}

func (s *Store) writeFile(path string, content []byte) error {
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
	binary.BigEndian.PutUint64(content[lengthOffset:], uint64(len(payload)))
	binary.BigEndian.PutUint64(content[checksumOffset:], xxhash.Sum64(payload))
	return append(content, payload...)
}

func decode(content []byte) ([]byte, error) {
	if len(content) < headerBytes || string(content[:lengthOffset]) != magic {
		return nil, errors.WithStack(ErrCorrupt)
	}
	payload := content[headerBytes:]
	length := binary.BigEndian.Uint64(content[lengthOffset:])
	sum := binary.BigEndian.Uint64(content[checksumOffset:])
	if length != uint64(len(payload)) || sum != xxhash.Sum64(payload) {
		return nil, errors.WithStack(ErrCorrupt)
	}
	return payload, nil
}
