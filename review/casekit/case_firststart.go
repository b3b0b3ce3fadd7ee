package main

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// firstStart plays the first start of a deployment in which one control machine loses its
// disk before the first manifest is sent. Rule Acks: a valid manifest has no ack after
// ack_timeout_ms of steady state.
func firstStart(log *record, trouble bool) (bool, error) {
	f, err := newFleet(shape{zones: 3, entriesPerZone: 2, minionsPerZone: 4, toleratedLosses: 1}, log)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	f.first.Store(false)
	if trouble {
		h := f.host("core-2")
		f.signal(h, syscall.SIGKILL)
		time.Sleep(time.Second)
		if err := os.RemoveAll(h.data); err != nil {
			return false, err
		}
		log.printf("%s: loses its disk", h.name)
		if err := f.startHost(h); err != nil {
			return false, err
		}
	}
	if err := f.addMinions(64_000, 0); err != nil {
		return false, err
	}
	small := func() []byte { return jobBody(20, []step{{Count: 1, CPU: 1000, MemMB: 64, EstimateMS: 20}}) }
	// After catch_up_s the machine no longer counts as lost; contact_ms later the core has
	// been stable for long enough.
	time.Sleep(7 * time.Second)
	const limit = 60 * time.Second // ack_timeout_ms is 4 s
	if !f.putManifest(1, limit) {
		log.printf("the first manifest had no ack in %v", limit)
		for _, h := range f.controls() {
			code, _ := call("GET", f.controlURL(h, "/-/config"), "", 4*time.Second, nil)
			log.printf("operator: GET manifest from %s: %d", h.name, code)
		}
		for _, h := range f.entries("") {
			f.submit(h, newJobID(), 1500*time.Millisecond, small())
		}
		return true, nil
	}
	if !f.awaitService(10*time.Second, small) {
		return false, errors.New("no service after the ack")
	}
	return false, nil
}
