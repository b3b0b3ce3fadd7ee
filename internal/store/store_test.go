package store

import (
	"errors"
	"io"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// errDiskFull makes one operation fail.
var errDiskFull = errors.New("disk full")

// errPowerCut makes one operation and all later ones fail.
var errPowerCut = errors.New("power cut")

// memoryFS is an FS in memory that tracks what is durable: synced contents under
// names whose folder was synced.
type memoryFS struct {
	names   map[string]*content // state that a running process reads
	durable map[string]*content // state after a power cut
	failAt  int                 // number of the operation that fails; 0: none
	failure error
	ops     int
}

type content struct {
	data   []byte
	synced int // length of the prefix that is durable
}

func newMemoryFS() *memoryFS {
	return &memoryFS{names: map[string]*content{}, durable: map[string]*content{}}
}

// countOp counts one operation and returns the failure if this is operation
// failAt, or a later one after a power cut.
func (d *memoryFS) countOp() error {
	d.ops++
	if d.failAt == d.ops || d.failAt > 0 && d.ops > d.failAt && d.failure == errPowerCut {
		return d.failure
	}
	return nil
}

func (d *memoryFS) MkdirAll(string) error { return nil }

func (d *memoryFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (d *memoryFS) ReadFile(path string) ([]byte, error) {
	c := d.names[path]
	if c == nil {
		return nil, os.ErrNotExist
	}
	return c.data, nil
}

func (d *memoryFS) Create(path string) (File, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	c := &content{}
	d.names[path] = c
	return &memoryFile{d, c}, nil
}

func (d *memoryFS) Rename(from, to string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *memoryFS) SyncDir(string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.durable = map[string]*content{}
	for name, c := range d.names {
		d.durable[name] = c
	}
	return nil
}

type memoryFile struct {
	d *memoryFS
	c *content
}

func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.d.countOp(); err != nil {
		f.c.data = append(f.c.data, p[:len(p)/2]...) // partial write
		return len(p) / 2, err
	}
	f.c.data = append(f.c.data, p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if err := f.d.countOp(); err != nil {
		return err
	}
	f.c.synced = len(f.c.data)
	return nil
}

func (f *memoryFile) Close() error { return f.d.countOp() }

// afterPowerCut returns the file system after a power cut. If renamed is set,
// renames have become durable although the folder was not synced.
func (d *memoryFS) afterPowerCut(renamed bool) *memoryFS {
	from := d.durable
	if renamed {
		from = d.names
	}
	after := newMemoryFS()
	for name, c := range from {
		data := c.data[:c.synced]
		after.names[name] = &content{data: data, synced: len(data)}
		after.durable[name] = after.names[name]
	}
	return after
}

func mustOpen(t *testing.T, d *memoryFS) *Store {
	t.Helper()
	s, err := Open(d, "folder")
	must.NoError(t, err)
	return s
}

func mustLoad(t *testing.T, d *memoryFS) string {
	t.Helper()
	payload, err := mustOpen(t, d).Load("f")
	must.NoError(t, err)
	return string(payload)
}

// A Save that fails or is interrupted at any file system operation must leave
// either the old or the new payload, and a Save that returned nil is durable, also
// after a failed one.
func TestSaveIsAtomicAtEveryFailure(t *testing.T) {
	for _, failure := range []error{errDiskFull, errPowerCut} {
		for at := 1; ; at++ {
			d := newMemoryFS()
			s := mustOpen(t, d)
			must.NoError(t, s.Save("f", []byte("old")))
			d.failAt, d.failure = d.ops+at, failure
			err := s.Save("f", []byte("newer"))
			if err == nil {
				must.Eq(t, "newer", mustLoad(t, d.afterPowerCut(false)))
				break
			}
			must.ErrorIs(t, err, failure)
			for _, after := range []*memoryFS{d, d.afterPowerCut(false), d.afterPowerCut(true)} {
				got := mustLoad(t, after)
				must.True(t, got == "old" || got == "newer", must.Sprintf("operation %d: %q", at, got))
			}
			if failure == errPowerCut {
				must.ErrorIs(t, s.Save("f", []byte("newest")), errPowerCut)
				continue
			}
			must.NoError(t, s.Save("f", []byte("newest")))
			for _, after := range []*memoryFS{d, d.afterPowerCut(false), d.afterPowerCut(true)} {
				must.Eq(t, "newest", mustLoad(t, after), must.Sprintf("operation %d", at))
			}
		}
	}
}

func TestCorruptFileIsRefused(t *testing.T) {
	good := encode([]byte("payload"))
	_, err := decode(good)
	must.NoError(t, err)
	for i := range good {
		bad := append([]byte(nil), good...)
		bad[i] ^= 1
		_, err := decode(bad)
		must.ErrorIs(t, err, ErrCorrupt)
		_, err = decode(good[:i])
		must.ErrorIs(t, err, ErrCorrupt)
	}
	_, err = decode(append(good, 0))
	must.ErrorIs(t, err, ErrCorrupt)
}

func TestOpenRefusesLockedFolder(t *testing.T) {
	folder := t.TempDir()
	s, err := Open(OS{}, folder)
	must.NoError(t, err)
	_, err = Open(OS{}, folder)
	must.ErrorContains(t, err, "used by another process")
	must.NoError(t, s.Save("f", []byte("x")))
	must.NoError(t, s.Close())
	s, err = Open(OS{}, folder)
	must.NoError(t, err)
	payload, err := s.Load("f")
	must.NoError(t, err)
	must.Eq(t, "x", string(payload))
	_, err = s.Load("absent")
	must.ErrorIs(t, err, os.ErrNotExist)
	must.NoError(t, s.Close())
}

// A failed write of one file does not stop writes of another, and changes nothing there.
func TestFilesFailIndependently(t *testing.T) {
	d := newMemoryFS()
	s := mustOpen(t, d)
	must.NoError(t, s.Save("f", []byte("old")))
	d.failAt, d.failure = d.ops+1, errDiskFull
	must.ErrorIs(t, s.Save("hint", []byte("x")), errDiskFull)
	must.Eq(t, "old", mustLoad(t, d))
	must.NoError(t, s.Save("f", []byte("new")))
	must.Eq(t, "new", mustLoad(t, d.afterPowerCut(false)))
}
