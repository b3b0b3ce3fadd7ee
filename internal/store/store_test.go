package store

import (
	"errors"
	"io"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// errDisk is the injected failure.
var errDisk = errors.New("disk full")

// errPower ends a run as a power cut does.
var errPower = errors.New("power cut")

// disk is a file system in memory that tells what is durable: contents that
// were synced, under names whose folder was synced.
type disk struct {
	names   map[string]*content // as a running process sees them
	durable map[string]*content // after a power cut
	failAt  int                 // operation that fails; 0: none
	failure error
	ops     int
}

type content struct {
	data   []byte
	synced int // bytes that are certainly on the disk
}

func newDisk() *disk {
	return &disk{names: map[string]*content{}, durable: map[string]*content{}}
}

// op counts one operation and fails it when its turn has come; after a power
// cut every operation fails.
func (d *disk) op() error {
	d.ops++
	if d.failAt == d.ops || d.failAt > 0 && d.ops > d.failAt && d.failure == errPower {
		return d.failure
	}
	return nil
}

func (d *disk) MkdirAll(string) error { return nil }

func (d *disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (d *disk) ReadFile(path string) ([]byte, error) {
	c := d.names[path]
	if c == nil {
		return nil, os.ErrNotExist
	}
	return c.data, nil
}

func (d *disk) Create(path string) (File, error) {
	if err := d.op(); err != nil {
		return nil, err
	}
	c := &content{}
	d.names[path] = c
	return &file{d, c}, nil
}

func (d *disk) Rename(from, to string) error {
	if err := d.op(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *disk) SyncDir(string) error {
	if err := d.op(); err != nil {
		return err
	}
	d.durable = map[string]*content{}
	for name, c := range d.names {
		d.durable[name] = c
	}
	return nil
}

type file struct {
	d *disk
	c *content
}

func (f *file) Write(p []byte) (int, error) {
	if err := f.d.op(); err != nil {
		f.c.data = append(f.c.data, p[:len(p)/2]...) // torn
		return len(p) / 2, err
	}
	f.c.data = append(f.c.data, p...)
	return len(p), nil
}

func (f *file) Sync() error {
	if err := f.d.op(); err != nil {
		return err
	}
	f.c.synced = len(f.c.data)
	return nil
}

func (f *file) Close() error { return f.d.op() }

// restart returns the disk after a power cut. With renamed set, renames that
// were not synced have reached the disk all the same.
func (d *disk) restart(renamed bool) *disk {
	from := d.durable
	if renamed {
		from = d.names
	}
	after := newDisk()
	for name, c := range from {
		data := c.data[:c.synced]
		after.names[name] = &content{data: data, synced: len(data)}
		after.durable[name] = after.names[name]
	}
	return after
}

func open(t *testing.T, d *disk) *Store {
	t.Helper()
	s, err := Open(d, "folder")
	must.NoError(t, err)
	return s
}

func load(t *testing.T, d *disk) string {
	t.Helper()
	payload, err := open(t, d).Load("f")
	must.NoError(t, err)
	return string(payload)
}

// A save that is cut or fails at any operation leaves the old payload or the
// new one; a save that returned nil is durable.
func TestSaveAtEveryFault(t *testing.T) {
	for _, failure := range []error{errDisk, errPower} {
		for at := 1; ; at++ {
			d := newDisk()
			s := open(t, d)
			must.NoError(t, s.Save("f", []byte("old")))
			d.failAt, d.failure = d.ops+at, failure
			err := s.Save("f", []byte("newer"))
			if err == nil {
				must.Eq(t, "newer", load(t, d.restart(false)))
				break
			}
			must.ErrorIs(t, err, failure)
			must.ErrorIs(t, s.Save("f", []byte("newer")), ErrFailed)
			for _, after := range []*disk{d, d.restart(false), d.restart(true)} {
				got := load(t, after)
				must.True(t, got == "old" || got == "newer", must.Sprintf("operation %d: %q", at, got))
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

func TestFolderOfAnotherProcessIsRefused(t *testing.T) {
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
