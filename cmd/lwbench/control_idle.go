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

// idleTick is the interval between ticks of the engines.
const idleTick = 10 * time.Millisecond

// measureIdleCases measures the traffic of hosts without jobs: heartbeats only.
func (c *controlCommand) measureIdleCases() error {
	fmt.Printf("\nidle for %v of virtual time, each host:\n", c.idle)
	fmt.Println("hosts  messages/s  bytes/s sent  bytes/s received  cpu share of a core  heap KB")
	for _, size := range controlCases {
		if err := c.measureIdle(size); err != nil {
			return err
		}
	}
	return nil
}

// idleUsage is the traffic and processor time of one idle host.
type idleUsage struct {
	messagesSent, bytesSent, bytesReceived int
	processorTime                          time.Duration
}

func (c *controlCommand) measureIdle(size controlCase) error {
	start := time.Unix(1000, 0)
	heapBefore := liveHeapKB()
	allHosts := size.hostList()
	engines := make(map[string]*engine.Engine, len(allHosts))
	usages := make([]idleUsage, len(allHosts))
	index := make(map[string]int, len(allHosts))
	for i, h := range allHosts {
		index[h.Name] = i
		engines[h.Name] = engine.New(engine.Config{
			Host: h, Incarnation: membership.Incarnation(fmt.Sprint("i", i)), StartedAt: start,
			Peers:          slices.DeleteFunc(slices.Clone(allHosts), func(o membership.Host) bool { return o.Name == h.Name }),
			MinionLease:    2500 * time.Millisecond,
			HeartbeatEvery: heartbeatInterval, PeerTimeout: 2 * time.Second,
		})
	}
	for now := start; now.Before(start.Add(c.idle)); now = now.Add(idleTick) {
		for i, h := range allHosts {
			u := &usages[i]
			begin := time.Now()
			engines[h.Name].Tick(now)
			r := engines[h.Name].Ready()
			u.processorTime += time.Since(begin)
			for _, m := range r.Messages {
				if err := u.deliver(h.Name, m, now, engines[m.To], &usages[index[m.To]]); err != nil {
					return err
				}
			}
		}
	}
	busiest := slices.MaxFunc(usages, func(a, b idleUsage) int { return a.bytesSent + a.bytesReceived - b.bytesSent - b.bytesReceived })
	seconds := c.idle.Seconds()
	heap := (liveHeapKB() - heapBefore) / float64(size.hosts)
	fmt.Printf("%5d %11.1f %13.0f %17.0f %19.2f%% %8.0f\n", size.hosts, float64(busiest.messagesSent)/seconds,
		float64(busiest.bytesSent)/seconds, float64(busiest.bytesReceived)/seconds, 100*busiest.processorTime.Seconds()/seconds, heap)
	runtime.KeepAlive(engines)
	return nil
}

// liveHeapKB runs the garbage collector and returns the size of the heap in KB.
func liveHeapKB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 10)
}

// deliver encodes a message, decodes it at the receiver and passes it to the
// receiver's engine. u is the usage of the sender.
func (u *idleUsage) deliver(from string, m engine.OutgoingMessage, now time.Time, to *engine.Engine, receiver *idleUsage) error {
	begin := time.Now()
	payload, err := peer.Encode(m.Body)
	u.processorTime += time.Since(begin)
	if err != nil {
		return err
	}
	n := len(payload) + framePrefixBytes
	u.messagesSent++
	u.bytesSent += n
	receiver.bytesReceived += n
	begin = time.Now()
	b, err := peer.Decode(payload)
	if err != nil {
		return err
	}
	to.Receive(now, from, membership.Incarnation("i-"+from), b)
	receiver.processorTime += time.Since(begin)
	return nil
}
