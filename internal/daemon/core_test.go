package daemon

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/laburnumwalk/laburnumwalk/internal/verdict"
	"github.com/shoenig/test/must"
)

// slowInput is an input that takes 1 ms to apply. It records the time that it was
// passed and the time at which it ended.
type slowInput struct {
	startedAt *[]time.Time
	endedAt   *[]time.Time
}

func (p slowInput) apply(_ *core, now time.Time) {
	*p.startedAt = append(*p.startedAt, now)
	time.Sleep(time.Millisecond)
	*p.endedAt = append(*p.endedAt, time.Now())
}

// Each input of a batch must be passed a time that is not before the end of the
// previous input. With one time for the whole batch, a submission that arrives
// while the batch runs seems to come from the future.
func TestInputTimeIsNotBeforePreviousInputEnds(t *testing.T) {
	var startedAt, endedAt []time.Time
	c := &core{model: verdict.NewModel("h")}
	r := ring.New[input](2)
	must.True(t, r.TryPush(slowInput{&startedAt, &endedAt}))
	c.applyBatch(slowInput{&startedAt, &endedAt}, r)
	must.SliceLen(t, 2, startedAt)
	must.False(t, startedAt[1].Before(endedAt[0]))
}
