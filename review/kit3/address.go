package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["other-address"] = scripted{run: otherAddress, new: func() (*deployment, error) {
		return newDeployment(3, []string{"za", "za", "zb", "zb"})
	}}
}

// busyMinion waits for one of the minions from first to end-1 that has just started a task, and
// returns it and the next one.
func (d *deployment) busyMinion(first, end int) (m, next *minion) {
	for stop := time.Now().Add(3 * time.Second); time.Now().Before(stop); time.Sleep(5 * time.Millisecond) {
		for i := first; i < end; i++ {
			m := d.minions[i]
			m.mu.Lock()
			fresh := false
			for _, x := range m.running {
				fresh = fresh || time.Since(x.begun) < 100*time.Millisecond
			}
			m.mu.Unlock()
			if fresh {
				return m, d.minions[first+(i+1-first)%(end-first)]
			}
		}
	}
	return nil, nil
}

// otherAddress sends, once under the ids of two minions, a ping that no minion sends: one without
// slots and version, one with a service that no manifest names. Their address is that of another
// minion, their born the present time.
func otherAddress(d *deployment, trouble bool) error {
	if err := d.begin(); err != nil {
		return err
	}
	for _, z := range []string{"za", "zb"} {
		if err := d.addMinions(z, 6); err != nil {
			return err
		}
	}
	if err := d.settle(); err != nil {
		return err
	}
	time.Sleep(contactTime) // all machines are in touch
	var wg sync.WaitGroup
	if trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(5 * time.Second)
			for i := range 2 { // one of each zone
				m, other := d.busyMinion(6*i, 6*i+6)
				if m == nil {
					continue
				}
				ping := map[string]any{
					"service": m.service, "address": other.address, "zone": m.zone, "state": "ready", "cold_remaining_ms": 0, "labels": m.labels, "clock_ms": 1000,
					"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": m.memMB, "gpus": m.gpus}, "seq": 1, "born": time.Now().UnixMilli(),
				}
				if i > 0 {
					ping["service"], ping["slots"], ping["version"] = "svc-of-another", 8, "v1"
				}
				body, err := json.Marshal(ping)
				if err != nil {
					d.book.note("%v", err)
				}
				ip := d.controls[i%len(d.controls)]
				code, _, err := d.call("PUT", "http://"+at(ip, controlPort)+"/-/instances/"+m.id, "", string(body), time.Second)
				d.book.note("another writer's ping under %s to %s: %d %v: %s", m.id, ip, code, err, body)
				time.Sleep(2 * time.Second)
			}
		}()
	}
	complete := 0
	var mu sync.Mutex
	sent := 0
	// Half of the capacity is in use: two tasks fit on a minion.
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(140 * time.Millisecond) {
		j := d.newJob([]step{{Count: 2, CPU: 27_000, MemMB: 64, EstMS: 900}}, 900*time.Millisecond)
		f := d.fronts[sent%len(d.fronts)]
		sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			if d.try(j, f, 4*time.Second) == "complete" {
				mu.Lock()
				complete++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	d.book.note("%d jobs sent, %d served", sent, complete)
	if complete < sent/2 {
		return fmt.Errorf("only %d of %d jobs are served", complete, sent)
	}
	return nil
}
