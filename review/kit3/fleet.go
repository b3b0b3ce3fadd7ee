package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	program = "target/laburnum-host"
	beat    = 1500 * time.Millisecond
	host    = "h.example"
)

// Ports are the same on all machines. newDeployment replaces those that are not free.
var frontPort, readyPort, controlPort, peerPort, metricsPort = 8161, 8167, 8166, 7720, 9464

// freePort returns the first port from p on that is free at all addresses.
func freePort(p int, addresses []string) (int, error) {
next:
	for end := p + 100; p < end; p++ {
		for _, ip := range addresses {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
			if err != nil {
				continue next
			}
			_ = l.Close()
		}
		return p, nil
	}
	return 0, fmt.Errorf("no free port below %d", p)
}

// at returns an address with a port.
func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// deployment is a small deployment of real processes on loopback addresses.
type deployment struct {
	book     *book
	network  string // first three bytes of the addresses
	folder   string
	controls []string
	fronts   []string
	zoneOf   map[string]string
	mu       sync.Mutex
	process  map[string]*exec.Cmd
	minions  []*minion
	client   *http.Client
	jobs     atomic.Uint64
	done     chan struct{}
	idBase   uint64
}

func newDeployment(controls int, fronts []string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "kit3")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		book: newBook(), folder: folder, zoneOf: make(map[string]string), process: make(map[string]*exec.Cmd), done: make(chan struct{}), idBase: rand.Uint64() << 24,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}},
	}
	d.network = fmt.Sprintf("127.%d.%d", 20+os.Getpid()/250%200, 1+os.Getpid()%250)
	for i := range controls {
		ip := fmt.Sprintf("%s.%d", d.network, 1+i)
		d.controls = append(d.controls, ip)
		d.zoneOf[ip] = "z" + string(rune('a'+i%3))
	}
	for i, zone := range fronts {
		ip := fmt.Sprintf("%s.%d", d.network, 21+i)
		d.fronts = append(d.fronts, ip)
		d.zoneOf[ip] = zone
	}
	for i, port := range []*int{&frontPort, &readyPort, &controlPort, &peerPort, &metricsPort} {
		if *port, err = freePort(*port+100*i, append(append([]string{d.network + ".4"}, d.controls...), d.fronts...)); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) isControl(ip string) bool { return has(d.controls, ip) }

// settings writes the settings file of a machine as deploy/host.json.tmpl is filled in.
func (d *deployment) settings(ip string, first bool) (string, error) {
	s := map[string]any{
		"name": ip, "ip": ip, "failure_domain": d.zoneOf[ip], "region": "r", "failure_domains": []string{"za", "zb", "zc"},
		"metrics_port": metricsPort, "peer_port": strconv.Itoa(peerPort), "tolerated_losses": 1, "link_mbps": 1000, "processor_share": 0.4, "processor_cores": 1, "memory_mb": 284,
		"separate_interfering": true, "stop_grace_s": 6, "first_start": first, "log": map[string]string{"level": "info"},
	}
	var seeds []string
	for _, c := range d.controls[:min(3, len(d.controls))] {
		seeds = append(seeds, at(c, controlPort))
	}
	s["seeds"] = seeds
	if d.isControl(ip) {
		s["control"], s["control_address"], s["data_folder"] = true, at(ip, controlPort), filepath.Join(d.folder, "data-"+ip)
	} else {
		s["entry"], s["caller_address"], s["ready_address"] = true, at(ip, frontPort), at(ip, readyPort)
	}
	text, err := json.Marshal(s)
	if err != nil {
		return "", err
	}
	path := filepath.Join(d.folder, ip+".json")
	return path, os.WriteFile(path, text, 0o600)
}

func (d *deployment) launch(ip string, first bool) error {
	path, err := d.settings(ip, first)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "-settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.process[ip] = cmd
	d.mu.Unlock()
	go func() {
		err := cmd.Wait()
		d.book.note("process of %s has ended: %v", ip, err)
	}()
	return nil
}

func (d *deployment) signal(ip string, sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.process[ip]; c != nil {
		d.book.note("signal %v to %s", sig, ip)
		_ = c.Process.Signal(sig)
	}
}

func (d *deployment) stop() {
	close(d.done)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.process {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
	for _, m := range d.minions {
		_ = m.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
}

// call sends one request and returns the status and the body.
func (d *deployment) call(method, url, hostName, body string, timeout time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	if hostName != "" {
		r.Host = hostName
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func manifest(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r1","host":"h.example","path_prefix":"/q/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"svc","max_attempts":4,"stretch":20}],`+
		`"services":[{"name":"svc","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":false,"standby":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version)
}

func (d *deployment) declare(version int, within time.Duration) bool {
	return d.declareText(manifest(version), within)
}

// declareText sends a manifest to the control machines until it is acknowledged.
func (d *deployment) declareText(text string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); {
		ip := d.controls[rand.IntN(len(d.controls))]
		code, _, err := d.call("PUT", "http://"+at(ip, controlPort)+"/-/config", "", text, 4*time.Second)
		d.book.note("manifest %.14s to %s: %d %v", text, ip, code, err)
		if code == 200 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// addMinions starts minions and their announcements.
func (d *deployment) addMinions(zone string, n int) error {
	for range n {
		m, err := newMinion(d.book, d.network+".200", fmt.Sprintf("i-%04x", len(d.minions)+1), zone)
		if err != nil {
			return err
		}
		d.minions = append(d.minions, m)
		go d.announce(m)
	}
	return nil
}

func (d *deployment) announce(m *minion) {
	for {
		path, body := m.announcement()
		for _, i := range rand.Perm(len(d.controls)) {
			if code, _, _ := d.call("PUT", "http://"+at(d.controls[i], controlPort)+path, "", body, time.Second); code == 200 {
				break
			}
		}
		select {
		case <-d.done:
			return
		case <-time.After(beat):
		}
	}
}

// newJob registers a job under a new id.
func (d *deployment) newJob(steps []step, lasts time.Duration) *jobEntry {
	j := &jobEntry{id: fmt.Sprintf("%016x", d.idBase+d.jobs.Add(1)), steps: steps, lasts: lasts, done: make(map[string]bool), sentAt: time.Now()}
	j.spec = "spec of " + j.id
	d.book.mu.Lock()
	d.book.jobs[j.id] = j
	d.book.mu.Unlock()
	return j
}

func (j *jobEntry) body() string {
	b, _ := json.Marshal(map[string]any{"task_spec": j.spec, "steps": j.steps, "best_effort": true})
	return string(b)
}

// try sends a job once and returns "complete", "failed", a status, or "none" without an answer.
func (d *deployment) try(j *jobEntry, front string, deadline time.Duration) string {
	d.book.note("send %s to %s", j.id, front)
	prefix, hostName := cmp.Or(j.prefix, "/q/"), cmp.Or(j.host, host)
	code, body, err := d.call("POST", "http://"+at(front, frontPort)+prefix+j.id, hostName, j.body(), deadline)
	answer := fmt.Sprint(code)
	switch {
	case err != nil:
		answer = "none"
	case code == 200 && strings.Contains(body, `"complete"`):
		answer = "complete"
	case code == 200 && strings.Contains(body, `"failed"`):
		answer = "failed"
	}
	d.book.answered(j, answer)
	return answer
}

// begin starts all processes, declares the first manifest and waits until jobs complete at
// every front.
func (d *deployment) begin() error {
	if err := d.start(); err != nil {
		return err
	}
	if !d.declare(1, 15*time.Second) {
		return fmt.Errorf("the first manifest was not acknowledged")
	}
	return nil
}

// settle waits until a job has completed at each front.
func (d *deployment) settle() error {
	for _, f := range d.fronts {
		ok := false
		for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && !ok; time.Sleep(100 * time.Millisecond) {
			j := d.newJob([]step{{Count: 1, CPU: 1000, MemMB: 64, EstMS: 50}}, 50*time.Millisecond)
			ok = d.try(j, f, 3*time.Second) == "complete"
		}
		if !ok {
			return fmt.Errorf("no job completes at %s", f)
		}
	}
	return nil
}

// start starts all processes.
func (d *deployment) start() error {
	for _, ip := range append(append([]string{}, d.controls...), d.fronts...) {
		if err := d.launch(ip, true); err != nil {
			return err
		}
	}
	return nil
}
