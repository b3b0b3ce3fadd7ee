package main

import (
	"fmt"
	"time"
)

// Bounds of the small deployment that the cases stand in for.
const (
	ackTimeout  = 4 * time.Second
	contactTime = 3 * time.Second
	cancelTime  = 3 * time.Second
	configApply = 2 * time.Second
)

func init() {
	cases["dropped-route"] = scripted{run: droppedRoute, new: func() (*deployment, error) {
		return newDeployment(3, []string{"za", "za", "zb", "zb"})
	}}
}

// routes returns a manifest with the given routes: name, host and prefix.
func routes(version, timeoutMS int, list ...[3]string) string {
	out := ""
	for i, r := range list {
		if i > 0 {
			out += ","
		}
		out += fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"kind":"unsafe","timeout_ms":%d,"target_latency_ms":60,"priority":0,"service":"svc","max_attempts":4,"stretch":20}`,
			r[0], r[1], r[2], timeoutMS)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"svc","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":false,"standby":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, out)
}

// noStartsAfter sets the time after which no task of the job may start or go on.
func (d *deployment) noStartsAfter(j *jobEntry, t time.Time) {
	d.book.mu.Lock()
	defer d.book.mu.Unlock()
	j.noStartsAfter = t
}

// droppedRoute cancels a running job after a manifest has dropped its route.
func droppedRoute(d *deployment, trouble bool) error {
	kept, dropped := [3]string{"r1", host, "/q/"}, [3]string{"r2", host, "/p/"}
	if err := d.start(); err != nil {
		return err
	}
	if !d.declareText(routes(1, 1500, kept, dropped), 15*time.Second) {
		return fmt.Errorf("the first manifest was not acknowledged")
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

	// A job of short tasks, one after the other.
	var steps []step
	for i := range 40 {
		s := step{Count: 2, CPU: 4000, MemMB: 64, EstMS: 500}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	j := d.newJob(steps, 500*time.Millisecond)
	j.prefix = "/p/"
	answered := make(chan string, 1)
	go func() { answered <- d.try(j, d.fronts[0], 60*time.Second) }()
	time.Sleep(1500 * time.Millisecond)
	next := routes(2, 1600, kept, dropped)
	if trouble {
		next = routes(2, 1600, kept)
	}
	if !d.declareText(next, 10*time.Second) {
		return fmt.Errorf("the second manifest was not acknowledged")
	}
	time.Sleep(configApply + 500*time.Millisecond)

	// The client cancels the job, at one front after the other until it is acknowledged.
	sent := time.Now()
	limit := sent.Add(ackTimeout + cancelTime)
	d.noStartsAfter(j, limit)
	acked := false
	for i := 0; !acked && time.Since(sent) < 12*time.Second; i++ {
		f := d.fronts[i%len(d.fronts)]
		code, _, err := d.call("DELETE", "http://"+at(f, frontPort)+"/p/"+j.id, host, "", 2*time.Second)
		d.book.note("cancel %s at %s: %d %v", j.id, f, code, err)
		if code/100 == 2 || code == 410 {
			acked = true
			limit = time.Now().Add(cancelTime)
			d.noStartsAfter(j, limit)
		} else {
			time.Sleep(time.Second)
		}
	}
	time.Sleep(time.Until(limit) + 2*time.Second)
	d.book.mu.Lock()
	running := 0
	for _, list := range d.book.runs {
		for _, e := range list {
			if e.job == j {
				running++
			}
		}
	}
	if running > 0 {
		d.book.breakLocked("UNASKED %d tasks of %s run %v after its cancelling", running, j.id, time.Since(sent))
	}
	d.book.mu.Unlock()
	select {
	case a := <-answered:
		d.book.note("the client of %s got %s", j.id, a)
	default:
		d.book.note("the client of %s still waits", j.id)
	}
	return nil
}
