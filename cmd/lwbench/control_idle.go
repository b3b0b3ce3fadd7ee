package main

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// idleTick is the interval of the engines' timers in the idle run.
const idleTick = 10 * time.Millisecond

// idleRuns measures what the hosts send when nothing happens: heartbeats.
func (c *controlCommand) idleRuns() error {
	fmt.Printf("\nidle for %v of virtual time, each host:\n", c.idle)
	fmt.Println("hosts  messages/s  bytes/s sent  bytes/s received  cpu share of a core  heap KB")
	for _, size := range controlCases {
		if err := c.idleRun(size); err != nil {
			return err
		}
	}
	return nil
}

// idleLoad is what one host does when idle.
type idleLoad struct {
	messages, sent, received int
	used                     time.Duration
}

func (c *controlCommand) idleRun(size controlCase) error {
	start := time.Unix(1000, 0)
	heapBefore := heapInUse()
	layout := size.layout()
	engines := make(map[string]*engine.Engine, len(layout))
	loads := make([]idleLoad, len(layout))
	index := make(map[string]int, len(layout))
	for i, h := range layout {
		index[h.Name] = i
		engines[h.Name] = engine.New(engine.Config{
			Host: h, Incarnation: membership.Incarnation(fmt.Sprint("i", i)), StartedAt: start,
			Peers:          slices.DeleteFunc(slices.Clone(layout), func(o membership.Host) bool { return o.Name == h.Name }),
			MinionLease:    2500 * time.Millisecond,
			HeartbeatEvery: beatInterval, PeerTimeout: 2 * time.Second,
		})
	}
	for now := start; now.Before(start.Add(c.idle)); now = now.Add(idleTick) {
		for i, h := range layout {
			l := &loads[i]
			begin := time.Now()
			engines[h.Name].Tick(now)
			r := engines[h.Name].Ready()
			l.used += time.Since(begin)
			for _, m := range r.Messages {
				if err := l.carry(h.Name, m, now, engines[m.To], &loads[index[m.To]]); err != nil {
					return err
				}
			}
		}
	}
	busiest := slices.MaxFunc(loads, func(a, b idleLoad) int { return a.sent + a.received - b.sent - b.received })
	seconds := c.idle.Seconds()
	heap := (heapInUse() - heapBefore) / float64(size.hosts)
	fmt.Printf("%5d %11.1f %13.0f %17.0f %19.2f%% %8.0f\n", size.hosts, float64(busiest.messages)/seconds,
		float64(busiest.sent)/seconds, float64(busiest.received)/seconds, 100*busiest.used.Seconds()/seconds, heap)
	runtime.KeepAlive(engines)
	return nil
}

// heapInUse returns the live heap in KB.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 10)
}

// carry encodes a message, hands it over and decodes it.
func (l *idleLoad) carry(from string, m engine.OutgoingMessage, now time.Time, to *engine.Engine, other *idleLoad) error {
	begin := time.Now()
	payload, err := peer.Encode(m.Body)
	l.used += time.Since(begin)
	if err != nil {
		return err
	}
	n := len(payload) + frameBytes
	l.messages++
	l.sent += n
	other.received += n
	begin = time.Now()
	b, err := peer.Decode(payload)
	if err != nil {
		return err
	}
	to.Receive(now, from, membership.Incarnation("i-"+from), b)
	other.used += time.Since(begin)
	return nil
}
