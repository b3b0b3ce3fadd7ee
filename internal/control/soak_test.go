package control

import (
	"os"
	"testing"
	"time"
)

// soakVariable is the environment variable that sets the duration of the soak test,
// for example "10m".
const soakVariable = "LW_SOAK"

// TestSoakRandomFaults runs simulations with new seeds until the duration in LW_SOAK
// has passed. Of two runs of a seed, one has groups that manage themselves.
func TestSoakRandomFaults(t *testing.T) {
	length, err := time.ParseDuration(os.Getenv(soakVariable))
	if err != nil {
		t.Skipf("set %s to a duration", soakVariable)
	}
	const simulated, simulatedSelfManaged = 5 * time.Minute, time.Minute
	begin := time.Now()
	steps := 0
	firstSeed := uint64(begin.UnixMilli())
	seed := firstSeed
	var sum simCounts
	for ; time.Since(begin) < length; seed++ {
		n, c := runSimulation(seed, simulated)
		steps += n
		sum.add(c)
		n, c = runSimulationOf(newSimulation(seed, 3+2*int(seed%2), true), simulatedSelfManaged)
		steps += n
		sum.add(c)
	}
	t.Logf("seeds %d to %d, %d steps: %+v", firstSeed, seed-1, steps, sum)
}
