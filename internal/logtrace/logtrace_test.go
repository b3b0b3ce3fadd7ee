package logtrace

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const log = `   1.0 front-1 {"time":"2026-01-01T00:00:00.999Z","level":"INFO","msg":"caller's request accepted","event":2110,"job":"j","request":"r"}
   1.0 front-1 {"time":"2026-01-01T00:00:01.000Z","level":"INFO","msg":"job offered to a dispatcher","event":2112,"job":"j","dispatcher":"10.0.0.1"}
noise without an object
   1.1 front-2 {"time":"2026-01-01T00:00:01.002Z","level":"INFO","msg":"job queued","event":2105,"job":"j","jobs_here":40,"free_cpu":0}
   1.4 front-2 {"time":"2026-01-01T00:00:01.100Z","level":"INFO","msg":"task sent to a minion","event":2106,"job":"j","run":1,"minion":"m","age_ms":100}
   1.5 front-2 {"time":"2026-01-01T00:00:01.200Z","level":"WARN","msg":"minion unreachable","event":3103,"minion":"m"}
   1.5 front-2 {"time":"2026-01-01T00:00:01.200Z","level":"WARN","msg":"minion unreachable","event":3103,"minion":"other"}
   2.1 front-2 {"time":"2026-01-01T00:00:02.000Z","level":"INFO","msg":"run ended without success","event":2108,"job":"j","how":"lapsed","minion":"m"}
   2.9 front-1 {"time":"2026-01-01T00:00:03.000Z","level":"INFO","msg":"job answered without success","event":2111,"job":"j","outcome":5,"reason":"deadline passed"}
   0.5 front-1 {"time":"2026-01-01T00:00:00.500Z","level":"INFO","msg":"job answered without success","event":2111,"job":"k","outcome":3,"reason":"the backlog is longer than the caller waits"}
`

func TestFind(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(log))
	must.NoError(t, err)
	must.Eq(t, 1, skipped)
	x := Find(lines, "j")
	must.Len(t, 6, x.Lines)
	must.Eq(t, x, Find(lines, "r"))
	must.Len(t, 1, x.MinionLines)
	must.Eq(t, "abandoned, may have run: deadline passed; the lease of a run expired or its minion no longer had it (1); the last task was first started 100 ms after the job arrived", x.Verdict)
	must.Eq(t, "refused, not run: the backlog is longer than the caller waits", Find(lines, "k").Verdict)
	must.StrContains(t, Find(lines, "none").Verdict, "no line names the job")
	var out bytes.Buffer
	must.NoError(t, x.Print(&out))
	must.StrContains(t, out.String(), "00:00:01.200 front-2 3103 minion unreachable minion=m")
}
