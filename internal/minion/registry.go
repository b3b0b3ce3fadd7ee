// Package minion tracks the backend servers that announced themselves to a
// failure domain: their leases, slots and readiness for new work.
//
// The package is pure: every method takes the current time; it does no I/O,
// starts no goroutine and reads no clock.
package minion

import (
	"slices"
	"sort"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
)

// Announcement is what a minion says about itself.
type Announcement struct {
	Name          string   `json:"name" msgpack:"n" validate:"required,max=128"`
	Worker        string   `json:"worker" msgpack:"w" validate:"required,max=128"`
	Rack          string   `json:"rack" msgpack:"r" validate:"required,max=128"`
	FailureDomain string   `json:"failure_domain" msgpack:"d" validate:"required,max=128"`
	Services      []string `json:"services" msgpack:"s" validate:"required,min=1,max=64,dive,required,max=128"`
	Slots         int      `json:"slots" msgpack:"l" validate:"min=1,max=4096"`
	Connections   int      `json:"connections" msgpack:"c" validate:"min=1,max=65536"`
	Address       string   `json:"address" msgpack:"a" validate:"required,hostname_port"`
	MilliCPU      int      `json:"milli_cpu" msgpack:"p" validate:"min=0"`
	MemoryMB      int      `json:"memory_mb" msgpack:"m" validate:"min=0"`
	Accelerators  int      `json:"accelerators" msgpack:"x" validate:"min=0"`
	// Generation orders announcements of one name: a restarted minion
	// announces a higher one.
	Generation uint64 `json:"generation" msgpack:"g"`
}

// Minion is the state of one announced backend server.
type Minion struct {
	Announcement
	LeaseUntil time.Time
	Leaving    bool // announced its leave; no new work
	Draining   bool // drained by an operator; no new work
	Local      bool // announced to this host, which relays its lease
	// LocalUntil ends the lease that announcements to this host granted. Only
	// this one is relayed: a relayed lease that is relayed again would gain the
	// delay of each hop.
	LocalUntil time.Time

	share  int      // slots that this host may use
	inUse  int      // tasks of this host in progress
	used   job.Size // sum of their declared sizes
	rack   *rack
	limit  limit
	health health
}

// rack counts the tasks of this host in progress on its minions.
type rack struct {
	inUse int
}

// InUse returns the number of this host's tasks in progress on the minion.
func (m *Minion) InUse() int { return m.inUse }

// Ready reports whether the minion may be given new work at now.
func (m *Minion) Ready(now time.Time) bool {
	return !m.Leaving && !m.Draining && m.LeaseUntil.After(now)
}

// Offers reports whether the minion runs the service.
func (m *Minion) Offers(service string) bool { return slices.Contains(m.Services, service) }

// Fits reports whether one task of the given size fits the empty minion. A
// minion that declares no capacity fits every size.
func (m *Minion) Fits(s job.Size) bool {
	return (m.MilliCPU == 0 || s.MilliCPU <= m.MilliCPU) &&
		(m.MemoryMB == 0 || s.MemoryMB <= m.MemoryMB) &&
		s.Accelerators <= m.Accelerators
}

// hasRoom reports whether a task fits beside the declared sizes in progress.
func (m *Minion) hasRoom(s job.Size) bool {
	if s == (job.Size{}) {
		return true
	}
	return m.Fits(job.Size{
		MilliCPU:     m.used.MilliCPU + s.MilliCPU,
		MemoryMB:     m.used.MemoryMB + s.MemoryMB,
		Accelerators: m.used.Accelerators + s.Accelerators,
	})
}

// Registry holds the minions known to one host.
type Registry struct {
	lease   time.Duration
	minions map[string]*Minion
	drains  map[string]bool // minion names drained by the configuration
	racks   map[string]*rack
	offers  map[string][]*Minion // by service, ordered by name
	ordered []*Minion            // by name
	runs    map[string]*serviceRun

	share Share
	inUse int // tasks of this host in progress
}

// NewRegistry returns an empty registry that grants leases of the given length.
func NewRegistry(lease time.Duration) *Registry {
	return &Registry{
		lease:   lease,
		minions: make(map[string]*Minion),
		drains:  make(map[string]bool),
		racks:   make(map[string]*rack),
		offers:  make(map[string][]*Minion),
		runs:    make(map[string]*serviceRun),
		share:   Share{All: true},
	}
}

// Lease returns the length of a lease.
func (r *Registry) Lease() time.Duration { return r.lease }

// Get returns the named minion, or nil.
func (r *Registry) Get(name string) *Minion { return r.minions[name] }

// Len returns the number of known minions.
func (r *Registry) Len() int { return len(r.minions) }

// Announce adds or renews a minion. remaining is the rest of its lease: the
// whole lease for a direct announcement, less for a relayed one. An
// announcement with an older generation than the known one is ignored.
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
		m.limit = limit{}
		m.health = health{}
	}
	m.Announcement = a
	m.Local = local
	m.Draining = r.drains[a.Name]
	m.extend(now.Add(remaining), local)
	r.index()
	return true
}

// index rebuilds the lists by service and the racks' counts. Announcements and
// expiries are rare beside starts.
func (r *Registry) index() {
	r.offers = make(map[string][]*Minion)
	r.racks = make(map[string]*rack)
	r.ordered = r.All()
	for _, m := range r.ordered {
		if r.racks[m.Rack] == nil {
			r.racks[m.Rack] = &rack{}
		}
		m.rack = r.racks[m.Rack]
		m.rack.inUse += m.inUse
		for _, s := range m.Services {
			r.offers[s] = append(r.offers[s], m)
		}
	}
	r.applyShare()
}

// Renew extends the lease of a known minion. It reports false when the name
// and generation are not known, so that the sender announces in full.
func (r *Registry) Renew(now time.Time, name string, generation uint64, remaining time.Duration, local bool) bool {
	m := r.minions[name]
	if m == nil || m.Generation != generation {
		return false
	}
	m.extend(now.Add(remaining), local)
	return true
}

func (m *Minion) extend(until time.Time, local bool) {
	if local {
		m.Local = true
		m.LocalUntil = until
	}
	if until.After(m.LeaseUntil) {
		m.LeaseUntil = until
	}
}

// Leave marks a minion as leaving. It reports whether this changed anything.
func (r *Registry) Leave(name string, generation uint64) bool {
	m := r.minions[name]
	if m == nil || m.Generation > generation || m.Leaving {
		return false
	}
	m.Leaving = true
	return true
}

// SetDrains replaces the set of minions drained by the configuration.
func (r *Registry) SetDrains(names []string) {
	r.drains = make(map[string]bool, len(names))
	for _, n := range names {
		r.drains[n] = true
	}
	for _, m := range r.minions {
		m.Draining = r.drains[m.Name]
	}
}

// Tick forgets minions whose lease has ended and that run nothing for this
// host, and returns those whose lease ended since the last call.
func (r *Registry) Tick(now time.Time) []*Minion {
	var gone []*Minion
	for name, m := range r.minions {
		if m.LeaseUntil.After(now) || m.inUse > 0 {
			continue
		}
		gone = append(gone, m)
		delete(r.minions, name)
	}
	if len(gone) > 0 {
		sort.Slice(gone, func(i, k int) bool { return gone[i].Name < gone[k].Name })
		r.index()
	}
	return gone
}

// Acquire takes a slot of the minion for one start of this host.
func (r *Registry) Acquire(now time.Time, m *Minion, size job.Size) {
	invariant.Check(m.Ready(now), "start on minion %s, which is %s", m.Name, m.State(now))
	invariant.Check(m.inUse < m.share, "start on minion %s with %d of %d slots in use", m.Name, m.inUse, m.share)
	m.limit.started(now, m.inUse)
	m.inUse++
	m.rack.inUse++
	r.inUse++
	m.used.MilliCPU += size.MilliCPU
	m.used.MemoryMB += size.MemoryMB
	m.used.Accelerators += size.Accelerators
}

// Release gives back the slot of a start that reached the minion.
func (r *Registry) Release(name string, size job.Size) { r.release(name, size) }

// Refuse gives back the slot of a start that the minion, or its closed
// listener, refused. From then on the minion gets no more tasks at a time than
// it has, until it takes one more at a trial. The first trial comes after
// pause, the next after twice as long, so that neither slots which other hosts
// use nor a dead minion cost many messages.
func (r *Registry) Refuse(now time.Time, name string, size job.Size, pause time.Duration) {
	m := r.release(name, size)
	if m == nil {
		return
	}
	m.limit.refused(now, m.inUse, pause)
}

func (r *Registry) release(name string, size job.Size) *Minion {
	m := r.minions[name]
	if m == nil || m.inUse == 0 {
		return nil
	}
	m.inUse--
	m.rack.inUse--
	r.inUse--
	m.used.MilliCPU -= size.MilliCPU
	m.used.MemoryMB -= size.MemoryMB
	m.used.Accelerators -= size.Accelerators
	return m
}

// Pick returns the best minion for one task among those that are ready, offer
// the service and have a free slot and room for the size, or nil. With sure, a
// minion that lately refused is not tried beyond what it took. Minions
// without accelerators are preferred for tasks that need none, then the most
// free slots, then the rack with the fewest tasks.
func (r *Registry) Pick(now time.Time, service string, size job.Size, sure bool) *Minion {
	var best *Minion
	for _, m := range r.offers[service] {
		if m.inUse >= m.share || best != nil && !m.better(best, size.Accelerators == 0) {
			continue
		}
		if !m.limit.allows(now, m.inUse, sure) || !m.health.allows(now, m.inUse) || !m.Ready(now) || !m.hasRoom(size) {
			continue
		}
		best = m
	}
	return best
}

// better reports whether m goes before another minion that comes before it in
// the order of names.
func (m *Minion) better(other *Minion, spareAccelerators bool) bool {
	if spareAccelerators && (m.Accelerators > 0) != (other.Accelerators > 0) {
		return m.Accelerators == 0
	}
	if a, b := m.share-m.inUse, other.share-other.inUse; a != b {
		return a > b
	}
	return m.rack.inUse < other.rack.inUse
}

// Placeable reports whether any minion offers the service, and whether any of
// those fits the size.
func (r *Registry) Placeable(now time.Time, service string, size job.Size) (offered, fits bool) {
	for _, m := range r.offers[service] {
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
	StateEjected // single probes only, after failures or slowness
)

// String returns the state's wire name.
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
	case m.health.ejected || m.health.barred:
		return StateEjected
	}
	return StateReady
}
