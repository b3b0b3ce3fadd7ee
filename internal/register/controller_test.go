package register

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/store"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// sent records the kinds of the messages to peers.
type sent struct {
	mu    sync.Mutex
	kinds []peer.Kind
}

func (s *sent) Send(_ string, b peer.Body) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds = append(s.kinds, b.Kind())
	return true
}

func (s *sent) SetPeers([]membership.Host) {}

func (s *sent) has(k peer.Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.kinds, k)
}

func eventuallyTrue(t *testing.T, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
}

// startController runs the controller of the only control host on a folder.
func startController(t *testing.T, folder string, fs store.FS) (*Controller, func()) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	s, state, err := OpenStore(fs, folder, log)
	must.NoError(t, err)
	c := New(Options{
		Machine: control.Config{
			Self: membership.Host{Name: "h"}, Incarnation: "i", Bootstrap: []string{"h"},
			State: state, Timing: control.DefaultTiming(),
		},
		Store: s, Mesh: &sent{}, Apply: func(*peer.ConfigRecord) {}, Log: log,
	})
	c.timeout = time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
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
	eventuallyTrue(t, func() bool { return !c.view.Load().Voting })
	must.Eq(t, uint64(0), c.view.Load().Version)
}

// A promise whose write failed is never sent.
func TestUnsyncedPromiseIsNotSent(t *testing.T) {
	fs := &failingFS{}
	c, stop := startController(t, t.TempDir(), fs)
	defer stop()
	fs.broken = true
	c.Receive("p", &peer.ControlPrepare{Version: 1, Ballot: peer.Ballot{Round: 1, Proposer: "p"}})
	eventuallyTrue(t, func() bool { return !c.view.Load().Voting })
	c.Receive("p", &peer.ControlPrepare{Version: 1, Ballot: peer.Ballot{Round: 1, Proposer: "p"}})
	out := c.mesh.(*sent)
	eventuallyTrue(t, func() bool { return out.has(peer.KindControlReport) })
	must.False(t, out.has(peer.KindControlPromise))
}

// What an earlier process wrote is synced again before it counts.
func TestStateThatCannotBeSyncedDoesNotVote(t *testing.T) {
	fs := &failingFS{}
	folder := t.TempDir()
	_, stop := startController(t, folder, fs)
	stop()
	fs.broken = true
	c, stop := startController(t, folder, fs)
	defer stop()
	must.False(t, c.view.Load().Voting)
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

// A host without control.members and without a disk can pass on a change once
// it has learned a version.
func TestHostWithoutMembersProposesOnceItHasAVersion(t *testing.T) {
	c, stop := startController(t, t.TempDir(), store.OS{})
	defer stop()
	p := control.Proposal{Command: "c1", Operator: "o", Document: []byte("{}")}
	must.Eq(t, result.OK, c.Propose(context.Background(), p).Code)
	c.members = 0
	p = control.Proposal{Command: "c2", Operator: "o", Base: 1, Document: []byte("{}")}
	must.Eq(t, result.OK, c.Propose(context.Background(), p).Code)
	fresh := &Controller{}
	fresh.view.Store(&View{})
	must.StrContains(t, fresh.Propose(context.Background(), p).Detail, "no control hosts are configured")
}
