package main

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Delays of the emulated machines.
const (
	syncedWrite   = 4 * time.Millisecond
	domainDelay   = 250 * time.Microsecond // one way within a failure domain
	regionDelay   = time.Millisecond       // one way within a region
	controlTick   = 20 * time.Millisecond
	beatInterval  = 500 * time.Millisecond
	changeSpacing = time.Second
	teamCount     = 45
	otherBeats    = 22 // heartbeats per interval beyond the failure domain
)

// pushMode is how a chosen version is spread.
type pushMode string

// Push modes.
const (
	pushRelays1 pushMode = "1 relay"
	pushRelays2 pushMode = "2 relays"
	pushNaive   pushMode = "naive" // the proposer pushes to every host
)

// controlSimulation runs the control machines of all hosts in virtual time.
type controlSimulation struct {
	loss   float64
	far    time.Duration
	rng    *rand.Rand
	now    time.Time
	events controlEvents
	seq    uint64
	hosts  []*controlSimHost
	byName map[string]*controlSimHost
	doc    []byte

	messages, bytes      int
	accepted, everywhere []time.Duration
	outcome              control.Outcome
	decidedAt            time.Time
}

type controlSimHost struct {
	membership.Host
	m     *control.Machine
	busy  time.Time // end of the synced write in progress
	bytes int
	used  time.Duration
	beats int
}

type controlEvent struct {
	at  time.Time
	seq uint64
	f   func()
}

type controlEvents []controlEvent

func (h controlEvents) Len() int { return len(h) }
func (h controlEvents) Less(i, k int) bool {
	return h[i].at.Before(h[k].at) || h[i].at.Equal(h[k].at) && h[i].seq < h[k].seq
}
func (h controlEvents) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *controlEvents) Push(x any)   { *h = append(*h, x.(controlEvent)) }
func (h *controlEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = controlEvent{}
	*h = old[:len(old)-1]
	return last
}

// layout returns the hosts of a size, spread over domains and regions.
func (c controlCase) layout() []membership.Host {
	hosts := make([]membership.Host, c.hosts)
	for i := range hosts {
		domain := i % c.domains
		hosts[i] = membership.Host{
			Name:          fmt.Sprintf("host-%03d", i),
			FailureDomain: fmt.Sprintf("domain-%02d", domain),
			Region:        fmt.Sprintf("region-%d", domain%c.regions),
			Address:       fmt.Sprintf("10.0.%d.%d:7004", i/250, i%250),
		}
	}
	return hosts
}

func newControlSimulation(c *controlCommand, size controlCase, members int, push pushMode) *controlSimulation {
	s := &controlSimulation{
		loss: c.loss, far: c.far, rng: rand.New(rand.NewPCG(c.seed, 1)), now: time.Unix(1000, 0),
		byName: make(map[string]*controlSimHost), doc: sampleDocument(size.layout()),
	}
	layout := size.layout()
	var names []string
	for i := range members {
		names = append(names, layout[i].Name)
	}
	for i, h := range layout {
		s.addHost(h, control.Config{
			Self: h, Incarnation: membership.Incarnation(fmt.Sprint("i", i)),
			Bootstrap: names, RelaysPerDomain: push.relays(), Seed: c.seed<<16 + uint64(i), Timing: control.DefaultTiming(),
			Peers: push.peers(layout, h),
		}, i < members, push)
	}
	return s
}

func (p pushMode) relays() int {
	if p == pushRelays2 {
		return 2
	}
	return 1
}

// peers returns the other hosts; in naive mode all in one failure domain, so
// that each is pushed to directly.
func (p pushMode) peers(layout []membership.Host, self membership.Host) []membership.Host {
	var out []membership.Host
	for _, h := range layout {
		if h.Name == self.Name {
			continue
		}
		if p == pushNaive {
			h.FailureDomain = self.FailureDomain
		}
		out = append(out, h)
	}
	return out
}

func (s *controlSimulation) addHost(h membership.Host, cfg control.Config, disk bool, push pushMode) {
	if disk {
		cfg.State.Disk = "disk-of-" + h.Name
	}
	host := &controlSimHost{Host: h, m: control.New(cfg)}
	s.hosts = append(s.hosts, host)
	s.byName[h.Name] = host
	s.after(time.Duration(s.rng.Int64N(int64(controlTick))), func() { s.tick(host) })
	s.after(time.Duration(s.rng.Int64N(int64(beatInterval))), func() { s.beat(host) })
}

// sampleDocument is a configuration at the given size: every host, 45 teams,
// some drained minions.
func sampleDocument(hosts []membership.Host) []byte {
	var d config.Document
	index := make(map[string]int)
	for _, h := range hosts {
		i, ok := index[h.FailureDomain]
		if !ok {
			i = len(d.FailureDomains)
			index[h.FailureDomain] = i
			d.FailureDomains = append(d.FailureDomains, config.FailureDomain{Name: h.FailureDomain, Region: h.Region})
		}
		d.FailureDomains[i].Hosts = append(d.FailureDomains[i].Hosts, config.Host{Name: h.Name, Address: h.Address})
	}
	for i := range teamCount {
		d.Teams = append(d.Teams, config.Team{Name: fmt.Sprintf("team-%02d", i), Weight: 1 + i%5, MaxSlots: 100, MaxQueued: 1000})
		d.Drains.Minions = append(d.Drains.Minions, fmt.Sprintf("minion-%04d", 13*i))
	}
	text, err := json.Marshal(&d)
	if err != nil {
		panic(err) // the type has no value that cannot be encoded
	}
	return text
}

func (s *controlSimulation) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, controlEvent{s.now.Add(d), s.seq, f})
}

func (s *controlSimulation) runUntil(done func() bool, limit time.Duration) bool {
	end := s.now.Add(limit)
	for !done() {
		if len(s.events) == 0 || s.events[0].at.After(end) {
			s.now = end
			return false
		}
		e := heap.Pop(&s.events).(controlEvent)
		s.now = e.at
		e.f()
	}
	return true
}

func (s *controlSimulation) tick(h *controlSimHost) {
	s.after(controlTick, func() { s.tick(h) })
	s.do(h, func() { h.m.Tick(s.now) })
}

// beat tells other hosts the own version, as heartbeats do: those of the
// failure domain each time, the others in turn. Its bytes are counted by the
// idle run.
func (s *controlSimulation) beat(h *controlSimHost) {
	s.after(beatInterval, func() { s.beat(h) })
	h.beats++
	stride := (len(s.hosts) + otherBeats - 1) / otherBeats
	version := h.m.Version()
	for i, o := range s.hosts {
		due := o.FailureDomain == h.FailureDomain || (h.beats+i)%stride == 0
		if o == h || !due || s.lost() {
			continue
		}
		s.after(s.delay(h, o), func() { s.do(o, func() { o.m.ObserveVersion(s.now, h.Name, version) }) })
	}
}

func (s *controlSimulation) lost() bool { return s.loss > 0 && s.rng.Float64() < s.loss }

// do feeds one input and carries out what follows. Inputs wait while a synced
// write is in progress.
func (s *controlSimulation) do(h *controlSimHost, f func()) {
	if s.now.Before(h.busy) {
		s.after(h.busy.Sub(s.now), func() { s.do(h, f) })
		return
	}
	begin := time.Now()
	f()
	r := h.m.Ready()
	h.used += time.Since(begin)
	for _, d := range r.Decisions {
		s.outcome, s.decidedAt = d.Outcome, s.now
	}
	if len(r.Messages) == 0 {
		if r.Save != nil {
			h.busy = s.now.Add(syncedWrite)
		}
		return
	}
	if r.Save == nil {
		s.send(h, r.Messages)
		return
	}
	h.busy = s.now.Add(syncedWrite)
	s.after(syncedWrite, func() { s.send(h, r.Messages) })
}

func (s *controlSimulation) send(h *controlSimHost, messages []control.OutgoingMessage) {
	for _, m := range messages {
		if m.To == h.Name {
			s.do(h, func() { h.m.Receive(s.now, h.Name, m.Body) })
			continue
		}
		begin := time.Now()
		payload, err := peer.Encode(m.Body)
		h.used += time.Since(begin)
		if err != nil {
			panic(err) // a message of ours that cannot be encoded
		}
		s.messages++
		s.bytes += len(payload) + frameBytes
		h.bytes += len(payload) + frameBytes
		if s.lost() {
			continue
		}
		to := s.byName[m.To]
		s.after(s.delay(h, to), func() { s.receive(to, h.Name, payload) })
	}
}

const frameBytes = 4 // length of a frame

func (s *controlSimulation) receive(to *controlSimHost, from string, payload []byte) {
	begin := time.Now()
	b, err := peer.Decode(payload)
	to.used += time.Since(begin)
	if err != nil {
		panic(err) // encoded by send
	}
	to.bytes += len(payload) + frameBytes
	s.do(to, func() { to.m.Receive(s.now, from, b) })
}

func (s *controlSimulation) delay(a, b *controlSimHost) time.Duration {
	switch {
	case a.FailureDomain == b.FailureDomain:
		return domainDelay
	case a.Region == b.Region:
		return regionDelay
	default:
		return s.far
	}
}

// ready chooses the first version, which needs every control host.
func (s *controlSimulation) ready() { s.change(-1) }

func (s *controlSimulation) reset() {
	s.messages, s.bytes, s.accepted, s.everywhere = 0, 0, nil, nil
	for _, h := range s.hosts {
		h.bytes, h.used = 0, 0
	}
}

// change makes one change at the first host and waits until every host has it.
func (s *controlSimulation) change(i int) bool {
	h := s.hosts[0]
	begin := s.now
	s.outcome = control.Outcome{}
	base := h.m.Version()
	p := control.Proposal{Command: fmt.Sprintf("confirm-change-%06d", i), Operator: "operator", Base: base, Document: s.doc}
	s.do(h, func() { h.m.Propose(s.now, p) })
	if !s.runUntil(func() bool { return s.outcome.Command != "" }, time.Minute) || s.outcome.Code != result.OK {
		return false
	}
	s.accepted = append(s.accepted, s.decidedAt.Sub(begin))
	if !s.runUntil(func() bool { return s.all(base + 1) }, time.Minute) {
		return false
	}
	s.everywhere = append(s.everywhere, s.now.Sub(begin))
	s.runUntil(func() bool { return false }, changeSpacing)
	return true
}

func (s *controlSimulation) all(version uint64) bool {
	return !slices.ContainsFunc(s.hosts, func(h *controlSimHost) bool { return h.m.Version() < version })
}

// busiest returns the host with the most bytes, sent and received.
func (s *controlSimulation) busiest() *controlSimHost {
	return slices.MaxFunc(s.hosts, func(a, b *controlSimHost) int { return a.bytes - b.bytes })
}

// percentile returns the p-th percentile of durations, which are reordered.
func percentile(d []time.Duration, p int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, len(d)*p/100)]
}
