package pool

import (
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/interference"
	"github.com/shoenig/test/must"
)

// A run's own presence must not count as that of a neighbour of its queue: every queue
// would then be found to run beside itself all the time.
func TestSharesOfNeighbours(t *testing.T) {
	n := &neighbours{at: startTime}
	n.change(startTime, "a", 1)
	then := &neighbours{queues: append([]presence(nil), n.queues...), at: startTime}
	n.change(startTime.Add(10*ms), "b", 1)
	n.change(startTime.Add(30*ms), "b", -1)
	n.change(startTime.Add(35*ms), "a", 1)
	n.advance(startTime.Add(40 * ms))
	must.Eq(t, []interference.Neighbour{{Queue: "a", Share: 0.125}, {Queue: "b", Share: 0.5}}, n.beside("a", then))
}
