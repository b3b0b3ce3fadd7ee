package fleet

import (
	"context"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"golang.org/x/sys/unix"
)

// maxBatch bounds the inputs that are handled before their consequences are
// carried out.
const maxBatch = 64

// decide is the duty that feeds the decisions.
func (h *Host) decide(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			h.decisions.awake(now, bootTime())
			h.decisions.tick(now)
			h.publishGauges()
		case f := <-h.inputs.C():
			h.take(f)
			h.batch()
		}
		h.decisions.flush(time.Now())
	}
}

// batch handles inputs that have arrived meanwhile.
func (h *Host) batch() {
	for range maxBatch {
		select {
		case f := <-h.inputs.C():
			h.take(f)
		default:
			return
		}
	}
}

func (h *Host) take(f func(now time.Time)) {
	now := time.Now()
	h.decisions.awake(now, bootTime())
	f(now)
}

// bootTime returns a steady clock that counts the time of a suspended machine.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // without it a suspended machine is noticed by others only
	}
	return time.Duration(t.Nano())
}

// publishGauges publishes what the decisions hold.
func (h *Host) publishGauges() {
	d, m := h.decisions, h.metrics
	var jobs int
	waiting := make(map[string]int)
	var capacity, free int64
	for _, x := range d.shards {
		load := x.pool.Load()
		jobs += x.pool.Jobs()
		x.pool.CountWaiting(waiting)
		capacity, free = capacity+load.Capacity, free+load.Free
	}
	h.waiting.Store(&waiting)
	queued := 0
	for _, n := range waiting {
		queued += n
	}
	m.openJobs.Set(int64(d.table.OpenJobs()))
	m.dispatched.Set(int64(jobs))
	m.queued.Set(int64(queued))
	m.claims.Set(int64(len(d.shards)))
	m.capacity.Set(capacity)
	m.free.Set(free)
	m.hosts.Set(int64(len(d.roster.Hosts())))
}

// The rest carries out what the decisions ask for.

func (h *Host) send(to string, b peer.Body) { h.mesh.Send(to, b) }

func (h *Host) start(p *pool.Pool, s *pool.Start) { h.orders.start(p, s) }

func (h *Host) stop(p *pool.Pool, s *pool.Stop) { h.orders.stop(p, s) }

func (h *Host) hold(p *pool.Pool, o *pool.Hold) { h.orders.hold(p, o) }

func (h *Host) version() uint64 { return h.control.View().Version }

func (h *Host) seedHosts() []string { return *h.seeds.Load() }

func (h *Host) setPeers(hosts []membership.Host) { h.control.SetPeers(hosts) }

func (h *Host) setDispatchers(known bool) {
	h.ready.Store(known && h.document.Load() != nil && !h.leaving.Load())
}
