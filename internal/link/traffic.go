package link

import (
	"sync/atomic"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// Traffic counts messages between hosts and their bytes, without the headers of TCP
// and IP.
type Traffic struct {
	SentMessages     uint64 `json:"sent_messages"`
	SentBytes        uint64 `json:"sent_bytes"`
	ReceivedMessages uint64 `json:"received_messages"`
	ReceivedBytes    uint64 `json:"received_bytes"`
	Expired          uint64 `json:"expired"` // dropped, because they had waited for longer than their lifetime
	Refused          uint64 `json:"refused"` // received, but not decodable
}

// trafficCounters counts the traffic of a mesh by message kind.
type trafficCounters [1 << 8]struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes, expired, refused atomic.Uint64
}

func (c *trafficCounters) sent(k peer.Kind, bytes int) {
	c[k].sentMessages.Add(1)
	c[k].sentBytes.Add(uint64(bytes))
}

func (c *trafficCounters) received(k peer.Kind, bytes int) {
	c[k].receivedMessages.Add(1)
	c[k].receivedBytes.Add(uint64(bytes))
}

func (c *trafficCounters) expired(k peer.Kind) { c[k].expired.Add(1) }

func (c *trafficCounters) refused(k peer.Kind) { c[k].refused.Add(1) }

// Traffic returns the traffic of each message kind that was sent or received, by the
// kind's name.
func (m *Mesh) Traffic() map[string]Traffic {
	out := make(map[string]Traffic)
	for k := range m.traffic {
		c := &m.traffic[k]
		t := Traffic{c.sentMessages.Load(), c.sentBytes.Load(), c.receivedMessages.Load(), c.receivedBytes.Load(), c.expired.Load(), c.refused.Load()}
		if t != (Traffic{}) {
			out[peer.Kind(k).String()] = t
		}
	}
	return out
}
