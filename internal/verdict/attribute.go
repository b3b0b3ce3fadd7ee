package verdict

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
)

// minExcessShare is the fraction of an answer's time by which the parts together must
// exceed their baselines for the verdict to name the part with the largest
// excess. Below it the answer was not slow, and the verdict names the longest part.
const minExcessShare = 0.2

// AnswerTiming holds the time breakdown of one answer.
type AnswerTiming struct {
	Service   string
	Team      string
	Now       time.Time // when the answer was ready
	Accepted  time.Time // zero when another host owns the job
	Breakdown *job.Breakdown
}

// contribution is the time that one part of the system added to an answer: a
// candidate for the verdict.
type contribution struct {
	part   job.Part
	where  string
	excess time.Duration // beyond the baseline
	total  time.Duration
}

// Attribute sets Verdict in the answer's breakdown and, unless Peer is set there,
// Pause. If Peer is set, Verdict must already be that host's verdict.
func (m *Model) Attribute(c AnswerTiming) {
	b := c.Breakdown
	var contributions []contribution
	if b.Peer != "" {
		contributions = m.remoteContributions(c)
	} else {
		contributions = m.localContributions(c)
	}
	b.Verdict = chooseVerdict(contributions, answerTime(b))
}

// answerTime returns the total time of the answer as seen by this host.
func answerTime(b *job.Breakdown) time.Duration {
	if b.Peer != "" {
		return b.Receive + b.Admit + b.Control + b.PeerTrip + b.Encode + b.Write
	}
	return b.Receive + b.Admit + b.Control + b.Total + b.Encode + b.Write
}

// localContributions returns the contributions to the answer of a job whose tasks
// this host dispatched. It also sets Admit, where that is unknown, and Pause.
func (m *Model) localContributions(c AnswerTiming) []contribution {
	b := c.Breakdown
	queuePause, tripPause := m.pausesDuring(c)
	contributions := []contribution{
		{job.PartCaller, c.Team, b.Receive + b.Write, b.Receive + b.Write},
		{job.PartControl, m.host, b.Control, b.Control},
		{job.PartQueue, m.host, b.Queue - queuePause, b.Queue - queuePause},
	}
	if b.Admit == 0 && !c.Accepted.IsZero() {
		// The job came in a message from another host, which was not
		// processed until a pause of this host ended.
		b.Admit = m.pauses.endedShortlyBefore(c.Accepted)
	}
	host := b.Admit + b.Handoff + b.Collect + b.Encode + queuePause
	if b.Refused > 0 {
		contributions = append(contributions, m.networkContribution(b.RefusedBy, b.Refused))
	}
	if b.Open > 0 {
		open := b.Open - tripPause
		contributions = append(contributions, contribution{job.PartUnknown, b.Minion, open, open})
		host += tripPause
	}
	if b.Trip > 0 {
		trip, hostDelay := m.tripContributions(c, tripPause)
		contributions = append(contributions, trip...)
		host += hostDelay
	}
	b.Pause = queuePause + tripPause
	return append(contributions, contribution{job.PartHost, m.host, host, host})
}

// pausesDuring returns how long this host was paused while the task was queued, and
// how long between sending the task and the minion's response.
func (m *Model) pausesDuring(c AnswerTiming) (queue, trip time.Duration) {
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

// tripContributions divides the time between sending the task and the minion's
// response. tripPause is how long this host was paused meanwhile. hostDelay is the
// part of that pause that delayed the answer; it is attributed to this host.
func (m *Model) tripContributions(c AnswerTiming, tripPause time.Duration) (contributions []contribution, hostDelay time.Duration) {
	b := c.Breakdown
	own := max(b.Own, b.Run)
	if own == 0 {
		hostDelay = min(tripPause, b.Trip)
		rest := b.Trip - hostDelay
		return []contribution{{job.PartUnknown, b.Minion, m.unreportedExcess(c.Service, rest), rest}}, hostDelay
	}
	own = min(own, b.Trip)
	run := m.runContribution(c, b.Run)
	// The minion's time outside the run is attributed to the minion, too.
	run.excess += own - min(own, b.Run)
	run.total = own
	link := m.networkContribution(b.Minion, b.Trip-own)
	hostDelay = min(tripPause, link.excess)
	link.excess -= hostDelay
	link.total -= hostDelay
	return []contribution{run, link}, hostDelay
}

// runContribution returns the contribution of a run of the service on a minion.
func (m *Model) runContribution(c AnswerTiming, duration time.Duration) contribution {
	minion := c.Breakdown.Minion
	excess, straggler := m.runExcess(c.Now, c.Service, minion, duration)
	part := job.PartMinionRun
	if straggler {
		part = job.PartStraggler
	}
	return contribution{part, minion, excess, duration}
}

// networkContribution returns the contribution of the link to a minion.
func (m *Model) networkContribution(minion string, duration time.Duration) contribution {
	return contribution{job.PartNetwork, m.host + " to " + minion, max(0, duration-m.baselineTrip(minion)), duration}
}

// remoteContributions returns the contributions to an answer that this host got
// from another host: the job's owner, or the host that dispatched the job. That
// host's own verdict covers its processing time.
func (m *Model) remoteContributions(c AnswerTiming) []contribution {
	b := c.Breakdown
	peerHeld := min(b.PeerHeld, b.PeerTrip)
	trip := b.PeerTrip - peerHeld
	baseline := m.baselinePeerTrip(b.Peer)
	excess := max(0, trip-baseline)
	var hostDelay time.Duration
	if !c.Accepted.IsZero() {
		hostDelay = min(excess, m.pauses.overlap(c.Accepted, c.Now))
	}
	host := b.Admit + b.Encode + hostDelay
	peerTime := time.Duration(b.Verdict.Share * float64(peerHeld))
	return []contribution{
		{job.PartCaller, c.Team, b.Receive + b.Write, b.Receive + b.Write},
		{job.PartHost, m.host, host, host},
		{job.PartControl, m.host, max(0, b.Control-baseline), b.Control},
		{job.PartNetwork, m.host + " to " + b.Peer, excess - hostDelay, trip - hostDelay},
		{b.Verdict.Part, b.Verdict.Where, peerTime, peerTime},
	}
}

// chooseVerdict names the part with the largest excess, or the longest part if the
// excesses add up to less than minExcessShare of total, the time of the answer.
func chooseVerdict(contributions []contribution, total time.Duration) job.Verdict {
	var excessSum time.Duration
	var largestExcess, longest contribution
	for _, c := range contributions {
		excessSum += c.excess
		if c.excess > largestExcess.excess {
			largestExcess = c
		}
		if c.total > longest.total {
			longest = c
		}
	}
	if float64(excessSum) >= minExcessShare*float64(total) && largestExcess.part != "" {
		return job.Verdict{Part: largestExcess.part, Where: largestExcess.where, Share: fractionOf(largestExcess.excess, total)}
	}
	if longest.part != "" {
		return job.Verdict{Part: longest.part, Where: longest.where, Share: fractionOf(longest.total, total)}
	}
	return job.Verdict{Part: job.PartUnknown}
}

// fractionOf returns part relative to total, at most 1; 0 if total is not positive.
func fractionOf(part, total time.Duration) float64 {
	if total <= 0 {
		return 0
	}
	return min(1, float64(part)/float64(total))
}

// SetVerdict calls Attribute for a final answer.
func (m *Model) SetVerdict(a *job.Answer) {
	m.Attribute(AnswerTiming{
		Service: a.Service, Team: a.ID.Team, Now: a.Accepted.Add(a.Breakdown.Total), Accepted: a.Accepted,
		Breakdown: &a.Breakdown,
	})
}
