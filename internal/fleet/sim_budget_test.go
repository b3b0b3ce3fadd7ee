package fleet

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// largeFleet has the size of the largest known deployment: 150 hosts and 1,100 minions.
var largeFleet = simConfig{failureDomains: 5, entryHosts: 29, minions: 220, controlHosts: 1, load: 0.28, recoveryPeriod: 6 * time.Second}

// sentByRole returns what the entry hosts and the control hosts have sent, by message
// kind.
func (sim *simulation) sentByRole() (entry, control map[peer.Kind]simTraffic) {
	entry, control = make(map[peer.Kind]simTraffic), make(map[peer.Kind]simTraffic)
	for _, h := range sim.hosts {
		role := entry
		if h.rec.Control {
			role = control
		}
		for k, t := range h.sent {
			role[k] = role[k].plus(t)
		}
	}
	return entry, control
}

// The messages between the hosts of a large fleet stay within the budget of
// docs/CAPACITY.md.
func TestLargeFleetStaysWithinBudget(t *testing.T) {
	const (
		maxHeartbeats      = 90     // sent by an entry host, a second
		maxBytes           = 16_000 // sent by an entry host to other hosts, a second
		maxControlMessages = 400    // sent by a control host, a second
		from, until        = 6 * time.Second, 8 * time.Second
	)
	sim := newSimulation(largeFleet, 1)
	sim.stopAt = until
	var entry, control [2]map[peer.Kind]simTraffic
	sim.after(from, func() { entry[0], control[0] = sim.sentByRole() })
	sim.after(until, func() { entry[1], control[1] = sim.sentByRole() })
	sim.run()
	perSecond := func(sent [2]map[peer.Kind]simTraffic, hosts int) (messages map[peer.Kind]float64, allMessages, allBytes float64) {
		n := float64(hosts) * (until - from).Seconds()
		messages = make(map[peer.Kind]float64)
		for k, x := range sent[1] {
			messages[k] = float64(x.messages-sent[0][k].messages) / n
			bytes := float64(x.bytes-sent[0][k].bytes) / n
			t.Logf("%v: %.1f messages and %.0f bytes a second and host", k, messages[k], bytes)
			allMessages, allBytes = allMessages+messages[k], allBytes+bytes
		}
		return messages, allMessages, allBytes
	}
	messages, _, bytes := perSecond(entry, largeFleet.failureDomains*largeFleet.entryHosts)
	must.LessEq(t, maxHeartbeats, messages[peer.KindFleetHeartbeat])
	must.LessEq(t, maxBytes, bytes)
	_, all, _ := perSecond(control, largeFleet.failureDomains)
	must.LessEq(t, maxControlMessages, all)
	must.SliceEmpty(t, sim.checker.violations)
}

// A dispatcher sends its next heartbeat within the time that it has promised, also to hosts
// whose last job there has just ended. Otherwise they would take it for unavailable.
func TestHeartbeatsComeWithinThePromisedTime(t *testing.T) {
	const settled, until, tolerance = 7 * time.Second, 12 * time.Second, 2 * tickInterval
	sim := newSimulation(simConfig{failureDomains: 3, entryHosts: 14, minions: 40, load: 0.1}, 1)
	sim.config.recoveryPeriod = until
	sim.stopAt = until
	type sent struct {
		at, next time.Duration
		claims   int
	}
	last := make(map[[2]string]sent)
	broken := 0
	sim.onHeartbeat = func(from, to string, h *peer.FleetHeartbeat) {
		key := [2]string{from, to}
		before, known := last[key]
		if known && before.at > settled && before.claims > 0 && len(h.Claims) > 0 && sim.now-before.at > before.next+tolerance {
			broken++
			t.Logf("%s to %s: after %v, promised %v", from, to, sim.now-before.at, before.next)
		}
		last[key] = sent{sim.now, nextHeartbeat(h), len(h.Claims)}
	}
	sim.run()
	must.Eq(t, 0, broken)
}
