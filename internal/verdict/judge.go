package verdict

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
)

// slowShare is the share of an answer's time beyond which the excess over the
// usual decides; below it the answer took as long as usual, and the longest
// leg is named.
const slowShare = 0.2

// Case is one answer to judge.
type Case struct {
	Service   string
	Team      string
	Now       time.Time
	Accepted  time.Time // zero when another host owns the job
	Breakdown *job.Breakdown
}

// blame is one candidate for the verdict.
type blame struct {
	part   job.Part
	where  string
	excess time.Duration // beyond the usual
	whole  time.Duration
}

// Judge sets the pause and the verdict of the answer's breakdown.
func (m *Model) Judge(c Case) {
	b := c.Breakdown
	var blames []blame
	if b.Peer != "" {
		blames = m.fetched(c)
	} else {
		blames = m.owned(c)
	}
	b.Verdict = decide(blames, whole(b))
}

// whole returns the time of the answer on the judging host.
func whole(b *job.Breakdown) time.Duration {
	if b.Peer != "" {
		return b.Receive + b.Admit + b.Control + b.PeerTrip + b.Encode + b.Write
	}
	return b.Receive + b.Admit + b.Control + b.Total + b.Encode + b.Write
}

func (m *Model) owned(c Case) []blame {
	b := c.Breakdown
	queuePause, tripPause := m.pausesOf(c)
	blames := []blame{
		{job.PartCaller, c.Team, b.Receive + b.Write, b.Receive + b.Write},
		{job.PartControl, m.host, b.Control, b.Control},
		{job.PartQueue, m.host, b.Queue - queuePause, b.Queue - queuePause},
	}
	if b.Admit == 0 && !c.Accepted.IsZero() {
		// A message of another host that waited for this one to go on.
		b.Admit = m.pauses.before(c.Accepted)
	}
	host := b.Admit + b.Handoff + b.Collect + b.Encode + queuePause
	if b.Refused > 0 {
		blames = append(blames, m.network(b.RefusedBy, b.Refused))
	}
	if b.Open > 0 {
		open := b.Open - tripPause
		blames = append(blames, blame{job.PartUnknown, b.Minion, open, open})
		host += tripPause
	}
	if b.Trip > 0 {
		trip, stood := m.trip(c, tripPause)
		blames = append(blames, trip...)
		host += stood
	}
	b.Pause = queuePause + tripPause
	return append(blames, blame{job.PartHost, m.host, host, host})
}

// pausesOf returns how long the host stood still while the task was queued,
// and while it was on its way or with the minion.
func (m *Model) pausesOf(c Case) (queue, trip time.Duration) {
	if c.Accepted.IsZero() {
		return 0, 0
	}
	b := c.Breakdown
	end := c.Accepted.Add(b.Total)
	started := c.Accepted.Add(b.Queue + b.Refused)
	queue = min(b.Queue, m.pauses.overlap(c.Accepted, started))
	if b.Open > 0 {
		return queue, min(b.Open, m.pauses.overlap(end.Add(-b.Open), end))
	}
	answered := end.Add(-b.Collect)
	return queue, m.pauses.overlap(answered.Add(-b.Trip), answered)
}

// trip splits the time from sending the task to its answer. stood is the part
// of it that the host lost by itself.
func (m *Model) trip(c Case, pause time.Duration) (blames []blame, stood time.Duration) {
	b := c.Breakdown
	own := max(b.Own, b.Run)
	if own == 0 {
		stood = min(pause, b.Trip)
		rest := b.Trip - stood
		return []blame{{job.PartUnknown, b.Minion, m.unreportedExcess(c.Service, rest), rest}}, stood
	}
	own = min(own, b.Trip)
	run := m.run(c, b.Run)
	// What the minion spent outside the run is its own affair.
	run.excess += own - min(own, b.Run)
	run.whole = own
	link := m.network(b.Minion, b.Trip-own)
	stood = min(pause, link.excess)
	link.excess -= stood
	link.whole -= stood
	return []blame{run, link}, stood
}

func (m *Model) run(c Case, took time.Duration) blame {
	minion := c.Breakdown.Minion
	excess, straggler := m.runExcess(c.Now, c.Service, minion, took)
	part := job.PartMinionRun
	if straggler {
		part = job.PartStraggler
	}
	return blame{part, minion, excess, took}
}

func (m *Model) network(minion string, took time.Duration) blame {
	return blame{job.PartNetwork, m.host + " to " + minion, max(0, took-m.usualTrip(minion)), took}
}

// fetched judges an answer that came from its owner: the owner's verdict
// covers its own time.
func (m *Model) fetched(c Case) []blame {
	b := c.Breakdown
	held := min(b.PeerHeld, b.PeerTrip)
	trip := b.PeerTrip - held
	usual := m.usualPeerTrip(b.Peer)
	excess := max(0, trip-usual)
	var stood time.Duration
	if !c.Accepted.IsZero() {
		stood = min(excess, m.pauses.overlap(c.Accepted, c.Now))
	}
	host := b.Admit + b.Encode + stood
	ownerTime := time.Duration(b.Verdict.Share * float64(held))
	return []blame{
		{job.PartCaller, c.Team, b.Receive + b.Write, b.Receive + b.Write},
		{job.PartHost, m.host, host, host},
		{job.PartControl, m.host, max(0, b.Control-usual), b.Control},
		{job.PartNetwork, m.host + " to " + b.Peer, excess - stood, trip - stood},
		{b.Verdict.Part, b.Verdict.Where, ownerTime, ownerTime},
	}
}

func decide(blames []blame, total time.Duration) job.Verdict {
	var sum time.Duration
	var byExcess, byWhole blame
	for _, x := range blames {
		sum += x.excess
		if x.excess > byExcess.excess {
			byExcess = x
		}
		if x.whole > byWhole.whole {
			byWhole = x
		}
	}
	if float64(sum) >= slowShare*float64(total) && byExcess.part != "" {
		return job.Verdict{Part: byExcess.part, Where: byExcess.where, Share: share(byExcess.excess, total)}
	}
	if byWhole.part != "" {
		return job.Verdict{Part: byWhole.part, Where: byWhole.where, Share: share(byWhole.whole, total)}
	}
	return job.Verdict{Part: job.PartUnknown}
}

func share(part, total time.Duration) float64 {
	if total <= 0 {
		return 0
	}
	return min(1, float64(part)/float64(total))
}

// Answer judges a final answer.
func (m *Model) Answer(a *job.Answer) {
	m.Judge(Case{
		Service: a.Service, Team: a.ID.Team, Now: a.Accepted.Add(a.Breakdown.Total), Accepted: a.Accepted,
		Breakdown: &a.Breakdown,
	})
}
