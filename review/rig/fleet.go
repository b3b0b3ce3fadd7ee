package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is the program of the deploy file, relative to the repository's root.
const program = "target/laburnum-host"

// host is one host of the system: its settings and its process.
type host struct {
	ip       string
	domain   string
	control  bool
	first    bool // the whole system starts for the first time
	settings string
	data     string // data folder; empty: no disk
	process  *exec.Cmd
	exited   chan struct{} // closed when the process has ended
}

// fleet is a small system on loopback addresses, each host with its own.
type fleet struct {
	rec       *record
	folder    string // temporary
	net       string // first three numbers of the addresses
	ports     ports
	tolerated int // control hosts that may be lost at the same time
	seeds     []string
	hosts     map[string]*host
}

type ports struct{ caller, ready, control, peer, metrics int }

// newFleet chooses a network of loopback addresses and free ports.
func newFleet(rec *record, tolerated int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "laburnum-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder, tolerated: tolerated, hosts: make(map[string]*host)}
	f.net = fmt.Sprintf("127.%d.%d", 32+rand.IntN(180), 1+rand.IntN(250))
	for _, p := range []*int{&f.ports.caller, &f.ports.ready, &f.ports.control, &f.ports.peer, &f.ports.metrics} {
		if *p, err = freePort(f.net + ".1"); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freePort returns a port that no process uses on the address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// add adds a host that is not started yet. Control hosts have a disk.
func (f *fleet) add(number int, domain string, control bool) (*host, error) {
	h := &host{ip: fmt.Sprintf("%s.%d", f.net, number), domain: domain, control: control, first: true}
	h.settings = filepath.Join(f.folder, h.ip+".json")
	if control {
		h.data = filepath.Join(f.folder, "data-"+h.ip)
		if err := os.MkdirAll(h.data, 0o755); err != nil {
			return nil, err
		}
	}
	f.hosts[h.ip] = h
	return h, nil
}

func (f *fleet) address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// writeSettings writes the settings with the keys of deploy/host.json.tmpl.
func (f *fleet) writeSettings(h *host) error {
	s := map[string]any{
		"name": h.ip, "ip": h.ip, "failure_domain": h.domain, "region": "r", "metrics_port": f.ports.metrics,
		"peer_port": fmt.Sprint(f.ports.peer), "seeds": f.seeds, "tolerated_losses": f.tolerated, "link_mbps": 1000.0,
		"stop_grace_s": 6, "first_start": h.first, "log": map[string]string{"level": "info"},
	}
	if h.control {
		s["control"], s["control_address"], s["data_folder"] = true, f.address(h.ip, f.ports.control), h.data
	} else {
		s["entry"], s["caller_address"], s["ready_address"] = true, f.address(h.ip, f.ports.caller), f.address(h.ip, f.ports.ready)
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, text, 0o644)
}

// start runs the host's process as the deploy file does. Its log goes to a file of the
// temporary folder.
func (f *fleet) start(h *host) error {
	if err := f.writeSettings(h); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, h.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	h.process = exec.Command(program, "-settings", h.settings)
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait() // killed processes end with an error
		close(exited)
	}(h.process, h.exited)
	f.rec.printf("host %s (%s, control %v, first_start %v) started", h.ip, h.domain, h.control, h.first)
	return nil
}

// kill ends the host's process with SIGKILL and waits for its end.
func (f *fleet) kill(h *host) {
	f.rec.printf("host %s: SIGKILL", h.ip)
	_ = h.process.Process.Signal(syscall.SIGKILL) // it may have ended already
	<-h.exited
}

// loseDisk empties the data folder of a host that is not running. The platform starts the
// host again with bootstrap set to false.
func (f *fleet) loseDisk(h *host) error {
	f.rec.printf("host %s: disk lost", h.ip)
	if err := os.RemoveAll(h.data); err != nil {
		return err
	}
	h.first = false
	return os.MkdirAll(h.data, 0o755)
}

// exitedHosts returns the hosts whose processes have ended.
func (f *fleet) exitedHosts() []string {
	var out []string
	for _, h := range f.hosts {
		select {
		case <-h.exited:
			out = append(out, h.ip)
		default:
		}
	}
	return out
}

// close ends all processes and removes the temporary folder. With LW_KEEP set, the folder
// stays, for the logs.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.process != nil {
			_ = h.process.Process.Kill() // it may have ended already
			select {
			case <-h.exited:
			case <-time.After(5 * time.Second):
			}
		}
	}
	if os.Getenv("LW_KEEP") != "" {
		fmt.Println("logs:", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder) // a rest in the temporary folder does no harm
}
