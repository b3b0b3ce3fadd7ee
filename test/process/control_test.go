package process

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/shoenig/test/must"
)

// relay carries TCP connections to a host, or drops silently what they carry:
// the sender's writes go on succeeding.
type relay struct {
	listener net.Listener
	target   string
	dropping atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &relay{listener: l, target: target}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
}

func (r *relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.track(in)
		go r.serve(in)
	}
}

// serve closes both sides when one of them closes, except while it drops.
func (r *relay) serve(in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		in.Close()
		return
	}
	r.track(out)
	go func() {
		_, _ = io.Copy(io.Discard, out) // nothing is sent this way; it ends when the host closes
		in.Close()
	}()
	buffer := make([]byte, 64<<10)
	dropped := false
	for {
		n, err := in.Read(buffer)
		if err != nil {
			break
		}
		dropped = dropped || r.dropping.Load()
		if dropped && !r.dropping.Load() {
			break // bytes are missing: a new connection is needed
		}
		if dropped {
			continue
		}
		if _, err := out.Write(buffer[:n]); err != nil {
			break
		}
	}
	in.Close()
	out.Close()
}

// controlSystem is three control hosts in three failure domains and a host
// without a disk. Every host reaches every other through a relay of its own.
type controlSystem struct {
	all    []*settings.Settings
	hosts  []*host
	relays map[[2]string]*relay // by sender and receiver
}

func startControlSystem(t *testing.T) *controlSystem {
	t.Helper()
	c := &controlSystem{relays: map[[2]string]*relay{}}
	for i := range 4 {
		s := hostSettings(t, fmt.Sprintf("h%d", i), fmt.Sprintf("d%d", i%3))
		s.Listen = settings.Listen{
			Callers: freeAddress(t), Minions: freeAddress(t), Operators: freeAddress(t), Peers: freeAddress(t),
		}
		s.Control.Members = []string{"h0", "h1", "h2"}
		s.Timing.ProposeTimeoutMS = 1000
		if i < 3 {
			s.DataFolder = filepath.Join(t.TempDir(), s.Host)
		}
		c.all = append(c.all, &s)
	}
	joinAll(c.all...)
	for _, s := range c.all {
		for i := range s.Peers {
			p := &s.Peers[i]
			r := startRelay(t, p.Address)
			c.relays[[2]string{s.Host, p.Name}] = r
			p.Address = r.address()
		}
	}
	for _, s := range c.all {
		c.hosts = append(c.hosts, startHost(t, *s))
	}
	return c
}

const operatorName = "tester"

// cut drops silently all that the host sends and, if both is set, receives.
func (c *controlSystem) cut(name string, dropping, both bool) {
	for link, r := range c.relays {
		if link[0] == name || both && link[1] == name {
			r.dropping.Store(dropping)
		}
	}
}

// planDocument makes a plan for a document on the host and returns its identity.
func (h *host) planDocument(t *testing.T, document string) string {
	t.Helper()
	return h.plan(t, api.PlanRequest{Intent: plan.Change, Document: document}).ID
}

// accept gets a change accepted. While there is no majority the command is
// resent: after a start or a cut the hosts first have to find each other.
func (h *host) accept(t *testing.T, command, document string) uint64 {
	t.Helper()
	id := h.planDocument(t, document)
	var r api.ConfirmResponse
	for range 30 {
		if r = h.confirm(t, id, command, operatorName); r.Code != result.NoMajority {
			must.Eq(t, result.OK, r.Code, must.Sprint(r.Detail))
			return r.Version
		}
	}
	t.Fatalf("%s: %d %s", h.settings.Host, r.Code, r.Detail)
	return 0
}

func awaitVersions(t *testing.T, version uint64, hosts ...*host) {
	t.Helper()
	for _, h := range hosts {
		h.awaitVersion(t, version)
	}
}

func teams(name string) string { return `{"teams": [{"name": "` + name + `", "weight": 1}]}` }

// A change is accepted, in force on every host, and survives the kill of every
// process at once.
func TestAcceptedChangeSurvivesKillOfAll(t *testing.T) {
	c := startControlSystem(t)
	version := c.hosts[3].accept(t, "first", teams("team"))
	awaitVersions(t, version, c.hosts...)
	version = c.hosts[0].accept(t, "second", teams("patio"))
	awaitVersions(t, version, c.hosts...)
	for _, h := range c.hosts {
		h.kill()
	}
	for _, h := range c.hosts[:3] { // from its disk, alone
		h.restart(t)
		s, err := h.status()
		must.NoError(t, err)
		must.Eq(t, version, s.ConfigVersion)
		h.kill()
	}
	for _, h := range c.hosts {
		h.restart(t)
	}
	awaitVersions(t, version, c.hosts...)
	must.Eq(t, version+1, c.hosts[1].accept(t, "third", teams("team")))
}

// Hosts that were down during hundreds of changes serve under their last version
// at once, and get the newest.
func TestAbsentHostsCatchUp(t *testing.T) {
	const changes = 200
	c := startControlSystem(t)
	version := c.hosts[0].accept(t, "first", teams("team"))
	awaitVersions(t, version, c.hosts...)
	sleepers := c.hosts[2:] // a control host and the host without a disk
	for _, h := range sleepers {
		h.kill()
	}
	slept := version
	for i := range changes {
		version = c.hosts[i%2].accept(t, fmt.Sprint("change-", i), teams(fmt.Sprint("team-", i)))
		c.hosts[(i+1)%2].awaitVersion(t, version)
	}
	must.Eq(t, slept+changes, version)
	for _, h := range sleepers {
		h.restart(t)
		begin := time.Now()
		h.awaitVersion(t, version)
		t.Logf("%s has version %d %v after it was ready", h.settings.Host, version, time.Since(begin))
	}
}

// A lost disk doesn't vote until it is admitted; then a second one may go.
func TestLostDiskThenAnother(t *testing.T) {
	c := startControlSystem(t)
	version := c.hosts[0].accept(t, "first", teams("team"))
	for i, lost := range []*host{c.hosts[2], c.hosts[1]} {
		lost.kill()
		must.NoError(t, os.RemoveAll(lost.settings.DataFolder))
		lost.restart(t)
		awaitVersions(t, version, lost)
		s, err := lost.status()
		must.NoError(t, err)
		must.False(t, s.Voting)
		version = c.hosts[0].accept(t, fmt.Sprint("admit-", i), c.groupWith(t, lost.settings.Host, s.Disk))
		awaitVersions(t, version, c.hosts...)
		eventually(t, "votes again", func() bool {
			s, err := lost.status()
			return err == nil && s.Voting
		})
	}
}

// groupWith returns the document in force with another disk for a host.
func (c *controlSystem) groupWith(t *testing.T, name, disk string) string {
	t.Helper()
	r, err := operate[api.ConfigResponse](c.hosts[0], "GET", "/v1/config", nil)
	must.NoError(t, err)
	var d map[string]any
	must.NoError(t, json.Unmarshal([]byte(r.Document), &d))
	for _, h := range d["control_hosts"].([]any) {
		if m := h.(map[string]any); m["host"] == name {
			m["disk"] = disk
		}
	}
	text, err := json.Marshal(d)
	must.NoError(t, err)
	return string(text)
}

// A control host behind a silent cut accepts nothing and says so in bounded
// time, serves its callers, and disturbs nothing when it returns.
func TestSilentCutOfAControlHost(t *testing.T) {
	for _, both := range []bool{true, false} {
		t.Run(fmt.Sprintf("two-way %v", both), func(t *testing.T) {
			c := startControlSystem(t)
			cut := c.hosts[2]
			startMinion(t, "m1", "d2", cut)
			cut.awaitMinions(t, 1)
			version := c.hosts[0].accept(t, "first", teams("team"))
			awaitVersions(t, version, c.hosts...)
			c.cut("h2", true, both)
			r := cut.confirm(t, cut.planDocument(t, teams("cut")), "from-the-cut", operatorName)
			must.Eq(t, result.NoMajority, r.Code, must.Sprint(r.Detail))
			job, err := cut.submit(newRequest("k", "one"))
			must.NoError(t, err)
			must.Eq(t, result.OK, job.Code)
			for i := range 3 {
				version = c.hosts[0].accept(t, fmt.Sprint("second-", i), teams(fmt.Sprint("patio-", i)))
			}
			awaitVersions(t, version, c.hosts[0], c.hosts[1], c.hosts[3])
			c.cut("h2", false, both)
			awaitVersions(t, version, c.hosts...)
			must.Eq(t, version+1, c.hosts[1].accept(t, "after", teams("team")))
		})
	}
}
