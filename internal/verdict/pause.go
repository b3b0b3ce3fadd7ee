package verdict

import "time"

const (
	// resumeWindow is the time after a pause within which an input that is
	// processed may have waited for the end of the pause.
	resumeWindow = 20 * time.Millisecond
	// pauseThreshold is the shortest gap between two recorded activities that
	// counts as a pause. On a running host they are at most one timer interval
	// apart.
	pauseThreshold = 50 * time.Millisecond
	maxPauses      = 64 // most recent pauses remembered
)

// pauseLog remembers when this host processed no input: its process was suspended,
// got no processor time, or was busy with a single input.
type pauseLog struct {
	lastActivity time.Time
	newestEnd    time.Time            // end of the newest pause
	starts       [maxPauses]time.Time // ring buffer, like ends
	ends         [maxPauses]time.Time
	next         int // index of the oldest pause in starts and ends
}

// recordActivity records that the host processed an input or a timer at now.
func (p *pauseLog) recordActivity(now time.Time) {
	if !p.lastActivity.IsZero() && now.Sub(p.lastActivity) >= pauseThreshold {
		p.starts[p.next] = p.lastActivity
		p.ends[p.next] = now
		p.newestEnd = now
		p.next = (p.next + 1) % maxPauses
	}
	p.lastActivity = now
}

// overlap returns the total time of the interval that lies in remembered pauses.
func (p *pauseLog) overlap(from, to time.Time) time.Duration {
	if !p.newestEnd.After(from) {
		return 0
	}
	var sum time.Duration
	for i := range p.starts {
		sum += overlap(p.starts[i], p.ends[i], from, to)
	}
	return sum
}

// endedShortlyBefore returns the length of a pause that ended at most resumeWindow
// before t, or 0.
func (p *pauseLog) endedShortlyBefore(t time.Time) time.Duration {
	for i := range p.ends {
		if sinceEnd := t.Sub(p.ends[i]); sinceEnd >= 0 && sinceEnd <= resumeWindow {
			return p.ends[i].Sub(p.starts[i])
		}
	}
	return 0
}
