package fleet

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/shoenig/test/must"
)

func TestMetricsOfOrdersAndWrites(t *testing.T) {
	m := newMetrics()
	m.ordered("start", pool.AnswerUnknown)
	m.ordered("start", pool.AnswerUnknown)
	must.Eq(t, "2", m.orders.Get("start/10").String())
	m.saved(9 * time.Millisecond)
	row := m.saves.quantiles().(map[string]map[string]int64)["state"]
	must.Eq(t, 1, row["count"])
	must.Between(t, 8900, row["p50"], 9200)
}
