package register

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
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

// recordingMessenger records the kinds of the messages sent to peers.
type recordingMessenger struct {
	mu    sync.Mutex
	kinds []peer.Kind
}

func (s *recordingMessenger) Send(_ string, b peer.Body) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds = append(s.kinds, b.Kind())
	return true
}

func (s *recordingMessenger) SetPeers([]membership.Host) {}

func (s *recordingMessenger) has(k peer.Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.kinds, k)
}

func eventuallyTrue(t *testing.T, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
}

// startController starts a controller for the only control host, with its data in
// folder. It returns the controller and a function that stops it.
func startController(t *testing.T, folder string, fs store.FS) (*Controller, func()) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	disk, err := OpenDisk(fs, folder, log)
	must.NoError(t, err)
	c := New(Options{
		Machine: control.Config{
			Self: membership.Host{Name: "h"}, Incarnation: "i", Bootstrap: []string{"h"},
			State: disk.State, Unsaved: disk.Unsaved, Timing: control.DefaultTiming(),
		},
		Store: disk.Store, Messenger: &recordingMessenger{}, Apply: func(*peer.ConfigRecord) {}, Log: log,
	})
	c.proposeTimeout = time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	return c, func() {
		cancel()
		<-c.done
	}
}

// failingFS fails every folder sync while broken is set.
type failingFS struct {
	store.OS
	broken atomic.Bool
}

func (f *failingFS) SyncDir(folder string) error {
	if f.broken.Load() {
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
	must.Eq(t, o, c.Propose(context.Background(), p)) // the same command sent again
	stop()
}

// A control host whose sync fails stops voting, because it cannot make its promises
// and acceptances durable.
func TestControllerStopsVotingAfterFailedSync(t *testing.T) {
	fs := &failingFS{}
	c, stop := startController(t, t.TempDir(), fs)
	defer stop()
	must.True(t, c.view.Load().Voting)
	fs.broken.Store(true)
	c.proposeTimeout = 0 // don't wait for the outcome
	o := c.Propose(context.Background(), control.Proposal{Command: "c1", Operator: "o", Document: []byte("{}")})
	must.Eq(t, result.NoMajority, o.Code)
	eventuallyTrue(t, func() bool { return !c.view.Load().Voting })
	must.Eq(t, uint64(0), c.view.Load().Version)
}

// A promise is not sent if saving it failed.
func TestUnsyncedPromiseIsNotSent(t *testing.T) {
	fs := &failingFS{}
	c, stop := startController(t, t.TempDir(), fs)
	defer stop()
	fs.broken.Store(true)
	c.Receive("p", &peer.ControlPrepare{Version: 1, Ballot: peer.Ballot{Round: 1, Proposer: "p"}})
	eventuallyTrue(t, func() bool { return !c.view.Load().Voting })
	c.Receive("p", &peer.ControlPrepare{Version: 1, Ballot: peer.Ballot{Round: 1, Proposer: "p"}})
	messenger := c.messenger.(*recordingMessenger)
	eventuallyTrue(t, func() bool { return messenger.has(peer.KindControlReport) })
	must.False(t, messenger.has(peer.KindControlPromise))
}

// After a restart the stored state is written and synced again; if that fails, the
// host does not vote.
func TestStateThatCannotBeSyncedDoesNotVote(t *testing.T) {
	fs := &failingFS{}
	folder := t.TempDir()
	_, stop := startController(t, folder, fs)
	stop()
	fs.broken.Store(true)
	c, stop := startController(t, folder, fs)
	defer stop()
	must.False(t, c.view.Load().Voting)
}

// A control host votes again, in the same process, once its disk takes writes: a disk that
// was full for some seconds must not end its vote for good.
func TestControllerVotesAgainOnceWritesSucceed(t *testing.T) {
	fs := &failingFS{}
	folder := t.TempDir()
	c, stop := startController(t, folder, fs)
	fs.broken.Store(true)
	c.Receive("p", &peer.ControlPrepare{Version: 1, Ballot: peer.Ballot{Round: 1, Proposer: "p"}})
	eventuallyTrue(t, func() bool { return !c.view.Load().Voting })
	fs.broken.Store(false)
	eventuallyTrue(t, func() bool { return c.view.Load().Voting })
	p := control.Proposal{Command: "c1", Operator: "o", Document: []byte("{}")}
	must.Eq(t, result.OK, c.Propose(context.Background(), p).Code)
	stop()
	c, stop = startController(t, folder, fs)
	defer stop()
	must.Eq(t, uint64(1), c.view.Load().Version)
}

// A control host that starts while its disk refuses writes keeps the disk's identity and
// version, and votes once the disk takes writes.
func TestHostStartedOnAFullDiskVotesOnceWritesSucceed(t *testing.T) {
	fs := &failingFS{}
	folder := t.TempDir()
	c, stop := startController(t, folder, fs)
	disk := c.view.Load().Disk
	p := control.Proposal{Command: "c1", Operator: "o", Document: []byte("{}")}
	must.Eq(t, result.OK, c.Propose(context.Background(), p).Code)
	stop()
	fs.broken.Store(true)
	c, stop = startController(t, folder, fs)
	defer stop()
	must.Eq(t, disk, c.view.Load().Disk)
	must.Eq(t, uint64(1), c.view.Load().Version)
	must.False(t, c.view.Load().Voting)
	fs.broken.Store(false)
	eventuallyTrue(t, func() bool { return c.view.Load().Voting })
	p = control.Proposal{Command: "c2", Operator: "o", Base: 1, Document: []byte("{}")}
	must.Eq(t, result.OK, c.Propose(context.Background(), p).Code)
}

// Files that could not be written at the start are on the disk before the host votes.
func TestUnsavedFilesAreWrittenBeforeTheHostVotes(t *testing.T) {
	disk, err := OpenDisk(store.OS{}, t.TempDir(), slog.New(slog.DiscardHandler))
	must.NoError(t, err)
	c := New(Options{
		Machine: control.Config{
			Self: membership.Host{Name: "h"}, Bootstrap: []string{"h"}, State: disk.State, Unsaved: true, Timing: control.DefaultTiming(),
		},
		Store: disk.Store, Unsaved: map[string][]byte{"first": []byte("x")},
		Messenger: &recordingMessenger{}, Apply: func(*peer.ConfigRecord) {}, Log: slog.New(slog.DiscardHandler),
	})
	must.False(t, c.View().Voting)
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	eventuallyTrue(t, func() bool { return c.View().Voting })
	payload, err := disk.Store.Load("first")
	must.NoError(t, err)
	must.Eq(t, "x", string(payload))
	cancel()
	<-c.done
}

func TestCorruptStateDoesNotVote(t *testing.T) {
	folder := t.TempDir()
	s, err := store.Open(store.OS{}, folder)
	must.NoError(t, err)
	must.NoError(t, s.Save(stateFile, []byte("no state")))
	must.NoError(t, s.Close())
	c, stop := startController(t, folder, store.OS{})
	defer stop()
	must.False(t, c.view.Load().Voting)
	must.Eq(t, "", c.view.Load().Disk)
}

// A host that is configured without control hosts (control.members) can propose once
// it has learned a version; before that, it refuses.
func TestHostWithoutMembersProposesOnceItHasAVersion(t *testing.T) {
	c, stop := startController(t, t.TempDir(), store.OS{})
	defer stop()
	p := control.Proposal{Command: "c1", Operator: "o", Document: []byte("{}")}
	must.Eq(t, result.OK, c.Propose(context.Background(), p).Code)
	c.bootstrapCount = 0
	p = control.Proposal{Command: "c2", Operator: "o", Base: 1, Document: []byte("{}")}
	must.Eq(t, result.OK, c.Propose(context.Background(), p).Code)
	noVersion := &Controller{}
	noVersion.view.Store(&View{})
	must.StrContains(t, noVersion.Propose(context.Background(), p).Detail, "no control hosts are configured")
}
