package fleet

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/shoenig/test/must"
)

// An announcement that finds no room is not taken for heard.
func TestAnnouncementWithoutRoomIsNotTaken(t *testing.T) {
	h := &Host{inputs: ring.New[func(time.Time)](1)}
	must.True(t, h.Announce(peer.MinionRecord{ID: "a"}))
	must.False(t, h.Announce(peer.MinionRecord{ID: "b"}))
	must.False(t, h.Gone("a"))
}
