package store

import (
	"io"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// FS is the set of file system operations that the store uses.
type FS interface {
	MkdirAll(folder string) error
	ReadFile(path string) ([]byte, error)
	Create(path string) (File, error)
	Rename(from, to string) error
	SyncDir(folder string) error
	// Lock acquires an exclusive lock on the file without waiting. The lock is
	// held until the returned Closer is closed or the process ends.
	Lock(path string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

// OS implements FS with the file system of the operating system.
type OS struct{}

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// MkdirAll implements FS.
func (OS) MkdirAll(folder string) error { return os.MkdirAll(folder, folderMode) }

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDir implements FS.
func (OS) SyncDir(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, errors.WithStack(err)
	}
	return f, nil
}
