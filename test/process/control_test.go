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

// droppingProxy forwards TCP connections to a host. While dropping is set it
// discards the bytes instead, and the sender's writes still succeed.
type droppingProxy struct {
	listener net.Listener
	target   string
	dropping atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
}

func startDroppingProxy(t *testing.T, target string) *droppingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &droppingProxy{listener: l, target: target}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *droppingProxy) address() string { return r.listener.Addr().String() }

func (r *droppingProxy) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
}

func (r *droppingProxy) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

func (r *droppingProxy) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.track(in)
		go r.serve(in)
	}
}

// serve forwards the bytes of one connection to the host. Once either side has
// closed, both are closed, also while bytes are dropped.
func (r *droppingProxy) serve(in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		in.Close()
		return
	}
	r.track(out)
	go func() {
		_, _ = io.Copy(io.Discard, out) // hosts send nothing in this direction; Copy returns when the host closes
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
			break // bytes were dropped, so the peer has to open a new connection
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

// controlCluster is three control hosts in three failure domains and a fourth
// host without a disk. Every ordered pair of hosts has a proxy of its own.
type controlCluster struct {
	settings []*settings.Settings
	hosts    []*host
	proxies  map[[2]string]*droppingProxy // by {sender, receiver}
}

func startControlCluster(t *testing.T) *controlCluster {
	t.Helper()
	c := &controlCluster{proxies: map[[2]string]*droppingProxy{}}
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
		c.settings = append(c.settings, &s)
	}
	makeAllPeers(c.settings...)
	for _, s := range c.settings {
		for i := range s.Peers {
			p := &s.Peers[i]
			r := startDroppingProxy(t, p.Address)
			c.proxies[[2]string{s.Host, p.Name}] = r
			p.Address = r.address()
		}
	}
	for _, s := range c.settings {
		c.hosts = append(c.hosts, startHost(t, *s))
	}
	return c
}

const operatorName = "tester"

// setDropping sets whether the proxies drop everything that the named host sends
// and, if bothWays is set, everything that it receives.
func (c *controlCluster) setDropping(name string, dropping, bothWays bool) {
	for link, r := range c.proxies {
		if link[0] == name || bothWays && link[1] == name {
			r.dropping.Store(dropping)
		}
	}
}

// planDocument makes a plan for a document on the host and returns the plan's ID.
func (h *host) planDocument(t *testing.T, document string) string {
	t.Helper()
	return h.createPlan(t, api.PlanRequest{Intent: plan.Change, Document: document}).ID
}

// acceptDocument plans and confirms a document and returns the version that was
// accepted. The command is resent while there is no majority, because hosts have
// to reconnect after a start or a partition.
func (h *host) acceptDocument(t *testing.T, command, document string) uint64 {
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

func teamDocument(name string) string { return `{"teams": [{"name": "` + name + `", "weight": 1}]}` }

// An accepted change is applied on every host and is not lost when all processes
// are killed at once.
func TestAcceptedChangeSurvivesKillOfAll(t *testing.T) {
	c := startControlCluster(t)
	version := c.hosts[3].acceptDocument(t, "first", teamDocument("team"))
	awaitVersions(t, version, c.hosts...)
	version = c.hosts[0].acceptDocument(t, "second", teamDocument("patio"))
	awaitVersions(t, version, c.hosts...)
	for _, h := range c.hosts {
		h.kill()
	}
	for _, h := range c.hosts[:3] { // each host alone, from its disk
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
	must.Eq(t, version+1, c.hosts[1].acceptDocument(t, "third", teamDocument("team")))
}

// Hosts that were down during hundreds of changes serve at once after a restart,
// under the last version that they have, and then receive the newest.
func TestAbsentHostsCatchUp(t *testing.T) {
	const changes = 200
	c := startControlCluster(t)
	version := c.hosts[0].acceptDocument(t, "first", teamDocument("team"))
	awaitVersions(t, version, c.hosts...)
	stopped := c.hosts[2:] // a control host and the host without a disk
	for _, h := range stopped {
		h.kill()
	}
	versionAtStop := version
	for i := range changes {
		version = c.hosts[i%2].acceptDocument(t, fmt.Sprint("change-", i), teamDocument(fmt.Sprint("team-", i)))
		c.hosts[(i+1)%2].awaitVersion(t, version)
	}
	must.Eq(t, versionAtStop+changes, version)
	for _, h := range stopped {
		h.restart(t)
		begin := time.Now()
		h.awaitVersion(t, version)
		t.Logf("%s received version %d %v after it became ready", h.settings.Host, version, time.Since(begin))
	}
}

// A control host that lost its disk does not vote until its new disk is admitted
// to the control group. After that, a second control host may lose its disk.
func TestLostDiskThenAnother(t *testing.T) {
	c := startControlCluster(t)
	version := c.hosts[0].acceptDocument(t, "first", teamDocument("team"))
	for i, lost := range []*host{c.hosts[2], c.hosts[1]} {
		lost.kill()
		must.NoError(t, os.RemoveAll(lost.settings.DataFolder))
		lost.restart(t)
		awaitVersions(t, version, lost)
		s, err := lost.status()
		must.NoError(t, err)
		must.False(t, s.Voting)
		version = c.hosts[0].acceptDocument(t, fmt.Sprint("admit-", i), c.documentWithDisk(t, lost.settings.Host, s.Disk))
		awaitVersions(t, version, c.hosts...)
		eventually(t, "votes again", func() bool {
			s, err := lost.status()
			return err == nil && s.Voting
		})
	}
}

// documentWithDisk returns the applied document with another disk for a host.
func (c *controlCluster) documentWithDisk(t *testing.T, name, disk string) string {
	t.Helper()
	r, err := sendOperatorRequest[api.ConfigResponse](c.hosts[0], "GET", "/v1/config", nil)
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

// The network drops, without an error, all peer messages that a control host
// sends, or all that it sends and receives. The host then accepts no change and
// reports this within a bounded time. It still serves its callers, and does not
// disturb the other hosts when messages are delivered again.
func TestSilentCutOfAControlHost(t *testing.T) {
	for _, bothWays := range []bool{true, false} {
		t.Run(fmt.Sprintf("two-way %v", bothWays), func(t *testing.T) {
			c := startControlCluster(t)
			isolated := c.hosts[2]
			startMinion(t, "m1", "d2", isolated)
			isolated.awaitMinions(t, 1)
			version := c.hosts[0].acceptDocument(t, "first", teamDocument("team"))
			awaitVersions(t, version, c.hosts...)
			c.setDropping("h2", true, bothWays)
			r := isolated.confirm(t, isolated.planDocument(t, teamDocument("cut")), "from-the-cut", operatorName)
			must.Eq(t, result.NoMajority, r.Code, must.Sprint(r.Detail))
			job, err := isolated.submit(newRequest("k", "one"))
			must.NoError(t, err)
			must.Eq(t, result.OK, job.Code)
			for i := range 3 {
				version = c.hosts[0].acceptDocument(t, fmt.Sprint("second-", i), teamDocument(fmt.Sprint("patio-", i)))
			}
			awaitVersions(t, version, c.hosts[0], c.hosts[1], c.hosts[3])
			c.setDropping("h2", false, bothWays)
			awaitVersions(t, version, c.hosts...)
			must.Eq(t, version+1, c.hosts[1].acceptDocument(t, "after", teamDocument("team")))
		})
	}
}
