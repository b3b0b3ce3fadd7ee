package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	hostProgram  = "target/laburnum-host"
	serviceName  = "despacho"
	restartDelay = 500 * time.Millisecond // from the end of a process until the platform starts it again
	callerPort   = 8161
	controlPort  = 8166
	readyPort    = 8167
	peerPort     = 7720

	peerListenPort = 7721 // of a host behind a proxy
)

// shape says how large a fleet is.
type shape struct {
	zones           int
	entriesPerZone  int
	minionsPerZone  int
	toleratedLosses int // there are 2*toleratedLosses+1 control hosts
}

// host is one machine of the system with its process.
type host struct {
	name, ip, zone string
	entry, control bool
	settings       string
	data           string
	linked         bool // other hosts connect to it through fleet.links

	mu       sync.Mutex
	cmd      *exec.Cmd
	down     bool // the test keeps the process down
	ownExits int  // ends of the process that the test did not cause
}

// started is the fleet that must be closed before this process ends.
var started atomic.Pointer[fleet]

// fleet is a small deployment: real processes, and minions in this process.
type fleet struct {
	shape    shape
	net      string // the first three bytes of all addresses of hosts
	folder   string
	hosts    []*host
	minions  []*minion
	log      *record
	first    atomic.Bool // first_start in the settings that are written next
	ctx      context.Context
	cancel   context.CancelFunc
	watchers sync.WaitGroup
	seeds    []string
	links    *network   // nil: hosts connect to each other directly
	starting sync.Mutex // held while a process is started and while the fleet is closed
}

// newFleet chooses addresses and a temporary folder. It starts nothing.
func newFleet(s shape, log *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "laburnum-case-")
	if err != nil {
		return nil, err
	}
	f := &fleet{shape: s, folder: folder, log: log}
	f.first.Store(true)
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for try := 0; ; try++ {
		f.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if f.portsFree() {
			break
		}
		if try == 100 {
			return nil, fmt.Errorf("no free loopback addresses")
		}
	}
	for i := range 2*s.toleratedLosses + 1 {
		f.addHost(&host{name: fmt.Sprintf("core-%d", i+1), zone: f.zone(i % s.zones), control: true}, 10+i)
	}
	for z := range s.zones {
		for i := range s.entriesPerZone {
			f.addHost(&host{name: fmt.Sprintf("front-%s-%d", f.zone(z), i+1), zone: f.zone(z), entry: true}, 100+10*z+i)
		}
	}
	for _, h := range f.hosts {
		if h.control && len(f.seeds) < 3 {
			f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", h.ip, controlPort))
		}
	}
	started.Store(f)
	return f, nil
}

func (f *fleet) zone(i int) string { return "sul-" + string(rune('a'+i)) }

// portsFree reports whether a process can listen on the first address.
func (f *fleet) portsFree() bool {
	for _, port := range []int{callerPort, controlPort, peerPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", f.net, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (f *fleet) addHost(h *host, last int) {
	h.ip = fmt.Sprintf("%s.%d", f.net, last)
	h.settings = filepath.Join(f.folder, h.name+".json")
	if h.control {
		h.data = filepath.Join(f.folder, "data-"+h.name)
	}
	f.hosts = append(f.hosts, h)
}

// host returns the host with a name.
func (f *fleet) host(name string) *host {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// controls and entries return the hosts of a role; zone may be empty.
func (f *fleet) controls() []*host {
	var out []*host
	for _, h := range f.hosts {
		if h.control {
			out = append(out, h)
		}
	}
	return out
}

func (f *fleet) entries(zone string) []*host {
	var out []*host
	for _, h := range f.hosts {
		if h.entry && (zone == "" || h.zone == zone) {
			out = append(out, h)
		}
	}
	return out
}

// writeSettings writes the settings that deploy/host.json.tmpl yields.
func (f *fleet) writeSettings(h *host) error {
	s := map[string]any{
		"name": h.name, "ip": h.ip, "failure_domain": h.zone, "region": "sul", "peer_port": fmt.Sprint(peerPort), "seeds": f.seeds,
		"tolerated_losses": f.shape.toleratedLosses, "link_mbps": 1000.0, "stop_grace_s": 6, "first_start": f.first.Load(), "log": map[string]string{"level": "info"},
	}
	if h.entry {
		s["entry"], s["caller_address"], s["ready_address"] = true, fmt.Sprintf("%s:%d", h.ip, callerPort), fmt.Sprintf("%s:%d", h.ip, readyPort)
	}
	if h.control {
		s["control"], s["control_address"], s["data_folder"] = true, fmt.Sprintf("%s:%d", h.ip, controlPort), h.data
	}
	if f.links != nil {
		listen := fmt.Sprintf("%s:%d", h.ip, peerListenPort)
		s["peer_listen"] = listen
		if !h.linked {
			if err := f.links.connect(h, fmt.Sprintf("%s:%d", h.ip, peerPort), listen); err != nil {
				return err
			}
			h.linked = true
		}
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, b, 0o600)
}

// start starts all hosts. Each process that ends is started again after restartDelay, as
// the platform does, unless the test keeps it down.
func (f *fleet) start() error {
	for _, h := range f.hosts {
		if err := f.startHost(h); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startHost(h *host) error {
	f.starting.Lock()
	defer f.starting.Unlock()
	if err := f.ctx.Err(); err != nil {
		return err
	}
	if err := f.writeSettings(h); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(hostProgram, "-settings", h.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	h.mu.Lock()
	h.cmd, h.down = cmd, false
	h.mu.Unlock()
	f.log.printf("%s: process started", h.name)
	f.watchers.Go(func() {
		err := cmd.Wait()
		out.Close()
		h.mu.Lock()
		own := !h.down && f.ctx.Err() == nil
		if own {
			h.ownExits++
		}
		h.mu.Unlock()
		if !own {
			return
		}
		f.log.printf("%s: process ended by itself: %v; %s", h.name, err, lastPanic(out.Name()))
		time.Sleep(restartDelay)
		if f.ctx.Err() == nil {
			f.first.Store(false)
			if err := f.startHost(h); err != nil {
				f.log.printf("%s: can't be started: %v", h.name, err)
			}
		}
	})
	return nil
}

// lastPanic returns the last line of a process's log that names a panic.
func lastPanic(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	i := strings.LastIndex(string(text), "panic: ")
	if i < 0 {
		return "no panic in its log"
	}
	line, _, _ := strings.Cut(string(text[i:]), "\n")
	return line
}

// signal sends a signal to a host's process. After SIGKILL the process stays down until
// startHost is called.
func (f *fleet) signal(h *host, sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		h.down = true
	}
	f.log.printf("%s: gets %v", h.name, sig)
	_ = h.cmd.Process.Signal(sig) // the process may have ended
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	f.starting.Lock()
	f.cancel()
	f.starting.Unlock()
	for _, h := range f.hosts {
		h.mu.Lock()
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT) // it may have ended
			_ = h.cmd.Process.Kill()
		}
		h.mu.Unlock()
	}
	f.watchers.Wait()
	_ = os.RemoveAll(f.folder) // a folder that stays does no harm
}
