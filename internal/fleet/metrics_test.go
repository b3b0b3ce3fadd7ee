package fleet

import (
	"os"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/shoenig/test/must"
)

func TestOrderAndStoreWriteMetrics(t *testing.T) {
	m := newMetrics()
	m.orderAnswered("start", pool.AnswerUnknown)
	m.orderAnswered("start", pool.AnswerUnknown)
	must.Eq(t, "2", m.orders.Get("start/10").String())
	m.stateSaved(9*time.Millisecond, nil)
	m.stateSaved(time.Millisecond, os.ErrDeadlineExceeded)
	row := m.storeWriteTimes.snapshot().(map[string]map[string]int64)["state"]
	must.Eq(t, 1, row["count"])
	must.Between(t, 8900, row["p50"], 9200)
	must.Eq(t, 1, m.storeWriteTimes.snapshot().(map[string]map[string]int64)["state_failed"]["count"])
}
