package main

import (
	"fmt"
	"time"
)

func init() {
	cases["host-name"] = scripted{run: hostName, new: func() (*deployment, error) {
		return newDeployment(3, []string{"za", "za", "zb", "zb"})
	}}
}

// hostName adds a route whose host has capital letters, as the clients' Host header has.
func hostName(d *deployment, trouble bool) error {
	added := "quotes.portao-firme.example"
	if trouble {
		added = "Quotes.Portao-Firme.example"
	}
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
	if !d.declareText(routes(2, 1500, [3]string{"r1", host, "/q/"}, [3]string{"r2", added, "/m/"}), 10*time.Second) {
		return fmt.Errorf("the second manifest was not acknowledged")
	}
	time.Sleep(configApply + 500*time.Millisecond)
	for i := range 12 {
		f := d.fronts[i%len(d.fronts)]
		j := d.newJob([]step{{Count: 2, CPU: 4000, MemMB: 64, EstMS: 100}}, 100*time.Millisecond)
		j.host, j.prefix = added, "/m/"
		if answer := d.try(j, f, 1500*time.Millisecond); answer == "404" {
			d.book.mu.Lock()
			d.book.breakLocked("CONFIG %s is refused with 404 at %s, though the route is there", j.id, f)
			d.book.mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, c := range d.controls {
		code, body, err := d.call("GET", "http://"+at(c, controlPort)+"/-/config", "", "", 2*time.Second)
		d.book.note("manifest read at %s: %d %v %.200s", c, code, err, body)
	}
	return nil
}
