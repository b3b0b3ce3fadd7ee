// Package membership tracks for each other host whether it is reachable, its
// incarnation and the round-trip time to it.
//
// The package is deterministic: callers pass the current time; it does no I/O,
// starts no goroutine and reads no clock.
package membership

import (
	"sort"
	"time"
)

// Incarnation is the random ID that a process gets when it starts. A host has a
// new incarnation after each restart.
type Incarnation string

// Host is an entry host in the configuration. Record files contain it as JSON
// under its field names.
type Host struct {
	Name          string
	FailureDomain string
	Region        string
	Address       string // of the listener for peers
}

// Peer is the state of one other host.
type Peer struct {
	Host
	Incarnation   Incarnation
	LastHeard     time.Time     // when the last message from the peer arrived
	RoundTrip     time.Duration // moving average; zero before the first measurement
	LastRoundTrip time.Duration // last measured round trip
	ExtraTimeout  time.Duration // added to the view's timeout, for peers that send heartbeats less often
	ConfigVersion uint64        // configuration version that the peer reported last
	ConfigSince   time.Time     // when the peer first reported that version

	up          bool
	peerClock   time.Duration // the peer's clock reading in its last heartbeat; zero before the first
	heartbeatAt time.Time     // when that heartbeat arrived
	transit     transit
}

// Up reports whether the peer counts as reachable: a message from it arrived
// within the timeout, as of the last call of Tick.
func (p *Peer) Up() bool { return p.up }

// Change is a transition of one peer between up and down, or its restart.
type Change struct {
	Peer    *Peer
	Up      bool
	Restart bool // the peer is up with another incarnation than before
}

// View is this host's view of the other hosts.
type View struct {
	timeout  time.Duration
	peers    map[string]*Peer
	byName   []*Peer   // ordered by name; replaced, never modified
	removals []removal // oldest first
}

// removal records that a host was removed from the configuration. The host may
// own keys that were submitted before.
type removal struct {
	region string
	at     time.Time
}

// NewView returns a view of the given peers, all of them down. A peer goes down
// when no message from it has arrived for longer than timeout plus its ExtraTimeout.
func NewView(timeout time.Duration, peers []Host) *View {
	v := &View{timeout: timeout, peers: make(map[string]*Peer, len(peers))}
	for _, h := range peers {
		v.peers[h.Name] = &Peer{Host: h}
	}
	v.sortPeers()
	return v
}

// SetHosts replaces the configured hosts. It keeps the state of the peers whose
// configuration is unchanged; a host with another address, failure domain or
// region counts as removed and added. It reports whether anything changed.
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
			v.removals = append(v.removals, removal{region: p.Region, at: now})
			changed = true
		}
	}
	v.peers = next
	v.sortPeers()
	return changed
}

// RemovedSince reports whether a host of the region was removed from the
// configuration at or after t.
func (v *View) RemovedSince(region string, t time.Time) bool {
	for _, r := range v.removals {
		if r.region == region && !r.at.Before(t) {
			return true
		}
	}
	return false
}

// ForgetRemovals deletes the records of removals before t.
func (v *View) ForgetRemovals(t time.Time) {
	kept := 0
	for kept < len(v.removals) && v.removals[kept].at.Before(t) {
		kept++
	}
	v.removals = v.removals[kept:]
}

// Hosts returns the other configured hosts ordered by name.
func (v *View) Hosts() []Host {
	out := make([]Host, 0, len(v.peers))
	for _, p := range v.All() {
		out = append(out, p.Host)
	}
	return out
}

// RegionConfirms reports whether more than half of the region's hosts are up
// and have reported the given configuration version, or a newer one, as applied.
// This host counts as one of them.
func (v *View) RegionConfirms(region string, version uint64) bool {
	hosts, confirmed := 1, 1
	for _, p := range v.peers {
		if p.Region != region {
			continue
		}
		hosts++
		if p.up && p.ConfigVersion >= version {
			confirmed++
		}
	}
	return 2*confirmed > hosts
}

// Get returns the named peer, or nil.
func (v *View) Get(name string) *Peer { return v.peers[name] }

// RecordMessage records that a message from a peer arrived, which marks the peer
// as up. It returns the transition and whether there was one.
func (v *View) RecordMessage(now time.Time, name string, inc Incarnation) (Change, bool) {
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

// RecordConfig records the configuration version that the peer reported in a
// heartbeat.
func (p *Peer) RecordConfig(now time.Time, version uint64) {
	if p.ConfigSince.IsZero() || p.ConfigVersion != version {
		p.ConfigSince = now
	}
	p.ConfigVersion = version
}

// Echo is a clock reading that a heartbeat returns to the host that sent it, to
// measure the round trip.
type Echo struct {
	SentAt time.Duration // the original sender's clock when it sent its heartbeat; zero when there is none
	Held   time.Duration // from the arrival of that heartbeat until the echo was sent
}

// RecordHeartbeat records the clock readings of a heartbeat that arrived at now,
// and the round trip that follows from its echo. sentAt is the peer's clock at
// sending, elapsed this host's clock at arrival, and echo returns a reading of
// this host's clock.
func (v *View) RecordHeartbeat(now time.Time, name string, sentAt, elapsed time.Duration, echo Echo) {
	p := v.peers[name]
	if p == nil {
		return
	}
	p.peerClock = sentAt
	p.heartbeatAt = now
	if echo.SentAt == 0 {
		return
	}
	trip := elapsed - echo.SentAt - echo.Held
	if trip < 0 {
		return
	}
	p.LastRoundTrip = trip
	p.RoundTrip = smooth(p.RoundTrip, trip)
}

// smooth updates an exponentially weighted moving average; the new sample has a
// weight of 1/8.
func smooth(mean, sample time.Duration) time.Duration {
	const weight = 8
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/weight
}

// EchoFor returns the echo to send to the peer in a heartbeat, or the zero Echo
// when no heartbeat from the peer has arrived.
func (v *View) EchoFor(now time.Time, name string) Echo {
	p := v.peers[name]
	if p == nil || p.peerClock == 0 {
		return Echo{}
	}
	return Echo{SentAt: p.peerClock, Held: now.Sub(p.heartbeatAt)}
}

// Tick marks the peers that have timed out as down and returns these
// transitions, ordered by name.
func (v *View) Tick(now time.Time) []Change {
	var out []Change
	for _, p := range v.All() {
		if p.up && now.Sub(p.LastHeard) > v.timeout+p.ExtraTimeout {
			p.up = false
			out = append(out, Change{Peer: p})
		}
	}
	return out
}

// All returns the peers ordered by name. The slice is shared and must not be
// modified; SetHosts replaces it with a new one.
func (v *View) All() []*Peer { return v.byName }

// sortPeers rebuilds the slice that All returns.
func (v *View) sortPeers() {
	v.byName = make([]*Peer, 0, len(v.peers))
	for _, p := range v.peers {
		v.byName = append(v.byName, p)
	}
	sort.Slice(v.byName, func(i, k int) bool { return v.byName[i].Name < v.byName[k].Name })
}

// ExcessDelay returns how much longer than usual a message from the peer took, in
// the network and waiting in either process. sentAt is the peer's clock at
// sending and elapsed this host's clock now. The clocks need not agree.
func (v *View) ExcessDelay(name string, sentAt, elapsed time.Duration) time.Duration {
	p := v.peers[name]
	if p == nil {
		return 0
	}
	return p.transit.excess(sentAt, elapsed)
}

// transitWindow is the length of the windows over which the shortest transit is
// tracked: much longer than a process stall, and short enough that the drift
// between the clocks stays small.
const transitWindow = 30 * time.Second

// transit tracks the minimum difference between this host's clock at the arrival
// of a message and the sender's clock at its sending, in the current and the
// previous window.
type transit struct {
	minimum         time.Duration // of the current window
	previousMinimum time.Duration // of the window before
	windowStart     time.Duration // on this host's clock
	initialized     bool          // at least one message was recorded
}

// excess records one message and returns by how much its difference exceeds the
// minimum.
func (t *transit) excess(sentAt, elapsed time.Duration) time.Duration {
	sample := elapsed - sentAt
	switch {
	case !t.initialized:
		*t = transit{minimum: sample, previousMinimum: sample, windowStart: elapsed, initialized: true}
	case elapsed-t.windowStart > transitWindow:
		*t = transit{minimum: sample, previousMinimum: t.minimum, windowStart: elapsed, initialized: true}
	default:
		t.minimum = min(t.minimum, sample)
	}
	return sample - min(t.minimum, t.previousMinimum)
}
