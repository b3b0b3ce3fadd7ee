package main

import (
	"errors"
	"sync"
	"time"
)

// zeroCPU plays jobs whose tasks request accelerators and memory, and no cpu. Each
// hundredth job requests 0.1 cores. Rule Fault: on a tenth of the machines in use, two at
// least, processes end by themselves three times.
func zeroCPU(log *record, trouble bool) (bool, error) {
	f, err := newFleet(shape{zones: 3, entriesPerZone: 2, minionsPerZone: 4, toleratedLosses: 1}, log)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.start(); err != nil {
		return false, err
	}
	if !f.putManifest(1, 10*time.Second) {
		return false, errors.New("the first manifest was not acknowledged")
	}
	if err := f.addMinions(64_000, 8); err != nil {
		return false, err
	}
	small := func() []byte { return jobBody(20, []step{{Count: 1, CPU: 100, MemMB: 64, EstimateMS: 20}}) }
	if !f.awaitService(20*time.Second, small) {
		return false, errors.New("no service before the traffic")
	}
	gpuOnly := step{Count: 1, MemMB: 64, GPUs: 1, EstimateMS: 20}
	if !trouble {
		gpuOnly.CPU = 100
	}
	const jobs, interval, longest = 8000, 10 * time.Millisecond, 90 * time.Second // 100 jobs a second at most
	entries := f.entries("")
	var clients sync.WaitGroup
	answers := make(map[int]int)
	var mu sync.Mutex
	begin := time.Now()
	for i := range jobs {
		if time.Since(begin) > longest {
			break // a slow machine sends fewer
		}
		h, body := entries[i%len(entries)], small()
		if i%100 != 0 {
			body = jobBody(20, []step{gpuOnly})
		}
		clients.Go(func() {
			code, _ := f.submit(h, newJobID(), 1500*time.Millisecond, body)
			mu.Lock()
			defer mu.Unlock()
			answers[code]++
		})
		time.Sleep(interval)
	}
	clients.Wait()
	log.printf("answers by status, 0 for none: %v", answers)
	thrice := 0
	for _, h := range f.hosts {
		h.mu.Lock()
		log.printf("%s: its process ended by itself %d times", h.name, h.ownExits)
		if h.ownExits >= 3 {
			thrice++
		}
		h.mu.Unlock()
	}
	log.printf("%d of %d machines had three such ends or more", thrice, len(f.hosts))
	return thrice >= 2, nil
}
