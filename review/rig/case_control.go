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
