package fleet

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
)

// lives are the processes that a host's messages came from.
type lives struct {
	present, before membership.Incarnation
}

// ofThisLife reports whether a message is from a host's present process. The
// first one of a new process, whatever it is, ends what the earlier one left.
func (d *decisions) ofThisLife(now time.Time, from string, inc membership.Incarnation) bool {
	l := d.lives[from]
	switch inc {
	case l.present:
		return true
	case l.before:
		return false
	}
	d.lives[from] = lives{present: inc, before: l.present}
	if l.present != "" {
		d.table.HostRestarted(now, from)
		for _, x := range d.ordered() {
			x.pool.HostLost(now, from)
		}
		delete(d.sentLog, from)
	}
	return true
}
