package control

import (
	"os"
	"testing"
	"time"
)

// soakVariable holds how long the open-ended run lasts, for example "10m".
const soakVariable = "LW_SOAK"

// TestSoakRandomFaults runs new seeds until the time is over.
func TestSoakRandomFaults(t *testing.T) {
	length, err := time.ParseDuration(os.Getenv(soakVariable))
	if err != nil {
		t.Skipf("set %s to a duration", soakVariable)
	}
	const virtual = 5 * time.Minute
	begin := time.Now()
	steps := 0
	firstSeed := uint64(begin.UnixMilli())
	seed := firstSeed
	var sum simCounts
	for ; time.Since(begin) < length; seed++ {
		n, c := runSimulation(seed, virtual)
		steps += n
		sum.add(c)
	}
	t.Logf("seeds %d to %d, %d steps: %+v", firstSeed, seed-1, steps, sum)
}
