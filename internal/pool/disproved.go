package pool

// A start that was certainly not carried out leaves its job as untried as it was before. The
// load that this answers is that of minions that refuse starts, or cannot be reached, while
// the queue is long: the job can still be refused truthfully, where it would otherwise be
// held until its deadline.

// isDisproof reports whether the answer to a start proves that the minion has not carried
// it out. AnswerStaleRun does not: a run with that number may have ended.
func (a Answer) isDisproof() bool {
	switch a {
	case AnswerFenced, AnswerLeaseExpired, AnswerNoCapacity, AnswerInvalid, AnswerBusy, AnswerUnsent:
		return true
	}
	return false
}

// startDisproved notes that the start of the run was not carried out. It has no effect on
// a run that a listing or another answer has confirmed.
func (p *Pool) startDisproved(x *run) {
	j := x.job
	if x.started || x.token == 0 || !x.restartSeenAt.IsZero() || j == nil || p.jobs[j.id] != j {
		return
	}
	j.possibleStarts--
	if j.possibleStarts > 0 || j.foundRuns {
		return
	}
	j.startedHere = false
	j.mayHaveStarted = j.offer.MayHaveRun
}

// absenceDisproves reports whether a listing under a newer token that includes the run
// neither as current nor as ended proves that its start was not carried out. The listing of
// another process proves nothing.
func (x *run) absenceDisproves(m *minion, poll *pendingPoll, l *Listing) bool {
	return !x.started && poll.token > x.token && l.Incarnation != 0 && l.Incarnation == x.incarnation && l.Incarnation == m.Incarnation
}
