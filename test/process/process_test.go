// Package process tests real daemons, minions and command lines as separate
// processes on loopback.
package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

const (
	waitTimeout  = 20 * time.Second // bound on any wait, so long that no test result depends on the machine's speed
	pollInterval = 20 * time.Millisecond
	stopSignal   = syscall.SIGTERM
)

// binaries is the path of the directory that holds the built commands.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "laburnum")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a command that was started, with its output and exit error.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	output bytes.Buffer
	exited chan error // receives the result of Wait; readers put it back
}

func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(filepath.Join(binaries, name), args...), exited: make(chan error, 1)}
	p.cmd.Stdout = &p.output
	p.cmd.Stderr = &p.output
	must.NoError(t, p.cmd.Start())
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() { p.kill() })
	return p
}

// kill ends the process without warning.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	select {
	case err := <-p.exited:
		p.exited <- err
	case <-time.After(waitTimeout):
	}
	if p.t.Failed() {
		p.t.Logf("%s:\n%s", p.cmd.Path, p.output.String())
	}
}

// signal sends sig, for example SIGSTOP to freeze the process.
func (p *process) signal(sig syscall.Signal) {
	must.NoError(p.t, p.cmd.Process.Signal(sig))
}

// stop asks for a graceful shutdown and requires exit status 0.
func (p *process) stop() {
	p.t.Helper()
	p.signal(stopSignal)
	select {
	case err := <-p.exited:
		p.exited <- err
		must.NoError(p.t, err)
	case <-time.After(waitTimeout):
		p.t.Fatal("the process did not exit within the wait timeout after SIGTERM")
	}
}

// host is a laburnumd process and its settings.
type host struct {
	*process
	settings     settings.Settings
	settingsFile string
}

// firstPort is below the kernel's ephemeral port range.
const firstPort = 20000

// portOffset is the number of ports handed out; they follow firstPort.
var portOffset atomic.Int32

// loopback returns an address of 127.0.0.0/8 that is derived from the process ID,
// so that concurrent test processes do not use each other's ports.
func loopback() string {
	const octet = 254
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/octet/octet%octet, 1+pid/octet%octet, 1+pid%octet)
}

// freeAddress returns a loopback address and port that it returns only once.
func freeAddress(*testing.T) string {
	return net.JoinHostPort(loopback(), fmt.Sprint(firstPort+portOffset.Add(1)))
}

// hostSettings returns the settings of a host with free ports and no peers.
func hostSettings(t *testing.T, name, domain string) settings.Settings {
	t.Helper()
	s := settings.Defaults()
	s.Host, s.FailureDomain, s.Region = name, domain, "test"
	s.Listen = settings.Listen{
		Callers: freeAddress(t), Minions: freeAddress(t), Operators: freeAddress(t), Peers: freeAddress(t),
	}
	s.Timing.ClockErrorMS = 1
	s.Timing.HeartbeatMS = 100
	s.Log.Level = "debug"
	return s
}

// makeAllPeers makes every host a peer of every other.
func makeAllPeers(all ...*settings.Settings) {
	for _, s := range all {
		s.Peers = nil
		for _, o := range all {
			if o != s {
				s.Peers = append(s.Peers, settings.Peer{
					Name: o.Host, FailureDomain: o.FailureDomain, Region: o.Region, Address: o.Listen.Peers,
				})
			}
		}
	}
}

// startHost writes the settings to a file, starts laburnumd and waits until it is
// ready.
func startHost(t *testing.T, s settings.Settings) *host {
	t.Helper()
	file := filepath.Join(t.TempDir(), s.Host+".json")
	text, err := json.Marshal(s)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(file, text, 0o644))
	h := &host{settings: s, settingsFile: file}
	h.restart(t)
	return h
}

// restart starts laburnumd with the host's settings file and waits until it is
// ready.
func (h *host) restart(t *testing.T) {
	t.Helper()
	h.process = startProcess(t, "laburnumd", "-settings", h.settingsFile)
	eventually(t, "host ready", func() bool {
		resp, err := http.Get("http://" + h.settings.Listen.Operators + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// eventually polls f until it returns true, and fails the test after waitTimeout.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(waitTimeout), wait.Gap(pollInterval)), must.Sprint(what))
}

// startMinion starts a stand-in minion (lwbench minion) that announces itself to
// the hosts.
func startMinion(t *testing.T, name, domain string, hosts ...*host) *process {
	t.Helper()
	list := ""
	for i, h := range hosts {
		if i > 0 {
			list += ","
		}
		list += h.settings.Listen.Minions
	}
	return startProcess(t, "lwbench", "minion", "-name", name, "-domain", domain, "-hosts", list)
}

// status returns the host's status as its operator API reports it.
func (h *host) status() (api.StatusResponse, error) {
	var s api.StatusResponse
	resp, err := http.Get("http://" + h.settings.Listen.Operators + "/v1/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// awaitMinions waits until the host lists exactly n minions that are ready.
func (h *host) awaitMinions(t *testing.T, n int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s lists %d ready minions", h.settings.Host, n), func() bool {
		s, err := h.status()
		if err != nil {
			return false
		}
		ready := 0
		for _, m := range s.Minions {
			if m.State == "ready" {
				ready++
			}
		}
		return ready == n
	})
}

// newRequest returns a first attempt with the given payloads.
func newRequest(key string, payloads ...string) api.SubmitRequest {
	r := api.SubmitRequest{
		Key: key, Attempt: 1, Team: "team", Service: "despacho",
		DeadlineMS: 10000, SubmittedAtMS: time.Now().UnixMilli(),
	}
	for _, p := range payloads {
		r.Tasks = append(r.Tasks, api.TaskBody{Payload: p})
	}
	return r
}

// submit sends the request and waits for the answer.
func (h *host) submit(r api.SubmitRequest) (api.JobResponse, error) {
	var out api.JobResponse
	body, err := json.Marshal(r)
	if err != nil {
		return out, err
	}
	resp, err := http.Post("http://"+h.settings.Listen.Callers+"/v1/jobs", "application/json", bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}
