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

// Parameters of the simulated hosts and network.
const (
	syncedWriteTime   = 4 * time.Millisecond   // write and fsync
	intraDomainDelay  = 250 * time.Microsecond // one way within a failure domain
	intraRegionDelay  = time.Millisecond       // one way within a region
	controlTick       = 20 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	changeSpacing     = time.Second
	teamCount         = 45
	remoteHeartbeats  = 22 // approximate maximum number of heartbeats of a host per interval to other failure domains
)

// pushMode is how the proposer distributes an accepted version to the hosts.
type pushMode string

// Push modes. With relays, the proposer pushes a version to one or two relay hosts
// in each other failure domain, which push it to the other hosts there.
const (
	pushOneRelay  pushMode = "1 relay"
	pushTwoRelays pushMode = "2 relays"
	pushDirect    pushMode = "naive" // the proposer pushes to every host
)

// controlSimulation runs the control state machines of all hosts in virtual time.
type controlSimulation struct {
	loss             float64
	interRegionDelay time.Duration
	rng              *rand.Rand
	now              time.Time
	events           controlEvents
	seq              uint64
	hosts            []*controlSimHost
	byName           map[string]*controlSimHost
	document         []byte

	messages, bytes                       int
	acceptLatencies, propagationLatencies []time.Duration
	outcome                               control.Outcome
	decidedAt                             time.Time
}

type controlSimHost struct {
	membership.Host
	machine         *control.Machine
	writeEnds       time.Time // when the current synced write completes
	bytes           int
	processorTime   time.Duration
	heartbeatRounds int
}

type controlEvent struct {
	at  time.Time
	seq uint64
	run func()
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

// hostList returns the hosts, spread evenly over failure domains and regions.
func (c controlCase) hostList() []membership.Host {
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
		loss: c.loss, interRegionDelay: c.interRegionDelay, rng: rand.New(rand.NewPCG(c.seed, 1)), now: time.Unix(1000, 0),
		byName: make(map[string]*controlSimHost), document: sampleDocument(size.hostList()),
	}
	allHosts := size.hostList()
	var names []string
	for i := range members {
		names = append(names, allHosts[i].Name)
	}
	for i, h := range allHosts {
		s.addHost(h, control.Config{
			Self: h, Incarnation: membership.Incarnation(fmt.Sprint("i", i)),
			Bootstrap: names, RelaysPerDomain: push.relays(), Seed: c.seed<<16 + uint64(i), Timing: control.DefaultTiming(),
			Peers: push.peers(allHosts, h),
		}, i < members, push)
	}
	return s
}

func (p pushMode) relays() int {
	if p == pushTwoRelays {
		return 2
	}
	return 1
}

// peers returns all hosts except self. With pushDirect they are all in the failure
// domain of self, so that self pushes to each of them directly.
func (p pushMode) peers(allHosts []membership.Host, self membership.Host) []membership.Host {
	var out []membership.Host
	for _, h := range allHosts {
		if h.Name == self.Name {
			continue
		}
		if p == pushDirect {
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
	host := &controlSimHost{Host: h, machine: control.New(cfg)}
	s.hosts = append(s.hosts, host)
	s.byName[h.Name] = host
	s.after(time.Duration(s.rng.Int64N(int64(controlTick))), func() { s.tick(host) })
	s.after(time.Duration(s.rng.Int64N(int64(heartbeatInterval))), func() { s.sendHeartbeats(host) })
}

// sampleDocument returns an encoded configuration with the given hosts, 45 teams
// and 45 drained minions.
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
		panic(err) // every value of config.Document can be encoded
	}
	return text
}

func (s *controlSimulation) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, controlEvent{s.now.Add(d), s.seq, f})
}

// runUntil runs events until done returns true. It returns false if done is still
// false after limit.
func (s *controlSimulation) runUntil(done func() bool, limit time.Duration) bool {
	end := s.now.Add(limit)
	for !done() {
		if len(s.events) == 0 || s.events[0].at.After(end) {
			s.now = end
			return false
		}
		e := heap.Pop(&s.events).(controlEvent)
		s.now = e.at
		e.run()
	}
	return true
}

func (s *controlSimulation) tick(h *controlSimHost) {
	s.after(controlTick, func() { s.tick(h) })
	s.input(h, func() { h.machine.Tick(s.now) })
}

// sendHeartbeats reports the version of h to other hosts, as heartbeats do: in each
// round to every host of its failure domain and to some of the others in turn. The
// bytes of heartbeats are not counted here; measureIdle measures them.
func (s *controlSimulation) sendHeartbeats(h *controlSimHost) {
	s.after(heartbeatInterval, func() { s.sendHeartbeats(h) })
	h.heartbeatRounds++
	stride := (len(s.hosts) + remoteHeartbeats - 1) / remoteHeartbeats
	version := h.machine.Version()
	for i, o := range s.hosts {
		due := o.FailureDomain == h.FailureDomain || (h.heartbeatRounds+i)%stride == 0
		if o == h || !due || s.dropMessage() {
			continue
		}
		s.after(s.delay(h, o), func() { s.input(o, func() { o.machine.ObserveVersion(s.now, h.Name, version) }) })
	}
}

// dropMessage decides at random whether a message is lost.
func (s *controlSimulation) dropMessage() bool { return s.loss > 0 && s.rng.Float64() < s.loss }

// input passes one input to the machine of h by calling f, then saves its state
// and sends its messages. Inputs wait until the current synced write completes.
func (s *controlSimulation) input(h *controlSimHost, f func()) {
	if s.now.Before(h.writeEnds) {
		s.after(h.writeEnds.Sub(s.now), func() { s.input(h, f) })
		return
	}
	begin := time.Now()
	f()
	r := h.machine.Ready()
	h.processorTime += time.Since(begin)
	for _, d := range r.Decisions {
		s.outcome, s.decidedAt = d.Outcome, s.now
	}
	if len(r.Messages) == 0 {
		if r.Save != nil {
			h.writeEnds = s.now.Add(syncedWriteTime)
		}
		return
	}
	if r.Save == nil {
		s.send(h, r.Messages)
		return
	}
	h.writeEnds = s.now.Add(syncedWriteTime)
	s.after(syncedWriteTime, func() { s.send(h, r.Messages) })
}

func (s *controlSimulation) send(h *controlSimHost, messages []control.OutgoingMessage) {
	for _, m := range messages {
		if m.To == h.Name {
			s.input(h, func() { h.machine.Receive(s.now, h.Name, m.Body) })
			continue
		}
		begin := time.Now()
		payload, err := peer.Encode(m.Body)
		h.processorTime += time.Since(begin)
		if err != nil {
			panic(err) // the machine produced a message that cannot be encoded
		}
		s.messages++
		s.bytes += len(payload) + framePrefixBytes
		h.bytes += len(payload) + framePrefixBytes
		if s.dropMessage() {
			continue
		}
		to := s.byName[m.To]
		s.after(s.delay(h, to), func() { s.receive(to, h.Name, payload) })
	}
}

const framePrefixBytes = 4 // length prefix of a frame

func (s *controlSimulation) receive(to *controlSimHost, from string, payload []byte) {
	begin := time.Now()
	b, err := peer.Decode(payload)
	to.processorTime += time.Since(begin)
	if err != nil {
		panic(err) // send encoded the payload
	}
	to.bytes += len(payload) + framePrefixBytes
	s.input(to, func() { to.machine.Receive(s.now, from, b) })
}

func (s *controlSimulation) delay(a, b *controlSimHost) time.Duration {
	switch {
	case a.FailureDomain == b.FailureDomain:
		return intraDomainDelay
	case a.Region == b.Region:
		return intraRegionDelay
	default:
		return s.interRegionDelay
	}
}

// proposeFirstVersion proposes the first version, which needs every control host,
// and waits until every host has applied it.
func (s *controlSimulation) proposeFirstVersion() { s.proposeAndWait(-1) }

// resetCounters discards what was measured so far.
func (s *controlSimulation) resetCounters() {
	s.messages, s.bytes, s.acceptLatencies, s.propagationLatencies = 0, 0, nil, nil
	for _, h := range s.hosts {
		h.bytes, h.processorTime = 0, 0
	}
}

// proposeAndWait proposes change i at the first host and waits until every host has
// applied it. It returns false if the change is refused, is not accepted within a
// minute, or has not reached every host a minute after that.
func (s *controlSimulation) proposeAndWait(i int) bool {
	h := s.hosts[0]
	begin := s.now
	s.outcome = control.Outcome{}
	base := h.machine.Version()
	p := control.Proposal{Command: fmt.Sprintf("confirm-change-%06d", i), Operator: "operator", Base: base, Document: s.document}
	s.input(h, func() { h.machine.Propose(s.now, p) })
	if !s.runUntil(func() bool { return s.outcome.Command != "" }, time.Minute) || s.outcome.Code != result.OK {
		return false
	}
	s.acceptLatencies = append(s.acceptLatencies, s.decidedAt.Sub(begin))
	if !s.runUntil(func() bool { return s.allReached(base + 1) }, time.Minute) {
		return false
	}
	s.propagationLatencies = append(s.propagationLatencies, s.now.Sub(begin))
	s.runUntil(func() bool { return false }, changeSpacing)
	return true
}

// allReached reports whether every host has applied version or a later one.
func (s *controlSimulation) allReached(version uint64) bool {
	return !slices.ContainsFunc(s.hosts, func(h *controlSimHost) bool { return h.machine.Version() < version })
}

// busiest returns the host that sent and received the most bytes in total.
func (s *controlSimulation) busiest() *controlSimHost {
	return slices.MaxFunc(s.hosts, func(a, b *controlSimHost) int { return a.bytes - b.bytes })
}

// percentile sorts d and returns its p-th percentile.
func percentile(d []time.Duration, p int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, len(d)*p/100)]
}
