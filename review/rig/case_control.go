package main

import (
	"errors"
	"fmt"
	"time"
)

// startControls adds and starts control hosts, one for each failure domain. The first three
// are the seeds. All start at the same time, for the first time.
func startControls(f *fleet, n int) ([]*host, error) {
	var controls []*host
	for i := range n {
		h, err := f.add(1+i, fmt.Sprintf("z%d", i+1), true)
		if err != nil {
			return nil, err
		}
		controls = append(controls, h)
		if i < 3 {
			f.seeds = append(f.seeds, f.address(h.ip, f.ports.control))
		}
	}
	return controls, startAll(f, controls)
}

func startAll(f *fleet, hosts []*host) error {
	for _, h := range hosts {
		if err := f.start(h); err != nil {
			return err
		}
	}
	return nil
}

// firstManifest: one of three control hosts loses its disk before the first manifest comes,
// and is back with an empty disk. The manifest has to be acknowledged while the core is
// stable.
func firstManifest(rec *record, trouble bool) (string, error) {
	const (
		contact    = 3 * time.Second // contact_ms
		catchUp    = 4 * time.Second // catch_up_s
		ackTimeout = 4 * time.Second // ack_timeout_ms
		ackWait    = 40 * time.Second
	)
	f, err := newFleet(rec, 1)
	if err != nil {
		return "", err
	}
	defer f.close()
	controls, err := startControls(f, 3)
	if err != nil {
		return "", err
	}
	for i := range 3 {
		e, err := f.add(11+i, fmt.Sprintf("z%d", i+1), false)
		if err != nil {
			return "", err
		}
		if err := f.start(e); err != nil {
			return "", err
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		lost := controls[2]
		f.kill(lost)
		if err := f.loseDisk(lost); err != nil {
			return "", err
		}
		time.Sleep(time.Second)
		if err := f.start(lost); err != nil {
			return "", err
		}
	}
	time.Sleep(contact + catchUp)
	if out := f.exitedHosts(); len(out) > 0 {
		return "", fmt.Errorf("hosts %v are not running", out)
	}
	rec.printf("all hosts run, and nothing was disrupted for %v; the operator sends the first manifest", contact+catchUp)
	op := &operator{f: f, controls: controls, client: newHTTPClient()}
	sent := time.Now()
	if h := op.declare(manifestVersion, ackWait); h != nil {
		took := time.Since(sent)
		rec.printf("acknowledged by %s after %v", h.ip, took)
		if took > ackTimeout {
			return fmt.Sprintf("Acks: the first manifest had no ack for %v in a stable core", took.Round(time.Millisecond)), nil
		}
		return "", nil
	}
	if out := f.exitedHosts(); len(out) > 0 {
		return "", fmt.Errorf("hosts %v have ended", out)
	}
	return fmt.Sprintf("Acks: the first manifest had no ack within %v in a stable core", ackWait), nil
}

// firstAck: two of five control hosts, as many as the system has to bear, lose their disks
// right after the first manifest was acknowledged. It has to be read back.
func firstAck(rec *record, trouble bool) (string, error) {
	const (
		recovery = 15 * time.Second // recovery_s
		readTime = 12 * time.Second // at least contact_ms
	)
	f, err := newFleet(rec, 2)
	if err != nil {
		return "", err
	}
	defer f.close()
	controls, err := startControls(f, 5)
	if err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	op := &operator{f: f, controls: controls, client: newHTTPClient()}
	acked := op.declare(manifestVersion, 20*time.Second)
	if acked == nil {
		return "", errors.New("the first manifest was not acknowledged")
	}
	rec.printf("the first manifest was acknowledged by %s", acked.ip)
	if trouble {
		lost := []*host{acked, controls[1]}
		if acked == controls[1] {
			lost[1] = controls[0]
		}
		for _, h := range lost {
			f.kill(h)
		}
		for _, h := range lost {
			if err := f.loseDisk(h); err != nil {
				return "", err
			}
		}
		time.Sleep(1200 * time.Millisecond)
		if err := startAll(f, lost); err != nil {
			return "", err
		}
	}
	time.Sleep(recovery)
	if out := f.exitedHosts(); len(out) > 0 {
		return "", fmt.Errorf("hosts %v are not running", out)
	}
	rec.printf("all hosts run again for %v; the operator reads the manifest", recovery)
	if v := op.read(readTime); v != manifestVersion {
		return fmt.Sprintf("LOST: version %d was acknowledged; what is read back within %v: version %d (0: no answer but 503)", manifestVersion, readTime, v), nil
	}
	return "", nil
}
