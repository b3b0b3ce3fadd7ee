package daemon

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/laburnumwalk/laburnumwalk/internal/verdict"
	"github.com/shoenig/test/must"
)

// probe records the time it was given and then takes a while.
type probe struct {
	given *[]time.Time
	ended *[]time.Time
}

func (p probe) apply(_ *core, now time.Time) {
	*p.given = append(*p.given, now)
	time.Sleep(time.Millisecond)
	*p.ended = append(*p.ended, time.Now())
}

// Each input of a batch gets a time that is not before the end of the one
// ahead of it; otherwise a fresh submission looks as if it came from the future.
func TestBatchTimeIsNeverStale(t *testing.T) {
	var given, ended []time.Time
	c := &core{model: verdict.NewModel("h")}
	r := ring.New[input](2)
	must.True(t, r.TryPush(probe{&given, &ended}))
	c.batch(probe{&given, &ended}, r)
	must.SliceLen(t, 2, given)
	must.False(t, given[1].Before(ended[0]))
}
