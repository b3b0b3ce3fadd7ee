package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() {
	cases["other-writer"] = scripted{run: otherWriter, new: func() (*deployment, error) {
		return newDeployment(3, []string{"za", "za", "zb", "zb"})
	}}
}

// otherWriter sends, once under the id of each minion, a ping that no minion sends: without its
// slots and version, or with a service that no manifest names. Its born is the present time.
func otherWriter(d *deployment, trouble bool) error {
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
	sent, served := 0, 0
	load := func(span time.Duration) (int, int) {
		n, ok := 0, 0
		results := make(chan string, 1000)
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			j := d.newJob([]step{{Count: 2, CPU: 4000, MemMB: 64, EstMS: 100}}, 100*time.Millisecond)
			f := d.fronts[n%len(d.fronts)]
			go func() { results <- d.try(j, f, 1500*time.Millisecond) }()
			n++
		}
		for range n {
			if <-results == "complete" {
				ok++
			}
		}
		sent, served = sent+n, served+ok
		d.book.note("%d jobs sent, %d served", n, ok)
		return n, ok
	}
	if n, ok := load(5 * time.Second); ok < n*9/10 {
		return fmt.Errorf("only %d of %d jobs are served before the disruption", ok, n)
	}
	if trouble {
		for i, m := range d.minions {
			ping := map[string]any{
				"service": m.service, "address": m.address, "zone": m.zone, "state": "ready", "cold_remaining_ms": 0, "labels": m.labels, "clock_ms": 1000,
				"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": m.memMB, "gpus": m.gpus}, "seq": 1, "born": time.Now().UnixMilli(),
			}
			if i%2 == 0 {
				ping["service"], ping["slots"], ping["version"] = "svc-of-another", 8, "v1"
			}
			body, err := json.Marshal(ping)
			if err != nil {
				return err
			}
			ip := d.controls[i%len(d.controls)]
			code, _, err := d.call("PUT", "http://"+at(ip, controlPort)+"/-/instances/"+m.id, "", string(body), time.Second)
			d.book.note("another writer's ping under %s to %s: %d %v: %s", m.id, ip, code, err, body)
		}
	}
	load(30 * time.Second)
	n, ok := load(5 * time.Second)
	d.book.mu.Lock()
	defer d.book.mu.Unlock()
	if (sent-served)*100 > sent*60 {
		d.book.breakLocked("GATE %d of %d requests are refused or fail; in the last 5 s %d of %d are served", sent-served, sent, ok, n)
	}
	return nil
}
