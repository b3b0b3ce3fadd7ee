// Package verdict attributes the time of an answer to the part of the system that
// delayed it: a network link, the queue, the service's run time, a straggling
// minion, locating the owner of the key, the caller, or this host itself.
//
// A Model learns baselines from the outcomes of tasks: the round trip of each link
// to a minion without the minion's own time, and the run times of each service by
// minion. The verdict names the part whose time exceeds its baseline most. If a
// minion does not report its own time, the part that caused a slow round trip is
// unknown, and the network is not named.
//
// The package is deterministic: every method that depends on time takes the time
// as an argument. It does no I/O, starts no goroutine and reads no clock.
package verdict

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
)

const (
	linkWindow   = 64  // round trips remembered per link
	runWindow    = 512 // run times remembered per service
	refreshEvery = 16  // samples between two calculations of a baseline
	minSamples   = 16  // needed for a baseline
	// minOverlapFactor is the minimum total time during which other runs must
	// have overlapped a run to be compared with it, in multiples of its duration.
	minOverlapFactor = 2
	maxLinks         = 4096 // minions remembered; the same limit applies to hosts
	maxServices      = 128  // services remembered
	linkQuantile     = 0.1  // quantile of a link's round trips that is its baseline
	stragglerTail    = 0.95 // quantile of the run times on other minions that a straggler exceeds
	// stragglerFactor is the factor by which a straggler exceeds the
	// stragglerTail quantile.
	stragglerFactor = 2
	// maxBaselineRatio limits a link's baseline to this multiple of the median
	// baseline of the other links, so that the delay of a permanently slow link
	// still counts as excess.
	maxBaselineRatio = 4
	maxComparedLinks = 64 // other links that a link is compared with
)

// runSampleInterval is the minimum time between the ends of two remembered runs of
// a service, so that runWindow runs cover some seconds even at a high task rate.
const runSampleInterval = 10 * time.Millisecond

// Model holds the baselines that one host has learned.
type Model struct {
	host     string
	links    map[string]*linkStats // to minions
	peers    map[string]*linkStats // to other hosts
	services map[string]*serviceStats
	pauses   pauseLog
}

// NewModel returns a Model of the named host without any samples.
func NewModel(host string) *Model {
	return &Model{host: host, links: make(map[string]*linkStats), peers: make(map[string]*linkStats), services: make(map[string]*serviceStats)}
}

// linkStats holds the round trips between this host and one minion or host.
type linkStats struct {
	roundTrips *window
	observed   int // round trips recorded in total
	baseline   time.Duration
}

// serviceStats holds the run times of one service.
type serviceStats struct {
	runs       []completedRun // ring buffer
	next       int            // index of the oldest run once the buffer is full
	observed   int            // runs recorded in total
	newestEnd  time.Time      // when the newest run ended
	median     time.Duration  // of the remembered runs on all minions
	unreported *window        // round trips to minions that do not report their own time
	running    map[job.TaskID]runningTask
}

// runningTask is a task that was sent and has no outcome yet.
type runningTask struct {
	minion    string
	startedAt time.Time
}

// completedRun is the run of a task that ended.
type completedRun struct {
	minion    string
	startedAt time.Time
	duration  time.Duration
}

// RecordActivity records that this host is processing an input or a timer at now. A gap
// between two calls is a pause of the host.
func (m *Model) RecordActivity(now time.Time) { m.pauses.recordActivity(now) }

// RecordStart records that a task is about to be sent.
func (m *Model) RecordStart(now time.Time, serviceName, minion string, id job.TaskID) {
	m.getOrCreateService(serviceName).running[id] = runningTask{minion, now}
}

// RecordDisprovedStart records that the minion certainly did not run the task.
func (m *Model) RecordDisprovedStart(serviceName string, id job.TaskID) {
	delete(m.getOrCreateService(serviceName).running, id)
}

// RecordOutcome updates the baselines from the outcome of one task.
func (m *Model) RecordOutcome(serviceName, minion string, id job.TaskID, o job.Outcome) {
	s := m.getOrCreateService(serviceName)
	delete(s.running, id)
	if o.Trip <= 0 || o.SentAt.IsZero() {
		return
	}
	own := max(o.Own, o.Run)
	if own == 0 {
		s.unreported.add(o.Trip)
		return
	}
	s.recordRun(completedRun{minion, o.SentAt, o.Run}, o.SentAt.Add(o.Trip))
	// Pauses of this host while it waited for the outcome say nothing about the link.
	paused := m.pauses.overlap(o.SentAt, o.SentAt.Add(o.Trip))
	getOrCreateLink(m.links, minion).recordRoundTrip(max(0, o.Trip-own-paused))
}

// RecordPeerRoundTrip updates the baseline of the link to another host from the round trip
// of a heartbeat.
func (m *Model) RecordPeerRoundTrip(host string, trip time.Duration) {
	if trip > 0 {
		getOrCreateLink(m.peers, host).recordRoundTrip(trip)
	}
}

// getOrCreateLink returns the named link and adds it to links if it is missing.
func getOrCreateLink(links map[string]*linkStats, name string) *linkStats {
	l := links[name]
	if l == nil {
		evictIfFull(links, maxLinks)
		l = &linkStats{roundTrips: newWindow(linkWindow)}
		links[name] = l
	}
	return l
}

// baselinePeerTrip returns the baseline round trip to another host, or 0 if none was
// measured.
func (m *Model) baselinePeerTrip(host string) time.Duration {
	if l := m.peers[host]; l != nil {
		return l.baseline
	}
	return 0
}

// getOrCreateService returns the statistics of the service and adds them if they are
// missing.
func (m *Model) getOrCreateService(name string) *serviceStats {
	s := m.services[name]
	if s == nil {
		evictIfFull(m.services, maxServices)
		s = &serviceStats{unreported: newWindow(linkWindow), running: make(map[job.TaskID]runningTask)}
		m.services[name] = s
	}
	return s
}

// evictIfFull removes an arbitrary entry if the map has reached maxEntries. Its
// contents are learned again from later samples.
func evictIfFull[V any](entries map[string]V, maxEntries int) {
	if len(entries) < maxEntries {
		return
	}
	for k := range entries {
		delete(entries, k)
		return
	}
}

func (l *linkStats) recordRoundTrip(d time.Duration) {
	l.roundTrips.add(d)
	if l.observed%refreshEvery == 0 {
		l.baseline = l.roundTrips.quantile(linkQuantile)
	}
	l.observed++
}

// recordRun records a run unless the previous one ended less than
// runSampleInterval before.
func (s *serviceStats) recordRun(r completedRun, ended time.Time) {
	if ended.Sub(s.newestEnd) < runSampleInterval {
		return
	}
	s.newestEnd = ended
	if len(s.runs) < runWindow {
		s.runs = append(s.runs, r)
	} else {
		s.runs[s.next] = r
		s.next = (s.next + 1) % runWindow
	}
	if s.observed%refreshEvery == 0 {
		s.median = quantile(s.runTimesElsewhere(""), 0.5)
	}
	s.observed++
}

// runTimesElsewhere returns the run times on all minions but the named one.
func (s *serviceStats) runTimesElsewhere(minion string) []time.Duration {
	out := make([]time.Duration, 0, len(s.runs))
	for i := range s.runs {
		if s.runs[i].minion != minion {
			out = append(out, s.runs[i].duration)
		}
	}
	return out
}

// baselineTrip returns the baseline round trip to a minion without the minion's own
// time. For a link without samples it is the median baseline of the other links.
func (m *Model) baselineTrip(minion string) time.Duration {
	l := m.links[minion]
	var otherBaselines []time.Duration
	for name, other := range m.links {
		if len(otherBaselines) == maxComparedLinks {
			break
		}
		if name != minion {
			otherBaselines = append(otherBaselines, other.baseline)
		}
	}
	median := quantile(otherBaselines, 0.5)
	switch {
	case l == nil:
		return median
	case len(otherBaselines) == 0:
		return l.baseline
	}
	return min(l.baseline, maxBaselineRatio*median)
}

// runExcess returns the time of a run beyond the median run time on the other
// minions, and whether the minion is a straggler, that is, much slower than the
// other minions. Without enough samples the whole run time is excess, and the
// minion is not a straggler.
func (m *Model) runExcess(now time.Time, serviceName, minion string, duration time.Duration) (excess time.Duration, straggler bool) {
	s := m.services[serviceName]
	if s == nil {
		return duration, false
	}
	if len(s.runs) >= minSamples && duration <= s.median {
		return 0, false
	}
	others := s.runTimesElsewhere(minion)
	if len(others) < minSamples {
		return duration, false
	}
	typical := quantile(others, 0.5)
	if duration <= stragglerFactor*typical {
		return max(0, duration-typical), false
	}
	tail := quantile(others, stragglerTail)
	elsewhere, here := s.concurrentRuns(now.Add(-duration), now, minion)
	if elsewhere.totalWeight() >= minOverlapFactor*duration {
		tail = elsewhere.quantile(stragglerTail)
	}
	if duration > stragglerFactor*tail {
		return max(0, duration-typical), true
	}
	// A short task on a slow minion can take less time than the slowest runs on
	// other minions. The minion's other runs at that time show that it was slow.
	slowHere := here.totalWeight() >= minOverlapFactor*duration && here.quantile(0.5) > stragglerFactor*tail
	return max(0, duration-typical), slowHere
}

// concurrentRuns returns the runs that overlap the interval from..to, on the named
// minion (here) and on the other minions (elsewhere). Each is weighted by the length
// of its overlap, since short runs are numerous but cover little time. The runs
// distinguish a slow minion from a service that was slow on all minions for a while.
func (s *serviceStats) concurrentRuns(from, to time.Time, minion string) (elsewhere, here weightedRuns) {
	add := func(runMinion string, startedAt time.Time, duration time.Duration) {
		shared := overlap(startedAt, startedAt.Add(duration), from, to)
		switch {
		case shared <= 0:
		case runMinion == minion:
			here = append(here, weightedRun{duration, shared})
		default:
			elsewhere = append(elsewhere, weightedRun{duration, shared})
		}
	}
	for i := range s.runs {
		add(s.runs[i].minion, s.runs[i].startedAt, s.runs[i].duration)
	}
	for _, r := range s.running {
		add(r.minion, r.startedAt, to.Sub(r.startedAt))
	}
	return elsewhere, here
}

// unreportedExcess returns the time of a round trip beyond the median of its
// service, for a minion that does not report its own time.
func (m *Model) unreportedExcess(serviceName string, trip time.Duration) time.Duration {
	s := m.services[serviceName]
	if s == nil || len(s.unreported.samples) < minSamples {
		return trip
	}
	return max(0, trip-s.unreported.quantile(0.5))
}
