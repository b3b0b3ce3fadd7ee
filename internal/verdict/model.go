// Package verdict decides which part of the system an answer waited for: a
// network link, the queue, the service's run time, a straggling minion, the
// search for a key's owner, the caller, or the host itself.
//
// A Model learns what is usual from the outcomes of tasks: the round trip of
// each link to a minion without the minion's own time, and the run times of
// each service by minion. A leg of an answer counts by how far it exceeds what
// is usual. Where a minion does not report its own time, a slow trip is
// unknown rather than the network's.
//
// The package is pure: every method takes the current time; it does no I/O,
// starts no goroutine and reads no clock.
package verdict

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
)

const (
	linkWindow   = 64  // round trips remembered per link
	runWindow    = 512 // run times remembered per service
	refreshEvery = 16  // observations between two calculations of a baseline
	minSamples   = 16  // fewer say nothing about what is usual
	// minShared is the least time that runs on other minions must have shared
	// with one, in units of its own, to be held against it.
	minShared     = 2
	maxLinks      = 4096 // minions remembered
	maxServices   = 128  // services remembered
	linkQuantile  = 0.1  // of a link's round trips: its baseline
	stragglerTail = 0.95 // quantile of other minions' runs that a straggler exceeds
	// stragglerFactor is by how much a straggler exceeds stragglerTail.
	stragglerFactor = 2
	// chronicFactor bounds a link's baseline by that of the other links, so
	// that a link which is always slow does not become usual.
	chronicFactor = 4
	maxCompared   = 64 // other links that one is held against
)

// runEvery is the least distance of two remembered runs, so that the window
// reaches back for seconds at any rate.
const runEvery = 10 * time.Millisecond

// Model holds what is usual on one host.
type Model struct {
	host     string
	links    map[string]*link // to minions
	peers    map[string]*link
	services map[string]*service
	pauses   pauses
}

// NewModel returns a Model of the named host that has learned nothing.
func NewModel(host string) *Model {
	return &Model{host: host, links: make(map[string]*link), peers: make(map[string]*link), services: make(map[string]*service)}
}

// link is what is usual between the host and one minion.
type link struct {
	trips    *window
	observed int
	baseline time.Duration
}

// service is what is usual for one service.
type service struct {
	runs       []run // ring
	next       int
	observed   int
	lastAt     time.Time     // when the newest run ended
	median     time.Duration // of all runs
	unreported *window       // trips of minions that do not report their own time
	running    map[job.TaskID]start
}

// start is a task in progress.
type start struct {
	minion string
	at     time.Time
}

type run struct {
	minion string
	began  time.Time
	took   time.Duration
}

// Beat records that the host ran at now. It is called for each input and timer.
func (m *Model) Beat(now time.Time) { m.pauses.beat(now) }

// Started records that a task is about to be sent.
func (m *Model) Started(now time.Time, serviceName, minion string, id job.TaskID) {
	m.service(serviceName).running[id] = start{minion, now}
}

// Disproved records that a task was not started after all.
func (m *Model) Disproved(serviceName string, id job.TaskID) {
	delete(m.service(serviceName).running, id)
}

// Observe learns from the outcome of one task.
func (m *Model) Observe(serviceName, minion string, id job.TaskID, o job.Outcome) {
	s := m.service(serviceName)
	delete(s.running, id)
	if o.Trip <= 0 || o.SentAt.IsZero() {
		return
	}
	own := max(o.Own, o.Run)
	if own == 0 {
		s.unreported.add(o.Trip)
		return
	}
	s.add(run{minion, o.SentAt, o.Run}, o.SentAt.Add(o.Trip))
	// What the host itself lost while it waited says nothing about the link.
	stood := m.pauses.overlap(o.SentAt, o.SentAt.Add(o.Trip))
	linkOf(m.links, minion).add(max(0, o.Trip-own-stood))
}

// ObservePeer learns the round trip of a heartbeat to another host.
func (m *Model) ObservePeer(host string, trip time.Duration) {
	if trip > 0 {
		linkOf(m.peers, host).add(trip)
	}
}

func linkOf(links map[string]*link, name string) *link {
	l := links[name]
	if l == nil {
		makeRoom(links, maxLinks)
		l = &link{trips: newWindow(linkWindow)}
		links[name] = l
	}
	return l
}

// usualPeerTrip returns the usual round trip to another host.
func (m *Model) usualPeerTrip(host string) time.Duration {
	if l := m.peers[host]; l != nil {
		return l.baseline
	}
	return 0
}

func (m *Model) service(name string) *service {
	s := m.services[name]
	if s == nil {
		makeRoom(m.services, maxServices)
		s = &service{unreported: newWindow(linkWindow), running: make(map[job.TaskID]start)}
		m.services[name] = s
	}
	return s
}

// makeRoom drops an arbitrary entry of a full map: it is learned again.
func makeRoom[V any](entries map[string]V, bound int) {
	if len(entries) < bound {
		return
	}
	for k := range entries {
		delete(entries, k)
		return
	}
}

func (l *link) add(d time.Duration) {
	l.trips.add(d)
	if l.observed%refreshEvery == 0 {
		l.baseline = l.trips.quantile(linkQuantile)
	}
	l.observed++
}

func (s *service) add(r run, ended time.Time) {
	if ended.Sub(s.lastAt) < runEvery {
		return
	}
	s.lastAt = ended
	if len(s.runs) < runWindow {
		s.runs = append(s.runs, r)
	} else {
		s.runs[s.next] = r
		s.next = (s.next + 1) % runWindow
	}
	if s.observed%refreshEvery == 0 {
		s.median = quantile(s.others(""), 0.5)
	}
	s.observed++
}

// others returns the runs on minions other than the named one.
func (s *service) others(minion string) []time.Duration {
	out := make([]time.Duration, 0, len(s.runs))
	for i := range s.runs {
		if s.runs[i].minion != minion {
			out = append(out, s.runs[i].took)
		}
	}
	return out
}

// usualTrip returns the usual round trip to a minion without the minion's own
// time. A link that was not observed is held against the other links.
func (m *Model) usualTrip(minion string) time.Duration {
	l := m.links[minion]
	var rest []time.Duration
	for name, other := range m.links {
		if len(rest) == maxCompared {
			break
		}
		if name != minion {
			rest = append(rest, other.baseline)
		}
	}
	median := quantile(rest, 0.5)
	switch {
	case l == nil:
		return median
	case len(rest) == 0:
		return l.baseline
	}
	return min(l.baseline, chronicFactor*median)
}

// runExcess splits what a run took beyond the usual into the service's own
// part and a straggler's. Without enough samples the whole run is the service's.
func (m *Model) runExcess(now time.Time, serviceName, minion string, took time.Duration) (excess time.Duration, straggler bool) {
	s := m.services[serviceName]
	if s == nil {
		return took, false
	}
	if len(s.runs) >= minSamples && took <= s.median {
		return 0, false
	}
	others := s.others(minion)
	if len(others) < minSamples {
		return took, false
	}
	usual := quantile(others, 0.5)
	if took <= stragglerFactor*usual {
		return max(0, took-usual), false
	}
	tail := quantile(others, stragglerTail)
	elsewhere, here := s.during(now.Add(-took), now, minion)
	if elsewhere.weight() >= minShared*took {
		tail = elsewhere.quantile(stragglerTail)
	}
	if took > stragglerFactor*tail {
		return max(0, took-usual), true
	}
	// A short task on a slow minion can end inside the tail of the others; the
	// minion's other runs at the time show that it was slow.
	slowHere := here.weight() >= minShared*took && here.quantile(0.5) > stragglerFactor*tail
	return max(0, took-usual), slowHere
}

// during returns the runs that lasted at the same time as one on the named
// minion, those on other minions and those on its own, each weighted by the
// time in common. They tell a slow minion from a service that was slow
// everywhere for a while: short runs are many, but take little time.
func (s *service) during(from, to time.Time, minion string) (elsewhere, here weightedRuns) {
	add := func(other string, began time.Time, took time.Duration) {
		shared := overlap(began, began.Add(took), from, to)
		switch {
		case shared <= 0:
		case other == minion:
			here = append(here, weightedRun{took, shared})
		default:
			elsewhere = append(elsewhere, weightedRun{took, shared})
		}
	}
	for i := range s.runs {
		add(s.runs[i].minion, s.runs[i].began, s.runs[i].took)
	}
	for _, r := range s.running {
		add(r.minion, r.at, to.Sub(r.at))
	}
	return elsewhere, here
}

// unreportedExcess returns what a trip without the minion's own time took
// beyond the usual for such trips.
func (m *Model) unreportedExcess(serviceName string, trip time.Duration) time.Duration {
	s := m.services[serviceName]
	if s == nil || len(s.unreported.samples) < minSamples {
		return trip
	}
	return max(0, trip-s.unreported.quantile(0.5))
}
