package daemon

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/laburnumwalk/laburnumwalk/internal/store"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// silent drops every message to a peer.
type silent struct{}

func (silent) Send(string, peer.Body) bool { return true }
func (silent) SetPeers([]membership.Host)  {}

// startController runs the controller of the only control host on a folder.
func startController(t *testing.T, folder string, fs store.FS) (*controller, func()) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	s, state, err := openStore(fs, folder, log)
	must.NoError(t, err)
	c := &controller{
		machine: control.New(control.Config{
			Self: membership.Host{Name: "h"}, Incarnation: "i", Bootstrap: []string{"h"},
			State: state, Timing: control.DefaultTiming(),
		}),
		store: s, inputs: ring.New[controlInput](controlRing), mesh: silent{},
		apply:   func(uint64, *config.Document) {},
		waiters: make(map[uint64]chan control.Outcome),
		self:    "h", log: log, done: make(chan struct{}), timeout: time.Minute,
	}
	c.publish()
	ctx, cancel := context.WithCancel(context.Background())
	go c.run(ctx)
	return c, func() {
		cancel()
		<-c.done
	}
}

// failingFS fails every sync while broken.
type failingFS struct {
	store.OS
	broken bool
}

func (f *failingFS) SyncDir(folder string) error {
	if f.broken {
		return context.DeadlineExceeded
	}
	return f.OS.SyncDir(folder)
}

func TestControllerKeepsVersionsOverRestarts(t *testing.T) {
	folder := t.TempDir()
	c, stop := startController(t, folder, store.OS{})
	disk := c.view.Load().Disk
	p := control.Proposal{Command: "c1", Operator: "o", Document: []byte("{}")}
	o := c.Propose(context.Background(), p)
	must.Eq(t, control.Outcome{Command: "c1", Code: result.OK, Version: 1}, o)
	stop()
	c, stop = startController(t, folder, store.OS{})
	must.Eq(t, disk, c.view.Load().Disk)
	must.Eq(t, uint64(1), c.view.Load().Version)
	must.Eq(t, o, c.Propose(context.Background(), p)) // a resend
	stop()
}

// A control host whose sync fails stops voting rather than lie.
func TestControllerStopsVotingAfterFailedSync(t *testing.T) {
	fs := &failingFS{}
	c, stop := startController(t, t.TempDir(), fs)
	defer stop()
	must.True(t, c.view.Load().Voting)
	fs.broken = true
	c.timeout = 0 // the outcome is not waited for
	o := c.Propose(context.Background(), control.Proposal{Command: "c1", Operator: "o", Document: []byte("{}")})
	must.Eq(t, result.NoMajority, o.Code)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !c.view.Load().Voting }), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
	must.Eq(t, uint64(0), c.view.Load().Version)
}

func TestCorruptStateDoesNotVote(t *testing.T) {
	folder := t.TempDir()
	s, err := store.Open(store.OS{}, folder)
	must.NoError(t, err)
	must.NoError(t, s.Save(controlFile, []byte("no state")))
	must.NoError(t, s.Close())
	c, stop := startController(t, folder, store.OS{})
	defer stop()
	must.False(t, c.view.Load().Voting)
	must.Eq(t, "", c.view.Load().Disk)
}
