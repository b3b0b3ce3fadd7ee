package main

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// cancelled plays jobs of which a third are cancelled by a DELETE while their tasks run.
// Rule UNASKED: a task starts later than cancel_ms after the cancelling was acknowledged,
// or runs stop_timeout_ms after that.
func cancelled(log *record, trouble bool) (bool, error) {
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
	if err := f.addMinions(64_000, 0); err != nil {
		return false, err
	}
	const workMS = 900
	small := func() []byte { return jobBody(20, []step{{Count: 1, CPU: 1000, MemMB: 64, EstimateMS: 20}}) }
	if !f.awaitService(20*time.Second, small) {
		return false, errors.New("no service before the traffic")
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	// Six steps of four tasks, one after the other.
	steps := []step{{Count: 4, CPU: 1000, MemMB: 64, EstimateMS: workMS}}
	for i := range 5 {
		steps = append(steps, step{Count: 4, CPU: 1000, MemMB: 64, EstimateMS: workMS, After: []int{i}})
	}
	entries := f.entries("")
	acks := make(map[string]time.Duration) // by job: when its cancelling was acknowledged
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range 24 {
		id, h := newJobID(), entries[i%len(entries)]
		clients.Go(func() { f.submit(h, id, 12*time.Second, jobBody(workMS, steps)) })
		if trouble && i%3 == 0 {
			clients.Go(func() {
				time.Sleep(300 * time.Millisecond)
				code, _ := call("DELETE", f.jobURL(h, id), routeHost, 4*time.Second, nil)
				log.printf("client: DELETE %s to %s answered: %d", id, h.name, code)
				if code == 410 || code >= 200 && code < 300 {
					mu.Lock()
					acks[id] = log.now()
					mu.Unlock()
				}
			})
		}
		time.Sleep(250 * time.Millisecond)
	}
	clients.Wait()
	broken := false
	for id, ack := range acks {
		limit := ack + cancelMS*time.Millisecond
		late := slices.DeleteFunc(f.log.runsOf(id), func(x runSpan) bool {
			return x.begin <= limit && x.end >= 0 && x.end <= limit+stopTimeoutMS*time.Millisecond
		})
		if len(late) > 0 {
			broken = true
			log.printf("job %s: cancelling acknowledged at %.3f; %d runs start after %.3f or run beyond it; the last starts at %.3f",
				id, ack.Seconds(), len(late), limit.Seconds(), late[len(late)-1].begin.Seconds())
		}
	}
	return broken, nil
}
