package fleet

import (
	"log/slog"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/laburnumwalk/laburnumwalk/internal/roster"
)

// divideSettle is how long a host listens to its new cell before it claims.
const divideSettle = 2 * beatEvery

// shard is one part of the failure domain's minions that this host dispatches
// on.
type shard struct {
	number int
	of     int
	pool   *pool.Pool
}

// ordered returns the host's shards by number.
func (d *decisions) ordered() []*shard {
	out := make([]*shard, 0, len(d.shards))
	for _, x := range d.shards {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *shard) int { return a.number - b.number })
	return out
}

// inCell reports whether a host is an entry host of the own cell.
func (d *decisions) inCell(h *roster.Host) bool {
	return h.Entry && h.FailureDomain == d.self.FailureDomain && claim.CellOf(h.Name, d.cells) == d.cell
}

// ownMinion reports whether a minion belongs to the own cell.
func (d *decisions) ownMinion(id string) bool { return claim.CellOf(id, d.cells) == d.cell }

// candidates returns the other live entry hosts of the cell.
func (d *decisions) candidates(now time.Time) []claim.Candidate {
	var out []claim.Candidate
	for _, h := range d.roster.Hosts() {
		if d.inCell(h) && alive(now, h) && h.Heartbeat.Division.At == d.cells.At {
			out = append(out, claim.Candidate{Host: h.Name, Leaving: h.Heartbeat.Leaving, Claims: h.Heartbeat.Claims})
		}
	}
	return out
}

// alive reports whether a host was heard from lately.
func alive(now time.Time, h *roster.Host) bool {
	if h.Heartbeat == nil || now.Sub(h.HeartbeatAt) > claim.HeartbeatTimeout {
		return false
	}
	return h.ClosedAt.IsZero() || now.Sub(h.ClosedAt) < claim.ClosedConnTimeout
}

// hearsAny reports whether any other host was heard from lately: one that
// hears nobody cannot tell whether others have taken it for gone.
func (d *decisions) hearsAny(now time.Time) bool {
	return slices.ContainsFunc(d.roster.Hosts(), func(h *roster.Host) bool { return now.Sub(h.HeartbeatAt) < 2*claim.HeartbeatTimeout })
}

// candidate is this host as others see it.
func (d *decisions) candidate() claim.Candidate {
	c := claim.Candidate{Host: d.self.Name, Leaving: d.leaving}
	for _, x := range d.ordered() {
		c.Claims = append(c.Claims, peer.Claim{Shard: x.number, Of: x.of, Layout: d.layout, Token: x.pool.Token(), Load: x.pool.Load()})
	}
	return c
}

func (d *decisions) tickClaims(now time.Time) {
	d.followDivision(now)
	self, others := d.candidate(), d.candidates(now)
	d.followLayout(now, self, others)
	self = d.candidate()
	decisions, tokens := claim.Plan(self, others, d.of)
	for number, decision := range decisions {
		d.token = max(d.token, tokens[number])
		switch decision {
		case claim.Release:
			if x := d.shards[number]; x != nil {
				d.release(now, x, "another host has claimed them")
			}
		case claim.Take:
			d.take(now, number)
		}
	}
	d.tellTable(now, others)
}

// cellMinions returns how many minions are in the cell.
func (d *decisions) cellMinions() int {
	if log := d.roster.LogIndex(); log != d.counted {
		d.counted = log
		d.minions = d.roster.CountMinions(d.self.FailureDomain, d.ownMinion)
	}
	return d.minions
}

// followDivision takes over the newest division of the failure domain, or makes
// a new one when the number of hosts no longer suits it. Only the holder of the
// first shard of the first cell makes one.
func (d *decisions) followDivision(now time.Time) {
	if v := d.roster.CellLayout(d.self.FailureDomain); v.At > d.cells.At {
		d.divide(now, v)
	}
	wanted := claim.WantedCells(d.domainHosts(), d.cells.Cells)
	if wanted == d.cells.Cells || d.cell.Number != 0 || d.shards[0] == nil || !d.hearsHub(now) {
		d.fewSince = time.Time{}
		return
	}
	if d.fewSince.IsZero() {
		d.fewSince = now
	}
	if now.Sub(d.fewSince) < claim.RelayoutDelay {
		return
	}
	d.fewSince = time.Time{}
	d.token = claim.Token(now, d.token, d.own)
	d.roster.SetCellLayout(d.self.FailureDomain, peer.Division{Cells: wanted, At: d.token})
	d.divide(now, d.roster.CellLayout(d.self.FailureDomain))
	d.beatSoon = true
}

// divide takes over a division. Shards of another one are given up.
func (d *decisions) divide(now time.Time, v peer.Division) {
	for _, x := range d.ordered() {
		d.release(now, x, "the failure domain is divided anew")
	}
	d.note(event.DomainDivided, slog.Int("cells", v.Cells), slog.Uint64("at", v.At), slog.Int("hosts", d.domainHosts()))
	d.cells, d.cell = v, claim.CellOf(d.self.Name, v)
	d.of, d.layout, d.counted = 1, 0, 0
	d.dividedAt = now
}

// domainHosts returns how many entry hosts the failure domain has.
func (d *decisions) domainHosts() int {
	n := 1
	for _, h := range d.roster.Hosts() {
		if h.Entry && h.FailureDomain == d.self.FailureDomain {
			n++
		}
	}
	return n
}

// hearsHub reports whether a control host is heard, so that the list of hosts
// is not just those that beat this one.
func (d *decisions) hearsHub(now time.Time) bool {
	return slices.ContainsFunc(d.roster.Hosts(), func(h *roster.Host) bool { return h.Control && now.Sub(h.HeartbeatAt) < 2*controlEvery })
}

// followLayout takes over the newest layout, or replaces one that no longer
// suits the number of minions. Only the holder of the first shard replaces it.
func (d *decisions) followLayout(now time.Time, self claim.Candidate, others []claim.Candidate) {
	wanted := claim.WantedShards(d.cellMinions(), len(others)+1)
	of, layout := claim.NewestShardLayout(append([]claim.Candidate{self}, others...))
	if layout == 0 {
		d.of, d.layout = wanted, 0
		return
	}
	if layout > d.layout {
		d.layout = layout
		d.relayout(now, of, "another host laid them out")
	}
	if d.shards[0] == nil || !claim.NeedsRelayout(d.of, wanted) {
		d.farSince = time.Time{}
		return
	}
	if d.farSince.IsZero() {
		d.farSince = now
	}
	if now.Sub(d.farSince) >= claim.RelayoutDelay {
		d.farSince = time.Time{}
		d.layout = claim.Token(now, d.layout, d.own)
		d.relayout(now, wanted, "the number of minions has changed")
		d.take(now, 0)
	}
}

// relayout gives up the shards of an earlier layout.
func (d *decisions) relayout(now time.Time, of int, reason string) {
	if d.of == of {
		return
	}
	for _, x := range d.ordered() {
		d.release(now, x, reason)
	}
	d.of = of
}

// settled reports whether a new process knows the claims of the others in its
// cell, so that it takes nothing from them.
func (d *decisions) settled(now time.Time) bool {
	age := now.Sub(d.startedAt)
	if age >= claim.StartupWait || age < claim.ShortStartupWait || !d.hearsHub(now) {
		return age >= claim.StartupWait
	}
	return !slices.ContainsFunc(d.roster.Hosts(), func(h *roster.Host) bool { return d.inCell(h) && h.HeartbeatAt.IsZero() })
}

// take claims a shard that no live host holds.
func (d *decisions) take(now time.Time, number int) {
	if d.shards[number] != nil || !d.settled(now) || now.Sub(d.dividedAt) < divideSettle || !d.hearsAny(now) {
		return
	}
	if !d.deposedAt.IsZero() && now.Sub(d.deposedAt) < claim.ReclaimDelay {
		return
	}
	d.token = claim.Token(now, d.token, d.own)
	if d.layout == 0 {
		d.layout = d.token
	}
	x := &shard{number: number, of: d.of, pool: pool.New(pool.Config{Timing: pool.DefaultTiming(), Note: d.note})}
	d.shards[number] = x
	x.pool.Claim(now, d.token)
	n := 0
	for _, m := range d.roster.Minions(d.self.FailureDomain) {
		if d.ownMinion(m.ID) && claim.ShardOf(m.ID, d.of) == number {
			x.pool.Minion(now, m)
			n++
		}
	}
	d.note(event.ClaimTaken, slog.Int("shard", number), slog.Int("of", d.of), slog.Uint64("token", d.token), slog.Int("minions", n))
	d.beatSoon = true
}

func (d *decisions) release(now time.Time, x *shard, reason string) {
	d.note(event.ClaimReleased, slog.Int("shard", x.number), slog.Int("of", x.of), slog.String("reason", reason), slog.Int("jobs", x.pool.Jobs()))
	d.token = max(d.token, x.pool.Token())
	x.pool.Release(now)
	d.flushPool(now, x)
	delete(d.shards, x.number)
	d.tellTable(now, d.candidates(now))
	d.beatSoon = true
}

// tellTable tells the callers' side which dispatchers there are.
func (d *decisions) tellTable(now time.Time, others []claim.Candidate) {
	var list []entry.Dispatcher
	self := d.candidate()
	all := append([]claim.Candidate{self}, others...)
	for number := range d.of {
		holder, c := claim.Holder(all, number, d.of)
		if holder == nil {
			continue
		}
		loadAt := now
		if h := d.roster.Host(holder.Host); h != nil {
			loadAt = h.LoadAt
		}
		list = append(list, dispatcher(holder.Host, d.self.FailureDomain, d.cell, c, loadAt))
	}
	for _, h := range d.roster.Hosts() {
		if !h.Entry || d.inCell(h) || !alive(now, h) {
			continue
		}
		cell := claim.CellOf(h.Name, h.Heartbeat.Division)
		for _, c := range h.Heartbeat.Claims {
			list = append(list, dispatcher(h.Name, h.FailureDomain, cell, c, h.LoadAt))
		}
	}
	d.table.SetDispatchers(now, list)
	d.setDispatchers(len(list) > 0)
}

func dispatcher(host, domain string, cell peer.Cell, c peer.Claim, loadAt time.Time) entry.Dispatcher {
	return entry.Dispatcher{Host: host, FailureDomain: domain, Cell: cell, Shard: c.Shard, ShardCount: c.Of, Load: c.Load, LoadAt: loadAt}
}

func (d *decisions) minionChanged(now time.Time, m peer.MinionRecord) {
	if m.FailureDomain != d.self.FailureDomain || !d.ownMinion(m.ID) {
		return
	}
	if x := d.shards[claim.ShardOf(m.ID, d.of)]; x != nil {
		x.pool.Minion(now, m)
	}
}
