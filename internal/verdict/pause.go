package verdict

import "time"

const (
	// resumeTime is how long after a pause an input may have waited for its end.
	resumeTime = 20 * time.Millisecond
	// pauseThreshold is the shortest gap between two beats that counts as a
	// pause. Beats are at most a timer interval apart on a host that runs.
	pauseThreshold = 50 * time.Millisecond
	maxPauses      = 64
)

// pauses remembers when the host stood still: stopped, starved of processor
// time, or busy in one decision.
type pauses struct {
	last time.Time
	end  time.Time // of the newest pause
	from [maxPauses]time.Time
	to   [maxPauses]time.Time
	next int
}

func (p *pauses) beat(now time.Time) {
	if !p.last.IsZero() && now.Sub(p.last) >= pauseThreshold {
		p.from[p.next] = p.last
		p.to[p.next] = now
		p.end = now
		p.next = (p.next + 1) % maxPauses
	}
	p.last = now
}

// overlap returns how much of the interval lies in remembered pauses.
func (p *pauses) overlap(from, to time.Time) time.Duration {
	if !p.end.After(from) {
		return 0
	}
	var sum time.Duration
	for i := range p.from {
		sum += overlap(p.from[i], p.to[i], from, to)
	}
	return sum
}

// before returns the length of a pause that ended just before t.
func (p *pauses) before(t time.Time) time.Duration {
	for i := range p.to {
		if since := t.Sub(p.to[i]); since >= 0 && since <= resumeTime {
			return p.to[i].Sub(p.from[i])
		}
	}
	return 0
}
