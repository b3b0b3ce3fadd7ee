package engine

import (
	"math"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
)

// The dispatching host lends some slots to the other hosts of its failure
// domain, who start small jobs on them at once, without messages. The amounts
// travel on the heartbeats. Lent slots are fewer than what a host keeps busy
// while the domain is contended, so that hardly any of them is ever idle.

const (
	// smallJob is the largest job, in tasks, that is started on lent slots.
	smallJob = 8
	// contendedMemory is how long a queue at the dispatching host keeps the
	// lent slots few.
	contendedMemory = 20 * time.Second
	// contendedShare and idleShare are the parts of a host's demand that are
	// lent to it while slots are scarce, and while they are not.
	contendedShare = 0.33
	idleShare      = 1.5
	// wellUsed is the part of a loan that must be busy while slots are scarce.
	wellUsed = 0.95
	// loanStep is by how much a well used loan grows while slots are scarce.
	loanStep = 1
	// demandWeight is the weight of one heartbeat's sample of the demand.
	demandWeight = 0.25
)

// lending is the state of lending on both sides.
type lending struct {
	smallJobs   map[job.ID]int // tasks of this host's own small jobs in progress
	smallTasks  int            // their sum, waiting ones included
	demand      float64        // their smoothed number
	wanted      int            // what the last heartbeat said
	lent        map[string]int
	contendedAt time.Time
	minIdle     int // fewest idle slots since the last heartbeat
}

func newLending() lending {
	return lending{smallJobs: make(map[job.ID]int), lent: make(map[string]int), minIdle: math.MaxInt}
}

// countSmall notes a small job of this host until forgetSmall.
func (e *Engine) countSmall(j *job.Job) {
	if e.small(j) {
		e.smallJobs[j.ID] = len(j.Tasks)
		e.smallTasks += len(j.Tasks)
	}
}

func (e *Engine) forgetSmall(id job.ID) {
	e.smallTasks -= e.smallJobs[id]
	delete(e.smallJobs, id)
}

// small reports whether a job may start on lent slots. A team with a bound on
// its slots is dispatched by one host only, which keeps the bound.
func (e *Engine) small(j *job.Job) bool {
	return len(j.Tasks) <= smallJob && !e.bounded(j.ID.Team)
}

func (e *Engine) bounded(team string) bool {
	if e.document == nil {
		return false
	}
	t := e.document.Team(team)
	return t != nil && t.MaxSlots > 0
}

// startsHere reports whether the whole job can start at once on lent slots.
func (e *Engine) startsHere(now time.Time, j *job.Job) bool {
	return e.small(j) && !e.queue.Waiting() && e.minions.Free(now, j.Service) >= len(j.Tasks)
}

// recordContention notes how scarce the slots are after a round of starts.
func (e *Engine) recordContention(now time.Time) {
	idle := e.minions.Idle(now)
	e.minIdle = min(e.minIdle, idle)
	if idle <= 0 && e.queue.Waiting() {
		e.contendedAt = now
	}
}

// adjustLending decides, once per heartbeat, how many slots each host of the
// failure domain is lent. The demand counts waiting tasks too, so that an equal
// part of all slots bounds it.
func (e *Engine) adjustLending(now time.Time) {
	e.demand += (float64(e.smallTasks) - e.demand) * demandWeight
	idle := e.minIdle
	e.minIdle = math.MaxInt
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
	part := e.minions.Slots(now) / (borrowers + 1)
	e.eachDomainPeer(func(p *membership.Peer) {
		if p.Up() && e.paths[p.Name] != nil {
			demand := min(e.paths[p.Name].demand, part)
			e.lent[p.Name] = min(e.loan(now, e.lent[p.Name], demand, e.paths[p.Name].used, idle/(2*borrowers)), part)
		}
	})
}

// loan returns a host's next loan. While slots are scarce it is a part of the
// demand, and no more than is kept busy. It then shrinks by large steps only:
// each leaves tasks on slots that the lender takes for its own. Otherwise it
// grows by up to half of the slots that stayed idle.
func (e *Engine) loan(now time.Time, lent, demand int, used float64, growth int) int {
	scarce := min(int(contendedShare*float64(demand)), int(used/wellUsed)+loanStep)
	if now.Sub(e.contendedAt) >= contendedMemory {
		ample := int(math.Ceil(idleShare * float64(demand)))
		return max(min(lent+growth, ample), scarce)
	}
	if lent > scarce && 4*lent <= 5*scarce {
		return lent
	}
	return scarce
}

// ejectedMinions names the minions that the dispatching host has ejected; the
// others start nothing on them either.
func (e *Engine) ejectedMinions(now time.Time) []string {
	if e.cfg.Slots != SlotsCentral || e.dispatcher(now) != nil {
		return nil
	}
	e.minions.Bar(nil)
	return e.minions.Ejected()
}

// reshare sets this host's share of every minion's slots.
func (e *Engine) reshare(now time.Time) {
	switch e.cfg.Slots {
	case SlotsAnywhere:
		return
	case SlotsSplit, SlotsLeased:
		e.minions.SetShare(e.splitShare())
	default:
		e.minions.SetShare(e.centralShare(now))
	}
}

// centralShare is everything but the loans at the dispatching host, and the
// loan elsewhere. A host without a loan, but with jobs that had started before
// the roles changed, uses whatever minion accepts their tasks.
func (e *Engine) centralShare(now time.Time) minion.Share {
	d := e.dispatcher(now)
	if d == nil {
		s := minion.Share{All: true}
		e.eachDomainPeer(func(p *membership.Peer) {
			if n := max(e.lent[p.Name], e.usedBy(p)); n > 0 {
				s.Loans = append(s.Loans, minion.Loan{Slots: n, Borrower: p.Name})
			}
		})
		return s
	}
	lent := e.paths[d.Name].lent
	if lent == 0 && e.queue.Waiting() {
		return minion.Share{All: true}
	}
	return minion.Share{Loans: []minion.Loan{{Slots: lent, Borrower: e.cfg.Host.Name}}}
}

// usedBy returns the slots that a peer said it uses: after a loan shrank, or
// the roles changed, they come back as its tasks end.
func (e *Engine) usedBy(p *membership.Peer) int {
	if path := e.paths[p.Name]; path != nil && p.Up() {
		return path.inUse
	}
	return 0
}

// splitShare divides the slots among the reachable hosts of the failure domain:
// evenly, or by what each said on its last heartbeat to want.
func (e *Engine) splitShare() minion.Share {
	var s minion.Share
	own := false
	add := func(wanted int) {
		if e.cfg.Slots == SlotsSplit {
			wanted = 0
		}
		s.Weights = append(s.Weights, wanted+1)
	}
	addOwn := func() {
		s.Index = len(s.Weights)
		add(e.wanted)
		own = true
	}
	e.eachDomainPeer(func(p *membership.Peer) {
		if !own && p.Name > e.cfg.Host.Name {
			addOwn()
		}
		if p.Up() && e.paths[p.Name] != nil {
			add(e.paths[p.Name].demand)
		}
	})
	if !own {
		addOwn()
	}
	return s
}

// reportDemand returns what this host says on its heartbeats to want: tasks in
// progress and waiting where shares are leased, those of small jobs otherwise.
func (e *Engine) reportDemand() int {
	e.wanted = int(e.demand)
	if e.cfg.Slots == SlotsLeased {
		e.wanted = e.minions.InUse() + e.queue.Tasks()
	}
	return e.wanted
}
