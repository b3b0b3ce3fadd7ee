package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["forming"] = scripted{run: forming, new: func() (*deployment, error) {
		return newDeployment(3, []string{"za", "za", "zb", "zb"})
	}}
}

// forming loses one of three control machines before the first manifest. An empty one replaces
// it at another address, as the pages say of such a loss.
func forming(d *deployment, trouble bool) error {
	if err := d.start(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		lost := d.controls[2]
		d.signal(lost, syscall.SIGKILL)
		time.Sleep(time.Second)
		next := d.network + ".4"
		d.zoneOf[next] = d.zoneOf[lost]
		d.controls = []string{d.controls[0], d.controls[1], next}
		if err := d.launch(next, false); err != nil {
			return err
		}
	}
	for _, z := range []string{"za", "zb"} {
		if err := d.addMinions(z, 6); err != nil {
			return err
		}
	}
	time.Sleep(contactTime + time.Second) // from here on the core is stable

	var wg sync.WaitGroup
	var served int
	begun, end := time.Now(), time.Now().Add(40*time.Second)
	acked := time.Duration(0)
	wg.Add(1)
	go func() {
		defer wg.Done()
		if d.declareText(routes(1, 1500, [3]string{"r1", host, "/q/"}), time.Until(end)) {
			acked = time.Since(begun)
		}
	}()
	for i := 0; time.Now().Before(end) && served < 20; i++ {
		j := d.newJob([]step{{Count: 2, CPU: 4000, MemMB: 64, EstMS: 100}}, 100*time.Millisecond)
		if d.try(j, d.fronts[i%len(d.fronts)], 1500*time.Millisecond) == "complete" {
			served++
		}
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	d.book.mu.Lock()
	defer d.book.mu.Unlock()
	d.book.noteLocked("first manifest acknowledged after %v (0: never), %d jobs served", acked, served)
	if acked == 0 || acked > ackTimeout {
		d.book.breakLocked("ACKS the first manifest has no acknowledgement after %v of a stable core", time.Since(begun))
	}
	if served == 0 {
		d.book.breakLocked("FAULT no request is served in %v", time.Since(begun))
	}
	if served > 0 && acked == 0 {
		return fmt.Errorf("jobs were served without a manifest")
	}
	return nil
}
