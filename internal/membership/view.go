// Package membership tracks which other hosts are reachable, under which
// incarnation, and the round-trip time to each.
//
// The package is pure: every method takes the current time; it does no I/O,
// starts no goroutine and reads no clock.
package membership

import (
	"sort"
	"time"
)

// Incarnation is the random identity of one process start.
type Incarnation string

// Host is one configured entry host.
type Host struct {
	Name          string
	FailureDomain string
	Region        string
	Address       string // of the peer listener
}

// Peer is what is known about one other host.
type Peer struct {
	Host
	Incarnation Incarnation
	LastHeard   time.Time
	RoundTrip   time.Duration // smoothed, zero before the first measurement
	LastTrip    time.Duration // of the newest measurement
	Slack       time.Duration // silence that is usual for the peer, beyond the timeout
	ConfigSeen  uint64        // configuration version the peer reported
	ConfigAt    time.Time     // when it first reported that version

	up       bool
	lastSent time.Duration // the peer's clock reading in its last heartbeat
	beatAt   time.Time     // when that heartbeat arrived
	transit  transit
}

// Up reports whether the peer was heard from within the timeout.
func (p *Peer) Up() bool { return p.up }

// Change is a transition of one peer.
type Change struct {
	Peer    *Peer
	Up      bool
	Restart bool // up under another incarnation than before
}

// View holds the other hosts.
type View struct {
	timeout  time.Duration
	peers    map[string]*Peer
	ordered  []*Peer     // by name
	departed []departure // oldest first
}

// departure is a host that was removed from the configuration. It may own keys
// that were submitted before.
type departure struct {
	region string
	at     time.Time
}

// NewView returns a view in which a peer is down after a silence of timeout.
func NewView(timeout time.Duration, peers []Host) *View {
	v := &View{timeout: timeout, peers: make(map[string]*Peer, len(peers))}
	for _, h := range peers {
		v.peers[h.Name] = &Peer{Host: h}
	}
	v.order()
	return v
}

// SetHosts replaces the configured hosts. What is known of a host that stays
// under the same address and failure domain is kept. It reports whether
// anything changed.
func (v *View) SetHosts(now time.Time, hosts []Host) bool {
	next := make(map[string]*Peer, len(hosts))
	changed := false
	for _, h := range hosts {
		if p := v.peers[h.Name]; p != nil && p.Host == h {
			next[h.Name] = p
			continue
		}
		next[h.Name] = &Peer{Host: h}
		changed = true
	}
	for name, p := range v.peers {
		if next[name] == nil || next[name].Host != p.Host {
			v.departed = append(v.departed, departure{region: p.Region, at: now})
			changed = true
		}
	}
	v.peers = next
	v.order()
	return changed
}

// DepartedSince reports whether a host of the region was removed at or after t.
func (v *View) DepartedSince(region string, t time.Time) bool {
	for _, d := range v.departed {
		if d.region == region && !d.at.Before(t) {
			return true
		}
	}
	return false
}

// ForgetDepartures drops the removals before t.
func (v *View) ForgetDepartures(t time.Time) {
	kept := 0
	for kept < len(v.departed) && v.departed[kept].at.Before(t) {
		kept++
	}
	v.departed = v.departed[kept:]
}

// Hosts returns the configured hosts ordered by name.
func (v *View) Hosts() []Host {
	out := make([]Host, 0, len(v.peers))
	for _, p := range v.All() {
		out = append(out, p.Host)
	}
	return out
}

// RegionConfirms reports whether more than half of the region's hosts, this
// one included, are up and have put the given configuration version in force.
func (v *View) RegionConfirms(region string, version uint64) bool {
	hosts, confirmed := 1, 1
	for _, p := range v.peers {
		if p.Region != region {
			continue
		}
		hosts++
		if p.up && p.ConfigSeen >= version {
			confirmed++
		}
	}
	return 2*confirmed > hosts
}

// Get returns the named peer, or nil.
func (v *View) Get(name string) *Peer { return v.peers[name] }

// Heard records a message of a peer and returns the transition it caused.
func (v *View) Heard(now time.Time, name string, inc Incarnation) (Change, bool) {
	p := v.peers[name]
	if p == nil {
		return Change{}, false
	}
	restart := p.Incarnation != "" && p.Incarnation != inc
	if restart {
		p.transit = transit{}
	}
	changed := !p.up || restart
	p.Incarnation = inc
	p.LastHeard = now
	p.up = true
	return Change{Peer: p, Up: true, Restart: restart}, changed
}

// ReportedConfig records the configuration version in a peer's heartbeat.
func (p *Peer) ReportedConfig(now time.Time, version uint64) {
	if p.ConfigAt.IsZero() || p.ConfigSeen != version {
		p.ConfigAt = now
	}
	p.ConfigSeen = version
}

// Echo is the peer's returned clock reading.
type Echo struct {
	SentAt time.Duration // this host's clock when it sent, returned unchanged
	Held   time.Duration // time the peer kept it
}

// Measured records the clock readings of a heartbeat that arrived at now.
// elapsed is this host's clock.
func (v *View) Measured(now time.Time, name string, sentAt, elapsed time.Duration, echo Echo) {
	p := v.peers[name]
	if p == nil {
		return
	}
	p.lastSent = sentAt
	p.beatAt = now
	if echo.SentAt == 0 {
		return
	}
	trip := elapsed - echo.SentAt - echo.Held
	if trip < 0 {
		return
	}
	p.LastTrip = trip
	p.RoundTrip = smooth(p.RoundTrip, trip)
}

// smooth is an exponentially weighted mean with a weight of 1/8.
func smooth(mean, sample time.Duration) time.Duration {
	const weight = 8
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/weight
}

// EchoFor returns the clock reading to send back to the peer.
func (v *View) EchoFor(now time.Time, name string) Echo {
	p := v.peers[name]
	if p == nil || p.lastSent == 0 {
		return Echo{}
	}
	return Echo{SentAt: p.lastSent, Held: now.Sub(p.beatAt)}
}

// Tick marks silent peers as down and returns the transitions, ordered by name.
func (v *View) Tick(now time.Time) []Change {
	var out []Change
	for _, p := range v.All() {
		if p.up && now.Sub(p.LastHeard) > v.timeout+p.Slack {
			p.up = false
			out = append(out, Change{Peer: p})
		}
	}
	return out
}

// All returns the peers ordered by name. The slice is shared: it must not be
// changed, and SetHosts replaces it.
func (v *View) All() []*Peer { return v.ordered }

// order prepares the slice of All.
func (v *View) order() {
	v.ordered = make([]*Peer, 0, len(v.peers))
	for _, p := range v.peers {
		v.ordered = append(v.ordered, p)
	}
	sort.Slice(v.ordered, func(i, k int) bool { return v.ordered[i].Name < v.ordered[k].Name })
}

// Age returns how much longer than usual a message of the peer was under way,
// or waited in either process, given the sender's and this host's clock.
func (v *View) Age(name string, sentAt, elapsed time.Duration) time.Duration {
	p := v.peers[name]
	if p == nil {
		return 0
	}
	return p.transit.excess(sentAt, elapsed)
}

// transitWindow is the time over which the shortest transit is kept: long
// against a stall, short against the drift of the clocks.
const transitWindow = 30 * time.Second

// transit holds the least difference between this host's clock at the arrival
// of a message and the sender's at its sending, over the last two windows.
type transit struct {
	least    time.Duration
	previous time.Duration
	since    time.Duration // this host's clock
	known    bool
}

// excess records one message and returns its delay over the least.
func (t *transit) excess(sentAt, elapsed time.Duration) time.Duration {
	sample := elapsed - sentAt
	switch {
	case !t.known:
		*t = transit{least: sample, previous: sample, since: elapsed, known: true}
	case elapsed-t.since > transitWindow:
		*t = transit{least: sample, previous: t.least, since: elapsed, known: true}
	default:
		t.least = min(t.least, sample)
	}
	return sample - min(t.least, t.previous)
}
