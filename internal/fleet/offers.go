package fleet

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// dropLost gives up the jobs of entry hosts that have fallen silent: their
// callers' connections may be gone, and the jobs may come again elsewhere.
func (d *decisions) dropLost(now time.Time) {
	for _, x := range d.ordered() {
		for _, name := range x.pool.Waiting() {
			if name != d.self.Name && now.Sub(d.heardAt[name]) > claim.HeartbeatTimeout {
				d.note(event.PeerDown, slog.String("host", name))
				x.pool.HostLost(now, name)
			}
		}
	}
}

// offered takes a job for dispatch.
func (d *decisions) offered(now time.Time, from string, o *peer.JobOffer) {
	key := resultKey{from, o.Job, o.Offer}
	if r := d.results[key]; r != nil {
		d.sendResult(now, key, r) // it ended meanwhile
		return
	}
	if _, ended := d.ended[key]; ended || !d.fresh(from, o) {
		return
	}
	x := d.shards[o.Shard]
	if x == nil || x.of != o.Of || o.Cell != d.cell {
		r := &pendingResult{left: 1, body: peer.JobResult{Job: o.Job, Offer: o.Offer, Outcome: peer.JobMoved, Done: o.Done, Clean: !o.MayHaveRun, Minions: o.Minions, Reason: "not the shard's dispatcher"}}
		d.sendResult(now, key, r)
		return
	}
	x.pool.Offer(now, from, o)
	if from != d.self.Name {
		d.sendTo(from, &peer.JobAck{Job: o.Job, Offer: o.Offer, Shard: o.Shard, Load: x.pool.Load()})
	} else {
		d.table.HandleAck(now, from, &peer.JobAck{Job: o.Job, Offer: o.Offer, Load: peer.PoolLoad{Minions: x.pool.MinionSet()}})
	}
}

func (d *decisions) sendResult(now time.Time, key resultKey, r *pendingResult) {
	r.sentAt = now
	r.left--
	d.sendTo(key.to, &r.body)
}

func compareResults(a, b resultKey) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.to, b.to), cmp.Compare(a.offer, b.offer))
}

func (d *decisions) tickResults(now time.Time) {
	for _, key := range slices.SortedFunc(maps.Keys(d.results), compareResults) {
		r := d.results[key]
		if now.Sub(r.sentAt) < resultResend {
			continue
		}
		if r.left <= 0 {
			delete(d.results, key)
			continue
		}
		d.sendResult(now, key, r)
	}
}

// flushPool carries out what a pool asks for.
func (d *decisions) flushPool(now time.Time, x *shard) {
	r := x.pool.Ready()
	for i := range r.Starts {
		d.start(x.pool, &r.Starts[i])
	}
	for i := range r.Stops {
		d.stop(x.pool, &r.Stops[i])
	}
	for i := range r.Holds {
		d.hold(x.pool, &r.Holds[i])
	}
	for i := range r.Results {
		out := &r.Results[i]
		p := &pendingResult{body: out.Body, left: resultTries}
		key := resultKey{out.To, out.Body.Job, out.Body.Offer}
		if out.To != d.self.Name {
			d.results[key] = p
			d.ended[key] = now
		}
		d.sendResult(now, key, p)
	}
	if r.Deposed && d.shards[x.number] == x {
		d.release(now, x, "a minion obeys a newer token")
		d.deposedAt = now
	}
}
