// Package minion tracks the backend servers that announced themselves to a
// failure domain: their leases, slots, health and readiness for new work.
//
// The package is deterministic: every method that depends on time takes the
// current time. It does no I/O, starts no goroutine and reads no clock.
package minion

import (
	"slices"
	"sort"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
)

// Announcement describes a minion, as the minion itself reports it: its
// services, capacity and location.
type Announcement struct {
	Name          string   `json:"name" msgpack:"n" validate:"required,max=128"`
	Worker        string   `json:"worker" msgpack:"w" validate:"required,max=128"`
	Rack          string   `json:"rack" msgpack:"r" validate:"required,max=128"`
	FailureDomain string   `json:"failure_domain" msgpack:"d" validate:"required,max=128"`
	Services      []string `json:"services" msgpack:"s" validate:"required,min=1,max=64,dive,required,max=128"`
	Slots         int      `json:"slots" msgpack:"l" validate:"min=1,max=4096"`
	Connections   int      `json:"connections" msgpack:"c" validate:"min=1,max=65536"`
	Address       string   `json:"address" msgpack:"a" validate:"required,hostname_port"`
	MilliCPU      int      `json:"milli_cpu" msgpack:"p" validate:"min=0,max=1073741824"`
	MemoryMB      int      `json:"memory_mb" msgpack:"m" validate:"min=0,max=1099511627776"`
	Accelerators  int      `json:"accelerators" msgpack:"x" validate:"min=0,max=1048576"`
	// Generation orders the announcements under one name: a restarted minion
	// announces a higher generation.
	Generation uint64 `json:"generation" msgpack:"g" validate:"max=9223372036854775807"`
}

// Minion is the state of one announced backend server.
type Minion struct {
	Announcement
	LeaseUntil time.Time
	Leaving    bool // announced that it leaves; gets no new work
	Draining   bool // drained by an operator; gets no new work
	Local      bool // announced itself to this host, which relays its lease to the others
	// LocalLeaseUntil is the end of the lease that the minion got from this host
	// directly. Only this lease is relayed: a relayed lease that is relayed
	// again would become longer by the delay of each hop.
	LocalLeaseUntil time.Time

	share         int      // slots that this host may use
	inUse         int      // tasks of this host in progress
	usedResources job.Size // sum of the declared sizes of these tasks
	rack          *rack
	limit         concurrencyLimit
	health        health
}

// rack counts this host's tasks in progress on the minions of one rack.
type rack struct {
	inUse int
}

// InUse returns the number of this host's tasks in progress on the minion.
func (m *Minion) InUse() int { return m.inUse }

// Ready reports whether the minion may be given new work: its lease is valid and
// it is neither leaving nor drained.
func (m *Minion) Ready(now time.Time) bool {
	return !m.Leaving && !m.Draining && m.LeaseUntil.After(now)
}

// Offers reports whether the minion runs the service.
func (m *Minion) Offers(service string) bool { return slices.Contains(m.Services, service) }

// Fits reports whether one task of the given size fits the minion while nothing
// else runs on it. If a minion declares no CPU or no memory capacity, every task
// fits in this respect; accelerators must always be declared.
func (m *Minion) Fits(s job.Size) bool {
	return (m.MilliCPU == 0 || s.MilliCPU <= m.MilliCPU) &&
		(m.MemoryMB == 0 || s.MemoryMB <= m.MemoryMB) &&
		s.Accelerators <= m.Accelerators
}

// hasFreeResources reports whether a task of the given size fits beside this
// host's tasks in progress, by their declared sizes.
func (m *Minion) hasFreeResources(s job.Size) bool {
	if s == (job.Size{}) {
		return true
	}
	return m.Fits(job.Size{
		MilliCPU:     m.usedResources.MilliCPU + s.MilliCPU,
		MemoryMB:     m.usedResources.MemoryMB + s.MemoryMB,
		Accelerators: m.usedResources.Accelerators + s.Accelerators,
	})
}

// Registry holds the minions known to one host.
type Registry struct {
	lease     time.Duration
	minions   map[string]*Minion
	drained   map[string]bool // names of minions drained by the configuration
	racks     map[string]*rack
	byService map[string][]*Minion       // minions of each service, ordered by name
	ordered   []*Minion                  // by name
	runTimes  map[string]*serviceRunTime // by service

	share Share
	inUse int // tasks of this host in progress
}

// NewRegistry returns an empty registry that grants leases of the given length.
func NewRegistry(lease time.Duration) *Registry {
	return &Registry{
		lease:     lease,
		minions:   make(map[string]*Minion),
		drained:   make(map[string]bool),
		racks:     make(map[string]*rack),
		byService: make(map[string][]*Minion),
		runTimes:  make(map[string]*serviceRunTime),
		share:     Share{All: true},
	}
}

// LeaseDuration returns how long a lease lasts.
func (r *Registry) LeaseDuration() time.Duration { return r.lease }

// Get returns the named minion, or nil.
func (r *Registry) Get(name string) *Minion { return r.minions[name] }

// Len returns the number of known minions.
func (r *Registry) Len() int { return len(r.minions) }

// Announce adds a minion, or updates it and extends its lease. remaining is the
// remaining time of the lease: the whole lease for a direct announcement, less for
// a relayed one. local is true if the minion announced itself to this host. An
// announcement of an older generation than the known one is ignored; Announce then
// returns false.
func (r *Registry) Announce(now time.Time, a Announcement, remaining time.Duration, local bool) bool {
	m := r.minions[a.Name]
	if m != nil && a.Generation < m.Generation {
		return false
	}
	if m == nil {
		m = &Minion{}
		r.minions[a.Name] = m
	}
	if a.Generation > m.Generation {
		m.Leaving = false
		m.limit = concurrencyLimit{}
		m.health = health{}
	}
	m.Announcement = a
	m.Local = local
	m.Draining = r.drained[a.Name]
	m.extendLease(now.Add(remaining), local)
	r.rebuildIndexes()
	return true
}

// rebuildIndexes rebuilds the ordered lists, the task counts of the racks and the
// shares. It runs only when a minion is announced or removed, which is rare
// compared to starts.
func (r *Registry) rebuildIndexes() {
	r.byService = make(map[string][]*Minion)
	r.racks = make(map[string]*rack)
	r.ordered = r.All()
	for _, m := range r.ordered {
		if r.racks[m.Rack] == nil {
			r.racks[m.Rack] = &rack{}
		}
		m.rack = r.racks[m.Rack]
		m.rack.inUse += m.inUse
		for _, s := range m.Services {
			r.byService[s] = append(r.byService[s], m)
		}
	}
	r.applyShare()
}

// Renew extends the lease of a known minion. It returns false if no minion of
// this name and generation is known; the sender must then send a full announcement.
func (r *Registry) Renew(now time.Time, name string, generation uint64, remaining time.Duration, local bool) bool {
	m := r.minions[name]
	if m == nil || m.Generation != generation {
		return false
	}
	m.extendLease(now.Add(remaining), local)
	return true
}

// extendLease moves the end of the lease to until, unless it ends later already.
func (m *Minion) extendLease(until time.Time, local bool) {
	if local {
		m.Local = true
		m.LocalLeaseUntil = until
	}
	if until.After(m.LeaseUntil) {
		m.LeaseUntil = until
	}
}

// MarkLeaving marks a minion as leaving. It returns false if the minion is unknown,
// is known under a newer generation or is already leaving.
func (r *Registry) MarkLeaving(name string, generation uint64) bool {
	m := r.minions[name]
	if m == nil || m.Generation > generation || m.Leaving {
		return false
	}
	m.Leaving = true
	return true
}

// SetDrains replaces the set of minions drained by the configuration.
func (r *Registry) SetDrains(names []string) {
	r.drained = make(map[string]bool, len(names))
	for _, n := range names {
		r.drained[n] = true
	}
	for _, m := range r.minions {
		m.Draining = r.drained[m.Name]
	}
}

// RemoveExpired removes the minions whose lease has expired and that run no task of
// this host. It returns the removed minions ordered by name.
func (r *Registry) RemoveExpired(now time.Time) []*Minion {
	var expired []*Minion
	for name, m := range r.minions {
		if m.LeaseUntil.After(now) || m.inUse > 0 {
			continue
		}
		expired = append(expired, m)
		delete(r.minions, name)
	}
	if len(expired) > 0 {
		sort.Slice(expired, func(i, k int) bool { return expired[i].Name < expired[k].Name })
		r.rebuildIndexes()
	}
	return expired
}

// Acquire reserves a slot of the minion, and resources of the given size, for a
// task that this host is about to start.
func (r *Registry) Acquire(now time.Time, m *Minion, size job.Size) {
	invariant.Check(m.Ready(now), "start on minion %s, which is %s", m.Name, m.State(now))
	invariant.Check(m.inUse < m.share, "start on minion %s with %d of %d slots in use", m.Name, m.inUse, m.share)
	m.limit.recordStart(now, m.inUse)
	m.inUse++
	m.rack.inUse++
	r.inUse++
	m.usedResources.MilliCPU += size.MilliCPU
	m.usedResources.MemoryMB += size.MemoryMB
	m.usedResources.Accelerators += size.Accelerators
}

// Release frees the slot and resources of a task that reached the minion.
func (r *Registry) Release(name string, size job.Size) { r.release(name, size) }

// ReleaseRefused frees the slot and resources of a start that the minion refused or
// whose connection was refused. From then on the minion gets no more concurrent
// tasks than this host has in progress there, until it accepts one more in a trial.
// The first trial follows after pause, and each refused trial doubles the pause, so
// that few messages are wasted on slots used by other hosts or on a dead minion.
func (r *Registry) ReleaseRefused(now time.Time, name string, size job.Size, pause time.Duration) {
	m := r.release(name, size)
	if m == nil {
		return
	}
	m.limit.recordRefusal(now, m.inUse, pause)
}

// release frees the slot and resources of a task. It returns the minion, or nil if
// the minion is unknown or runs no task of this host.
func (r *Registry) release(name string, size job.Size) *Minion {
	m := r.minions[name]
	if m == nil || m.inUse == 0 {
		return nil
	}
	m.inUse--
	m.rack.inUse--
	r.inUse--
	m.usedResources.MilliCPU -= size.MilliCPU
	m.usedResources.MemoryMB -= size.MemoryMB
	m.usedResources.Accelerators -= size.Accelerators
	return m
}

// Pick returns the best minion for one task, or nil. Candidates are ready, offer
// the service, and have a free slot and enough free resources for the size. With
// knownFree, Pick makes no trial: it skips a minion that recently refused a task
// and already has as many tasks as it is known to accept. It prefers minions
// without accelerators for tasks that need none, then the most free slots, then
// the rack with the fewest tasks of this host, then the first by name.
func (r *Registry) Pick(now time.Time, service string, size job.Size, knownFree bool) *Minion {
	var best *Minion
	for _, m := range r.byService[service] {
		if m.inUse >= m.share || best != nil && !m.isBetterThan(best, size.Accelerators == 0) {
			continue
		}
		if !m.limit.allows(now, m.inUse, knownFree) || !m.health.allows(now, m.inUse) || !m.Ready(now) || !m.hasFreeResources(size) {
			continue
		}
		best = m
	}
	return best
}

// isBetterThan reports whether Pick prefers m to other. It returns false if both
// are equal, so that the first by name is picked.
func (m *Minion) isBetterThan(other *Minion, avoidAccelerators bool) bool {
	if avoidAccelerators && (m.Accelerators > 0) != (other.Accelerators > 0) {
		return m.Accelerators == 0
	}
	if a, b := m.share-m.inUse, other.share-other.inUse; a != b {
		return a > b
	}
	return m.rack.inUse < other.rack.inUse
}

// Placeable reports whether any ready minion offers the service, and whether a
// task of the given size fits one of them while nothing else runs there.
func (r *Registry) Placeable(now time.Time, service string, size job.Size) (offered, fits bool) {
	for _, m := range r.byService[service] {
		if !m.Ready(now) {
			continue
		}
		offered = true
		if m.Fits(size) {
			return true, true
		}
	}
	return offered, false
}

// All returns the minions ordered by name.
func (r *Registry) All() []*Minion {
	out := make([]*Minion, 0, len(r.minions))
	for _, m := range r.minions {
		out = append(out, m)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Name < out[k].Name })
	return out
}

// State is a minion's readiness for new work.
type State uint8

// Minion states.
const (
	StateReady State = iota
	StateLeaving
	StateDraining
	StateExpired
	StateEjected // failed or slow; gets only probes
)

// String returns the state's name as the API reports it.
func (s State) String() string {
	return [...]string{"ready", "leaving", "draining", "expired", "ejected"}[s]
}

// State returns the minion's state at now.
func (m *Minion) State(now time.Time) State {
	switch {
	case !m.LeaseUntil.After(now):
		return StateExpired
	case m.Leaving:
		return StateLeaving
	case m.Draining:
		return StateDraining
	case m.health.ejected || m.health.peerEjected:
		return StateEjected
	}
	return StateReady
}
