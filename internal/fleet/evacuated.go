package fleet

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
)

// evacuatedState is what the core knows of evacuated failure domains.
type evacuatedState struct {
	applied     *[]string // as returned by environment.evacuations when it was last adopted
	domains     []string  // evacuated failure domains, sorted
	own         bool      // this host's failure domain is one of them
	startsUntil time.Time // until when started jobs of this failure domain may start tasks, if own is set
	allOfThem   bool      // no known failure domain takes jobs
	confirmedAt time.Time // when a control host last reported a version that is not newer than this host's
	behindSince time.Time // since when a newer version was reported; zero: none, or it is applied
	reported    uint64    // newest reported version
}

// versionWait bounds how long a host that knows of a newer version waits for it before it
// claims shards. Fetching a version takes less than 0.3 s on the links of the deployments.
const versionWait = time.Second

// maxGraceAge is the age of a host's knowledge up to which the jobs that it dispatches get
// time for their remaining tasks when it learns of an evacuation. A host that learns of it
// later may be past the time after which nothing may be started.
const maxGraceAge = time.Second

// tickEvacuations adopts the evacuations of a newly applied version.
func (c *core) tickEvacuations(now time.Time) {
	e := &c.evacuated
	if c.version() >= e.reported {
		e.behindSince = time.Time{}
	}
	if applied := c.evacuations(); applied != e.applied {
		first := e.applied == nil
		e.applied = applied
		if !slices.Equal(*applied, e.domains) {
			c.setEvacuations(now, *applied, first)
		}
	}
	if len(e.domains) > 0 {
		c.updateAllEvacuated(now)
	}
}

// setEvacuations adopts the evacuated failure domains. first is set for the first version
// that this process knows: its evacuations may be old.
func (c *core) setEvacuations(now time.Time, domains []string, first bool) {
	e := &c.evacuated
	e.domains = domains
	if own := slices.Contains(domains, c.self.FailureDomain); own != e.own {
		e.own, e.startsUntil = own, now
		if !first && c.knowledgeAge(now) <= maxGraceAge {
			e.startsUntil = now.Add(pool.EvacuationGrace)
		}
		for _, x := range c.sortedShards() {
			x.pool.SetEvacuated(now, own, e.startsUntil)
		}
		c.heartbeatDue = true
	}
	c.logEvent(event.EvacuationsApplied, slog.Any("failure_domains", domains), slog.Uint64("version", c.version()), slog.Bool("own", e.own),
		slog.Int64("known_age_ms", c.knowledgeAge(now).Milliseconds()))
	c.updateAllEvacuated(now)
}

// updateAllEvacuated tells the job table which failure domains take jobs. Those without a
// known entry host take none.
func (c *core) updateAllEvacuated(now time.Time) {
	e := &c.evacuated
	e.allOfThem = e.own
	for _, h := range c.roster.Hosts() {
		if h.Entry && !slices.Contains(e.domains, h.FailureDomain) {
			e.allOfThem = false
			break
		}
	}
	c.jobTable.SetEvacuated(now, e.domains, e.allOfThem)
}

// observeVersion records the version that a control host reports.
func (c *core) observeVersion(now time.Time, heartbeat *peer.FleetHeartbeat) {
	e := &c.evacuated
	switch {
	case !heartbeat.From.Control:
	case heartbeat.ConfigVersion <= c.version():
		e.confirmedAt = now
	case heartbeat.ConfigVersion > e.reported:
		e.reported = heartbeat.ConfigVersion
		if e.behindSince.IsZero() {
			e.behindSince = now
		}
	}
}

// knowledgeAge returns the time since the evacuations known here were last the newest that a
// control host knew; since the start of the process if they never were.
func (c *core) knowledgeAge(now time.Time) time.Duration {
	since := c.evacuated.confirmedAt
	if since.IsZero() {
		since = c.startedAt
	}
	return now.Sub(since)
}

// awaitsVersion reports whether this host must learn a version before it claims shards,
// because it may not know that its failure domain is evacuated: it has applied none while
// there is one, or has only just heard of a newer one.
func (c *core) awaitsVersion(now time.Time) bool {
	e := &c.evacuated
	return e.reported > 0 && e.applied == nil || !e.behindSince.IsZero() && now.Sub(e.behindSince) < versionWait
}

// domainSizes returns the sizes of the failure domains of all listed hosts and of the given
// ones, sorted by name.
func (c *core) domainSizes(domains []string) []DomainSize {
	entryHosts := make(map[string]int)
	for _, d := range append([]string{c.self.FailureDomain}, domains...) {
		entryHosts[d] = 0
	}
	if c.self.Entry {
		entryHosts[c.self.FailureDomain] = 1
	}
	for _, h := range c.roster.Hosts() {
		n := entryHosts[h.FailureDomain]
		if h.Entry {
			n++
		}
		entryHosts[h.FailureDomain] = n
	}
	var out []DomainSize
	for _, d := range slices.Sorted(maps.Keys(entryHosts)) {
		s := DomainSize{Domain: d, EntryHosts: entryHosts[d]}
		for _, m := range c.roster.Minions(d) {
			s.Minions++
			s.CPU += m.CPU
		}
		out = append(out, s)
	}
	return out
}
