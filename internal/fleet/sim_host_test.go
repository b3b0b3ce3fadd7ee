package fleet

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/laburnumwalk/laburnumwalk/internal/roster"
)

// simHost is a machine with at most one process of this program.
type simHost struct {
	sim           *simulation
	rec           peer.HostRecord
	core          *core
	incarnation   int // incremented with each start and end of the process
	up            bool
	suspended     bool
	pendingInputs []func(now time.Time) // arrived while suspended
	suspendedFor  time.Duration         // total; clock doesn't count it, bootTime does
	ready         bool
	shuttingDown  bool
	sent          map[peer.Kind]simTraffic // to other hosts
	disk          *roster.Snapshot         // of a control host
	linkRate      int                      // bytes per second, each way; 0: not limited
	carries       int                      // number of minions that it reports to carry
	in, out       simQueue
	callers       []*simCaller // of the current try; maybe some that have finished or left
	applied       simVersion   // newest version that it has applied
}

func (sim *simulation) addHost(rec peer.HostRecord) {
	h := &simHost{sim: sim, rec: rec, linkRate: sim.config.linkRate, sent: make(map[peer.Kind]simTraffic)}
	if rec.Control {
		h.applied = simVersion{1, new([]string)}
	}
	sim.hosts = append(sim.hosts, h)
	sim.hostByName[rec.Name] = h
}

func (h *simHost) clock() time.Time { return simStart.Add(h.sim.now - h.suspendedFor) }

// launch starts a process unless one is running.
func (h *simHost) launch() {
	if h.up {
		return
	}
	h.incarnation++
	h.up, h.suspended, h.shuttingDown, h.ready, h.pendingInputs = true, false, false, false, nil
	h.rec.Incarnation = membership.Incarnation(fmt.Sprintf("%s/%d", h.rec.Name, h.incarnation))
	if !h.rec.Control {
		h.applied = simVersion{} // it has no disk
	}
	tokenID := xxhash.Sum64String(string(h.rec.Incarnation))
	h.core = newCore(h.clock(), h.rec, tokenID, h.sim.rng.Uint64()>>8, h)
	h.core.minionsPerShard, h.core.carries = claim.MinionsPerShard(int64(h.sim.config.linkRate)), h.carries
	if h.disk != nil {
		h.core.roster.Restore(h.disk)
	}
	incarnation := h.incarnation
	var tickLoop func()
	tickLoop = func() {
		if !h.up || h.incarnation != incarnation {
			return
		}
		if !h.suspended {
			h.tick()
			if h.rec.Control && h.sim.now%snapshotInterval < tickInterval {
				h.disk = h.core.roster.Snapshot()
			}
		}
		h.sim.after(tickInterval, tickLoop)
	}
	h.sim.after(tickInterval, tickLoop)
}

// input passes an input to the core, as the loop of a Host does.
func (h *simHost) input(f func(now time.Time)) {
	switch {
	case !h.up:
	case h.suspended:
		h.pendingInputs = append(h.pendingInputs, f)
	default:
		h.core.detectSuspension(h.clock(), h.bootTime())
		f(h.clock())
		h.carryOut()
	}
}

// inputBatches passes queued inputs to the core as the loop of a Host does: it carries
// out the output after each batch.
func (h *simHost) inputBatches(inputs []func(now time.Time)) {
	incarnation := h.incarnation
	for batch := range slices.Chunk(inputs, 1+maxInputBatch) {
		for _, f := range batch {
			h.core.detectSuspension(h.clock(), h.bootTime())
			f(h.clock())
		}
		h.carryOut()
		if h.incarnation != incarnation {
			return
		}
	}
}

func (h *simHost) tick() {
	h.core.detectSuspension(h.clock(), h.bootTime())
	h.core.tick(h.clock())
	h.carryOut()
}

func (h *simHost) bootTime() time.Duration { return time.Hour + h.sim.now }

func (h *simHost) carryOut() {
	h.core.carryOut(h.clock())
	h.sim.collectAnswers(h)
}

// endProcess ends the process. Unless silent, its peers and callers notice that their
// connections are closed.
func (h *simHost) endProcess(silent bool) {
	if !h.up {
		return
	}
	h.sim.trace("host %s stops, silent %v", h.rec.Name, silent)
	h.up, h.ready = false, false
	h.incarnation++
	inc := h.rec.Incarnation
	if silent {
		return
	}
	for _, other := range h.sim.hosts {
		if other == h || !other.up {
			continue
		}
		h.sim.deliver(h.rec.Name, other.rec.Name, func() {
			other.input(func(now time.Time) { other.core.connectionClosed(now, h.rec.Name, inc) })
		})
	}
	h.sim.breakCallerConnections(h)
}

// powerOn starts a process after a silent end of the one before, whose callers notice
// now that their connections are broken.
func (h *simHost) powerOn() {
	if h.up {
		return
	}
	h.sim.breakCallerConnections(h)
	h.launch()
}

// suspend suspends the machine.
func (h *simHost) suspend(duration time.Duration) { h.pause(duration, true) }

// stall gives the process no processor time.
func (h *simHost) stall(duration time.Duration) { h.pause(duration, false) }

// pause stops the process for a time that its clock doesn't count if stopsClock is set.
func (h *simHost) pause(duration time.Duration, stopsClock bool) {
	if !h.up || h.suspended {
		return
	}
	h.sim.trace("host %s is paused for %v, its clock too: %v", h.rec.Name, duration, stopsClock)
	h.suspended = true
	incarnation := h.incarnation
	h.sim.after(duration, func() {
		if h.incarnation != incarnation {
			return
		}
		h.suspended = false
		if stopsClock {
			h.suspendedFor += duration
		}
		inputs := h.pendingInputs
		h.pendingInputs = nil
		// The goroutines of the ticker and of the connections resume in any order, so
		// the tick may come before or after the queued inputs.
		if h.sim.chance(0.5) {
			h.tick()
		}
		h.inputBatches(inputs)
	})
}

// shutDown ends the process as an operator's stop does.
func (h *simHost) shutDown(linger time.Duration) {
	if !h.up || h.shuttingDown {
		return
	}
	h.sim.trace("host %s shuts down", h.rec.Name)
	h.shuttingDown, h.ready = true, false
	incarnation := h.incarnation
	h.input(func(now time.Time) { h.core.beginShutdown(now) })
	h.sim.after(linger, func() {
		if h.incarnation != incarnation {
			return
		}
		h.input(func(now time.Time) { h.core.jobTable.Abandon(now, "the host shut down") })
	})
	h.sim.after(linger+100*time.Millisecond, func() {
		if h.incarnation == incarnation {
			h.endProcess(false)
		}
	})
}

// The following methods implement environment.

func (h *simHost) send(to string, b peer.Body) { h.sim.sendBody(h, to, b) }

func (h *simHost) logEvent(id event.ID, attrs ...slog.Attr) {
	if h.sim.onEvent != nil {
		h.sim.onEvent(h, id, attrs)
	}
	var b strings.Builder
	for _, a := range attrs {
		fmt.Fprintf(&b, " %s", a)
	}
	h.sim.trace("%s event %d%s", h.rec.Name, id, b.String())
}

func (h *simHost) version() uint64                   { return h.applied.version }
func (h *simHost) evacuations() *[]string            { return h.applied.evacuations }
func (h *simHost) seedHosts() []string               { return h.sim.seedHosts() }
func (h *simHost) setPeers([]membership.Host)        {}
func (h *simHost) setDispatchersKnown(known bool)    { h.ready = known && !h.shuttingDown }
func (h *simHost) start(p *pool.Pool, s *pool.Start) { h.sim.order(h, s.Minion, startOrder{p, *s}) }
func (h *simHost) stop(p *pool.Pool, s *pool.Stop)   { h.sim.order(h, s.Minion, stopOrder{p, *s}) }
func (h *simHost) poll(p *pool.Pool, o *pool.Poll)   { h.sim.order(h, o.Minion, pollOrder{p, *o}) }

// controlHostNames returns all control hosts.
func (sim *simulation) controlHostNames() []string {
	var out []string
	for _, h := range sim.hosts {
		if h.rec.Control {
			out = append(out, h.rec.Name)
		}
	}
	return out
}

// seedHosts returns one control host of each failure domain.
func (sim *simulation) seedHosts() []string {
	var out []string
	for _, h := range sim.hosts {
		if h.rec.Control && strings.HasSuffix(h.rec.Name, "-0") {
			out = append(out, h.rec.Name)
		}
	}
	return out
}
