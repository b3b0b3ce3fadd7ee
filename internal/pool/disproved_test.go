package pool

import (
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// A job whose only start was refused by the minion can be refused itself as not run, before
// its deadline. One whose start may have been carried out can't.
func TestJobWithoutAnyCarriedOutStartIsRefused(t *testing.T) {
	for a := AnswerFenced; a <= AnswerUnknown; a++ {
		s := newHarness(t)
		s.addMinion("m", 100)
		s.offerJob("j", 1, 100, 100)
		must.Len(t, 1, s.out.Starts)
		s.p.minions["m"].Draining = true
		s.answerStarts(a)
		j := s.p.jobs["j"]
		must.NotNil(t, j)
		must.Eq(t, a.isDisproof(), !j.mayHaveStarted)
		must.Eq(t, a.isDisproof(), s.p.OfferNotStarted("entry", "j", 1))
		for len(s.out.Results) == 0 {
			s.advance(20 * ms)
		}
		early := s.now.Before(startTime.Add(peer.LateFactor * 220 * ms))
		must.Eq(t, a.isDisproof(), early && s.out.Results[0].Body.Outcome == peer.JobRefused)
	}
}

// A start without an answer is disproved by a listing under a newer token, but only by one
// of the process that the start was sent to.
func TestListingDisprovesStart(t *testing.T) {
	for _, same := range []bool{true, false} {
		s := newHarness(t)
		s.p.UpdateMinion(s.now, peer.MinionRecord{ID: "m", Service: "s", FailureDomain: "z", CPU: 100, MemoryMB: 1000, Seq: 1, Incarnation: 7})
		s.collect()
		s.answerPoll("m", &Listing{Incarnation: 7})
		s.offerJob("j", 1, 100, 100)
		s.answerStarts(AnswerUnknown)
		s.p.minions["m"].Draining = true
		l := &Listing{Incarnation: 7}
		if !same {
			s.p.UpdateMinion(s.now, peer.MinionRecord{ID: "m", Service: "s", FailureDomain: "z", CPU: 100, MemoryMB: 1000, Seq: 1, Incarnation: 8, Draining: true})
			s.collect()
			l.Incarnation = 8
		}
		s.answerPoll("m", l)
		must.Eq(t, taskWaiting, s.p.jobs["j"].tasks[0].state)
		must.Eq(t, !same, s.p.jobs["j"].mayHaveStarted)
	}
}

// A job of which any run was confirmed has started, whatever happened to its other starts.
func TestRefusedStartBesideAConfirmedOne(t *testing.T) {
	s := newHarness(t)
	s.addMinion("m", 200)
	s.offerJob("j", 2, 100, 100)
	must.Len(t, 2, s.out.Starts)
	s.p.minions["m"].Draining = true
	s.p.HandleStartAnswer(s.now, s.out.Starts[0], AnswerOK, s.minionClock())
	s.p.HandleStartAnswer(s.now, s.out.Starts[1], AnswerNoCapacity, s.minionClock())
	must.True(t, s.p.jobs["j"].mayHaveStarted)
}
