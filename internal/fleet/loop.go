package fleet

import (
	"context"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"golang.org/x/sys/unix"
)

// maxInputBatch bounds how many further inputs the core handles before it carries
// out its output.
const maxInputBatch = 64

// gaugeInterval is the time between updates of the gauges. Callers may be told a number
// of waiting jobs that is 2 s old.
const gaugeInterval = 200 * time.Millisecond

// runCore feeds ticks and inputs to the core until ctx ends. It is the only goroutine
// that uses the core.
func (h *Host) runCore(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			h.detectSuspension(now)
			h.core.tick(now)
			if now.Sub(h.gaugesAt) >= gaugeInterval {
				h.gaugesAt = now
				h.publishGauges(now)
			}
		case f := <-h.inputs.C():
			h.handleInput(f)
			h.handleBatch()
		}
		h.core.carryOut(time.Now())
	}
}

// handleBatch handles inputs that are already queued.
func (h *Host) handleBatch() {
	for range maxInputBatch {
		select {
		case f := <-h.inputs.C():
			h.handleInput(f)
		default:
			return
		}
	}
}

// handleInput passes one input to the core.
func (h *Host) handleInput(f func(now time.Time)) {
	now := time.Now()
	if now.Sub(h.bootTimeReadAt) > maxBootTimeAge || wallOffset(now) != h.wallOffset {
		h.detectSuspension(now)
	}
	f(now)
}

// timed returns an input that also tells the core how long it has waited.
func (h *Host) timed(f func(now time.Time)) func(now time.Time) {
	queuedAt := time.Now()
	return func(now time.Time) {
		h.core.inputWaited(now.Sub(queuedAt))
		f(now)
	}
}

// maxBootTimeAge is the longest time since bootTime was last read after which an input is
// handled without reading it again.
const maxBootTimeAge = suspensionThreshold / 5

// detectSuspension tells the core for how long the host may have been suspended.
func (h *Host) detectSuspension(now time.Time) {
	h.bootTimeReadAt, h.wallOffset = now, wallOffset(now)
	h.core.detectSuspension(now, bootTime())
}

// wallOffset returns the difference between the wall clock and the monotonic clock, in
// steps of a quarter of suspensionThreshold. A suspension changes it, as does a step of the
// wall clock; it costs less to read than bootTime, which needs a system call.
func wallOffset(now time.Time) time.Duration {
	offset := time.Duration(now.UnixNano()) - now.Sub(processStart)
	return offset.Round(suspensionThreshold / 4)
}

var processStart = time.Now()

// bootTime returns the time since the machine was booted, including the time that it
// was suspended; 0 if the clock can't be read.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // only other hosts will notice a suspension
	}
	return time.Duration(t.Nano())
}

// publishGauges updates the gauges from the state of the core.
func (h *Host) publishGauges(now time.Time) {
	c, m := h.core, h.metrics
	var jobs, cold int
	waiting := make(map[string]int)
	var capacity, free, interfering, heldBack int64
	for _, x := range c.shards {
		load := x.pool.Load()
		jobs += x.pool.JobCount()
		cold += x.pool.ColdMinions()
		x.pool.CountWaiting(waiting)
		heldBack += int64(x.pool.HeldBack())
		interfering += int64(x.pool.InterferingPairs())
		capacity, free = capacity+load.Capacity, free+load.Free
	}
	h.unstartedJobs.Store(&waiting)
	queued := 0
	for _, n := range waiting {
		queued += n
	}
	m.openJobs.Set(int64(c.jobTable.OpenJobs()))
	m.dispatchedJobs.Set(int64(jobs))
	m.queuedJobs.Set(int64(queued))
	m.claimedShards.Set(int64(len(c.shards)))
	h.publishShardGauges()
	m.cpuCapacity.Set(capacity)
	m.cpuFree.Set(free)
	m.refusedShare.Set(c.overload.Share())
	m.overloadedMS.Set(c.overloadedFor(h.gaugesAt).Milliseconds())
	m.heldBack.Set(heldBack)
	m.interfering.Set(interfering)
	m.listedHosts.Set(int64(len(c.roster.Hosts())))
	m.coldMinions.Set(int64(cold))
	m.evacuatedDomains.Set(int64(len(c.evacuated.domains)))
	m.evacuatedSelf.Set(0)
	if c.evacuated.own {
		m.evacuatedSelf.Set(1)
	}
	m.knowledgeAge.Set(c.knowledgeAge(now).Milliseconds())
}

// The following methods implement environment.

func (h *Host) send(to string, b peer.Body) { h.mesh.Send(to, b) }

func (h *Host) start(p *pool.Pool, s *pool.Start) { h.orders.start(p, s) }

func (h *Host) stop(p *pool.Pool, s *pool.Stop) { h.orders.stop(p, s) }

func (h *Host) poll(p *pool.Pool, o *pool.Poll) { h.orders.poll(p, o) }

func (h *Host) version() uint64 { return h.control.View().Version }

func (h *Host) evacuations() *[]string { return h.evacuated.Load() }

func (h *Host) seedHosts() []string { return *h.seeds.Load() }

func (h *Host) setPeers(hosts []membership.Host) { h.control.SetPeers(hosts) }

func (h *Host) setDispatchersKnown(known bool) {
	h.ready.Store(known && h.document.Load() != nil && !h.shuttingDown.Load())
}
