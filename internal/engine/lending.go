package engine

import (
	"math"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
)

// The dispatching host lends slots to the other hosts of its failure domain,
// which start small jobs on them at once instead of forwarding the jobs.
// Heartbeats carry the number of lent slots. While the domain's slots are scarce,
// a host is lent fewer slots than it keeps busy, so that hardly any of them is
// idle.

const (
	// maxSmallJobTasks is the maximum number of tasks of a job that may start on
	// lent slots.
	maxSmallJobTasks = 8
	// contentionWindow is how long slots count as scarce after the dispatching
	// host last had jobs queued and no slot idle.
	contentionWindow = 20 * time.Second
	// contendedLoanFraction and idleLoanFraction are the maximum loan of a host
	// as a fraction of its demand, while slots are scarce and while they are not.
	contendedLoanFraction = 0.33
	idleLoanFraction      = 1.5
	// targetLoanUse is the fraction of its loan that a host must keep busy while
	// slots are scarce.
	targetLoanUse = 0.95
	// loanStep is the number of slots that a host may be lent above what it keeps
	// busy while slots are scarce, so that a loan in full use can grow.
	loanStep = 1
	// heartbeatSampleWeight is the weight of a sample, one per heartbeat, in the
	// smoothed demand and the smoothed slot use.
	heartbeatSampleWeight = 0.25
)

// lending is the state of slot lending, on the dispatching host and on the
// borrowing hosts.
type lending struct {
	smallJobs      map[job.ID]int // number of tasks of each of this host's own small jobs in progress
	smallJobTasks  int            // sum of smallJobs; includes queued tasks
	demand         float64        // smallJobTasks, smoothed
	reportedDemand int            // demand in the last heartbeat that this host sent
	lent           map[string]int // slots lent, by peer
	contendedAt    time.Time      // when jobs last waited and no slot was idle
	minIdleSlots   int            // minimum number of idle slots since the last heartbeat
}

func newLending() lending {
	return lending{smallJobs: make(map[job.ID]int), lent: make(map[string]int), minIdleSlots: math.MaxInt}
}

// addSmallJob counts a job of this host in its demand, if the job is small, until
// removeSmallJob.
func (e *Engine) addSmallJob(j *job.Job) {
	if e.isSmall(j) {
		e.smallJobs[j.ID] = len(j.Tasks)
		e.smallJobTasks += len(j.Tasks)
	}
}

func (e *Engine) removeSmallJob(id job.ID) {
	e.smallJobTasks -= e.smallJobs[id]
	delete(e.smallJobs, id)
}

// isSmall reports whether a job may start on lent slots. The jobs of a team with
// a slot limit are all dispatched by the dispatching host, which enforces the
// limit.
func (e *Engine) isSmall(j *job.Job) bool {
	return len(j.Tasks) <= maxSmallJobTasks && !e.hasSlotLimit(j.ID.Team)
}

// hasSlotLimit reports whether the configuration limits the slots of a team.
func (e *Engine) hasSlotLimit(team string) bool {
	if e.document == nil {
		return false
	}
	t := e.document.Team(team)
	return t != nil && t.MaxSlots > 0
}

// fitsLentSlots reports whether the whole job can start at once on the slots that
// this host may use.
func (e *Engine) fitsLentSlots(now time.Time, j *job.Job) bool {
	return e.isSmall(j) && !e.queue.HasWaiting() && e.minions.IdleServiceSlots(now, j.Service) >= len(j.Tasks)
}

// recordContention records, after a round of starts, how many slots are idle and
// whether jobs wait for one.
func (e *Engine) recordContention(now time.Time) {
	idle := e.minions.IdleSlots(now)
	e.minIdleSlots = min(e.minIdleSlots, idle)
	if idle <= 0 && e.queue.HasWaiting() {
		e.contendedAt = now
	}
}

// adjustLending updates, once per heartbeat, the number of slots lent to each
// host of the failure domain. A host's demand includes queued tasks and can exceed
// the slots there are, so a loan is at most an equal part of all slots.
func (e *Engine) adjustLending(now time.Time) {
	e.demand += (float64(e.smallJobTasks) - e.demand) * heartbeatSampleWeight
	idle := e.minIdleSlots
	e.minIdleSlots = math.MaxInt
	if e.cfg.Slots != SlotsCentral || e.dispatcher(now) != nil {
		clear(e.lent)
		return
	}
	borrowers := 0
	e.eachDomainPeer(func(p *membership.Peer) {
		if p.Up() {
			borrowers++
		} else {
			delete(e.lent, p.Name)
		}
	})
	equalPart := e.minions.TotalSlots(now) / (borrowers + 1)
	e.eachDomainPeer(func(p *membership.Peer) {
		if p.Up() && e.peerStates[p.Name] != nil {
			demand := min(e.peerStates[p.Name].demand, equalPart)
			e.lent[p.Name] = min(e.nextLoan(now, e.lent[p.Name], demand, e.peerStates[p.Name].smoothedInUse, idle/(2*borrowers)), equalPart)
		}
	})
}

// nextLoan returns a host's next loan. While slots are scarce, the loan is
// limited to a fraction of the host's demand and to about what the host keeps
// busy. A loan that exceeds this limit by at most a quarter stays as it is: after
// each reduction the host still runs tasks on slots that the lender counts as its
// own again, so reductions are made in large steps. While slots are not scarce,
// the loan grows by at most growth: the caller divides half of the slots that
// stayed idle among the borrowers.
func (e *Engine) nextLoan(now time.Time, lent, demand int, used float64, growth int) int {
	scarce := min(int(contendedLoanFraction*float64(demand)), int(used/targetLoanUse)+loanStep)
	if now.Sub(e.contendedAt) >= contentionWindow {
		ample := int(math.Ceil(idleLoanFraction * float64(demand)))
		return max(min(lent+growth, ample), scarce)
	}
	if lent > scarce && 4*lent <= 5*scarce {
		return lent
	}
	return scarce
}

// ejectedMinions returns the names of the minions that this host has ejected, if
// it is the dispatching host: the other hosts start nothing on them either. It
// also clears the ejections that a former dispatching host reported.
func (e *Engine) ejectedMinions(now time.Time) []string {
	if e.cfg.Slots != SlotsCentral || e.dispatcher(now) != nil {
		return nil
	}
	e.minions.SetPeerEjected(nil)
	return e.minions.EjectedMinions()
}

// updateShare sets this host's share of every minion's slots by the slot policy.
func (e *Engine) updateShare(now time.Time) {
	switch e.cfg.Slots {
	case SlotsAnywhere:
		return
	case SlotsSplit, SlotsLeased:
		e.minions.SetShare(e.splitShare())
	default:
		e.minions.SetShare(e.centralShare(now))
	}
}

// centralShare returns this host's share under SlotsCentral. The dispatching host
// has all slots except the loans; any other host has its loan. A host without a
// loan that still has queued tasks of jobs that started before the dispatching
// host changed may use every slot: a full minion refuses the task.
func (e *Engine) centralShare(now time.Time) minion.Share {
	d := e.dispatcher(now)
	if d == nil {
		s := minion.Share{All: true}
		e.eachDomainPeer(func(p *membership.Peer) {
			if n := max(e.lent[p.Name], e.slotsUsedBy(p)); n > 0 {
				s.Loans = append(s.Loans, minion.Loan{Slots: n, Borrower: p.Name})
			}
		})
		return s
	}
	lent := e.peerStates[d.Name].lent
	if lent == 0 && e.queue.HasWaiting() {
		return minion.Share{All: true}
	}
	return minion.Share{Loans: []minion.Loan{{Slots: lent, Borrower: e.cfg.Host.Name}}}
}

// slotsUsedBy returns the number of slots that a peer reported as in use. It can
// exceed the peer's loan after the loan shrank or the dispatching host changed,
// until the peer's tasks end.
func (e *Engine) slotsUsedBy(p *membership.Peer) int {
	if state := e.peerStates[p.Name]; state != nil && p.Up() {
		return state.inUse
	}
	return 0
}

// splitShare divides the slots among the reachable hosts of the failure domain:
// evenly under SlotsSplit, by the demand in each host's last heartbeat under
// SlotsLeased.
func (e *Engine) splitShare() minion.Share {
	var s minion.Share
	ownAdded := false
	add := func(demand int) {
		if e.cfg.Slots == SlotsSplit {
			demand = 0
		}
		s.Weights = append(s.Weights, demand+1)
	}
	addOwn := func() {
		s.Index = len(s.Weights)
		add(e.reportedDemand)
		ownAdded = true
	}
	e.eachDomainPeer(func(p *membership.Peer) {
		if !ownAdded && p.Name > e.cfg.Host.Name {
			addOwn()
		}
		if p.Up() && e.peerStates[p.Name] != nil {
			add(e.peerStates[p.Name].demand)
		}
	})
	if !ownAdded {
		addOwn()
	}
	return s
}

// reportDemand sets and returns the demand that this host reports in its
// heartbeats: its tasks in progress and queued under SlotsLeased, the smoothed
// number of tasks of its small jobs under the other policies.
func (e *Engine) reportDemand() int {
	e.reportedDemand = int(e.demand)
	if e.cfg.Slots == SlotsLeased {
		e.reportedDemand = e.minions.InUse() + e.queue.QueuedTasks()
	}
	return e.reportedDemand
}
