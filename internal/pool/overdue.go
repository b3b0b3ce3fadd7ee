package pool

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
)

const (
	// minOverdue is the shortest silence after which a start is asked about: the
	// interval of ticks. A minion of the same failure domain answers in 1 ms.
	minOverdue = 20 * time.Millisecond
	// overdueFactor is by how much a start must exceed the usual time to its
	// answer, which grows where this host or its links are slow.
	overdueFactor = 8
	answerRate    = 0.02 // weight of a new answer in the usual time
	// maxAsks bounds the listings that are asked for at a time.
	maxAsks = 3
)

// overdue returns the silence after which a start is asked about.
func (p *Pool) overdue() time.Duration {
	return max(minOverdue, overdueFactor*p.answerTime)
}

// answered learns how soon starts are answered.
func (p *Pool) answered(took time.Duration) {
	p.answerTime += time.Duration(answerRate * float64(took-p.answerTime))
}

// lossyFor is for how long after a lost hold busy minions have two at a time.
const lossyFor = 3 * time.Second

// lossy reports whether holds are being lost. An end is then listed by a second
// hold, which would otherwise wait until the loss of the first is noticed.
func (p *Pool) lossy(now time.Time) bool {
	return !p.lostAt.IsZero() && now.Sub(p.lostAt) < lossyFor
}

// askOverdue asks a minion about starts that are overdue, long before they count as
// unanswered: a job of many tasks would be late for one order that is lost. The
// listing is asked for under a newer token, so that it is final.
func (p *Pool) askOverdue(now time.Time, m *minion) {
	if !m.reachable || !m.listed {
		return
	}
	asked := false // about a start under an earlier token
	for _, x := range m.sortedRuns() {
		if x.started || x.owner == nil || x.stopping {
			continue
		}
		if x.token < m.token {
			asked = true
			continue
		}
		if now.Sub(x.sentAt) > p.overdue() {
			p.cfg.Note(event.PoolStartOverdue, slog.String("minion", m.ID), slog.String("job", x.task.Job), slog.Int("run", x.number),
				slog.Int64("silent_ms", now.Sub(x.sentAt).Milliseconds()))
			p.renew(now, m)
			return
		}
	}
	if asked {
		p.askAgain(now, m)
	}
}

// askAgain repeats a listing without an answer: it may be lost as well.
func (p *Pool) askAgain(now time.Time, m *minion) {
	open := 0
	var newest time.Time
	for _, c := range m.calls {
		if c.urgent && c.token == m.token {
			open++
			if c.sentAt.After(newest) {
				newest = c.sentAt
			}
		}
	}
	if open < maxAsks && now.Sub(newest) > p.overdue() {
		p.hold(now, m, 0, true)
	}
}
