package pool

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
)

const (
	// minOverdue is the shortest time without an answer after which a start counts as
	// overdue: the tick interval. A minion in the same failure domain answers within
	// 1 ms.
	minOverdue = 20 * time.Millisecond
	// overdueFactor is the multiple of the mean time to an answer after which a start
	// counts as overdue. The mean grows when this host or its network is slow.
	overdueFactor      = 8
	startLatencyWeight = 0.02 // weight of a new answer in the mean
	// maxOverduePolls bounds the polls in flight to one minion for overdue starts.
	maxOverduePolls = 3
)

// overdueAfter returns the time without an answer after which a start is overdue.
func (p *Pool) overdueAfter() time.Duration {
	return max(minOverdue, overdueFactor*p.meanStartLatency)
}

// observeStartLatency adds the time to a start's answer to the mean.
func (p *Pool) observeStartLatency(took time.Duration) {
	p.meanStartLatency += time.Duration(startLatencyWeight * float64(took-p.meanStartLatency))
}

// lossPeriod is how long after a lost poll minions with runs get two polls at a time.
const lossPeriod = 3 * time.Second

// losingPolls reports whether a poll was lost recently. Minions with runs then get a
// second poll, so that the end of a run is listed without waiting until the loss of
// the first poll is noticed.
func (p *Pool) losingPolls(now time.Time) bool {
	return !p.pollLostAt.IsZero() && now.Sub(p.pollLostAt) < lossPeriod
}

// pollOverdueStarts polls a minion whose start is overdue, long before the start times
// out: otherwise a single lost order would delay a job of many tasks. The poll has a
// newer token, so a listing without the run proves that it will not begin.
func (p *Pool) pollOverdueStarts(now time.Time, m *minion) {
	if !m.reachable || !m.listed {
		return
	}
	polled := false // a poll newer than an unconfirmed start has been sent
	for _, x := range m.sortedRuns() {
		if x.started || x.job == nil || x.stopping {
			continue
		}
		if x.token < m.token {
			polled = true
			continue
		}
		if now.Sub(x.sentAt) > p.overdueAfter() {
			p.cfg.Log(event.PoolStartOverdue, slog.String("minion", m.ID), slog.String("job", x.task.Job), slog.Int("run", x.number),
				slog.Int64("silent_ms", now.Sub(x.sentAt).Milliseconds()))
			p.raiseToken(now, m)
			return
		}
	}
	if polled {
		p.repeatPoll(now, m)
	}
}

// pollForUncertainTasks polls a minion that has not been listed since the newest job
// with uncertain tasks was offered, without waiting for the end of the poll in flight.
func (p *Pool) pollForUncertainTasks(now time.Time, m *minion) {
	if !m.reachable || !m.listedPollAt.Before(p.uncertainOfferAt) {
		return
	}
	for _, poll := range m.polls {
		if poll.urgent && poll.token == m.token && !poll.sentAt.Before(p.uncertainOfferAt) {
			return
		}
	}
	p.poll(now, m, 0, true)
}

// repeatPoll repeats an unanswered poll for overdue starts, which may be lost as well.
func (p *Pool) repeatPoll(now time.Time, m *minion) {
	inFlight := 0
	var newest time.Time
	for _, c := range m.polls {
		if c.urgent && c.token == m.token {
			inFlight++
			if c.sentAt.After(newest) {
				newest = c.sentAt
			}
		}
	}
	if inFlight < maxOverduePolls && now.Sub(newest) > p.overdueAfter() {
		p.poll(now, m, 0, true)
	}
}
