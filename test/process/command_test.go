package process

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Exit statuses of laburnumctl that the tests expect.
const (
	exitDone        = 0
	exitFailure     = 1
	exitUsage       = 2
	exitRefused     = 3
	exitNotComplete = 4
)

// runLaburnumctl runs laburnumctl, requires its exit status and returns its
// standard output and standard error.
func runLaburnumctl(t *testing.T, status int, args ...string) (output string) {
	t.Helper()
	out, err := exec.Command(filepath.Join(binaries, "laburnumctl"), args...).CombinedOutput()
	if status == exitDone {
		must.NoError(t, err, must.Sprint(string(out)))
		return string(out)
	}
	var exit *exec.ExitError
	must.True(t, errors.As(err, &exit), must.Sprint(err))
	must.Eq(t, status, exit.ExitCode(), must.Sprint(string(out)))
	return string(out)
}

// planID returns the plan's ID from the output of a command that made a plan.
func planID(t *testing.T, output string) string {
	t.Helper()
	fields := strings.Fields(output)
	must.SliceContains(t, fields, "plan")
	return fields[1]
}

// With real control hosts, laburnumctl returns the exit statuses and prints the
// output that operators rely on.
func TestOperatorCommands(t *testing.T) {
	a1, a2, b1 := controlHosts(t)
	startMinion(t, "m1", "a", a1)
	a1.awaitMinions(t, 1)
	address := a1.settings.Listen.Operators
	unusedAddress := freeAddress(t)

	runLaburnumctl(t, exitFailure, "-host", unusedAddress, "status")
	must.StrContains(t, runLaburnumctl(t, exitDone, "-host", unusedAddress+","+address, "minions"), "m1")
	runLaburnumctl(t, exitUsage, "-host", address, "-format", "xml", "status")
	runLaburnumctl(t, exitUsage, "-host", address, "drain")
	runLaburnumctl(t, exitUsage, "-host", address, "confirm")
	runLaburnumctl(t, exitRefused, "-host", address, "confirm", "unknown")
	runLaburnumctl(t, exitRefused, "-host", address, "drain", "-host", "nowhere")
	runLaburnumctl(t, exitRefused, "-host", address, "fetch", "team/unknown")
	runLaburnumctl(t, exitNotComplete, "submit", "-callers", a1.settings.Listen.Callers, "-team", "team", "-service", "quotes", "one")

	file := filepath.Join(t.TempDir(), "wanted.json")
	must.NoError(t, os.WriteFile(file, []byte("{\n  \"teams\": [{\"name\": \"team\", \"weight\": 0}],\n}"), 0o644))
	must.StrContains(t, runLaburnumctl(t, exitRefused, "-host", address, "plan", file), file+":2: teams[0].weight: value 0 fails min=1")

	// The output of "config get" is a document that can be edited and planned.
	wanted := runLaburnumctl(t, exitDone, "-host", address, "config", "get")
	must.NoError(t, os.WriteFile(file, []byte(wanted), 0o644))
	must.StrContains(t, runLaburnumctl(t, exitRefused, "-host", address, "plan", file), "nothing would change")
	must.NoError(t, os.WriteFile(file, []byte(strings.Replace(wanted, `"weight": 1`, `"weight": 7`, 1)), 0o644))
	planned := runLaburnumctl(t, exitDone, "-host", address, "plan", file)
	must.StrContains(t, planned, "team team: weight 1 to 7")
	runLaburnumctl(t, exitDone, "-host", address, "confirm", planID(t, planned))
	runLaburnumctl(t, exitDone, "-host", address, "config", "-wait", waitTimeout.String(), "status")

	planned = runLaburnumctl(t, exitDone, "-host", address, "drain", "-minion", "m1", "m2")
	must.StrContains(t, planned, "minion m2 drained")
	must.StrContains(t, planned, "minion m2 is not announced in failure domain a")
	first := runLaburnumctl(t, exitDone, "-host", address, "confirm", planID(t, planned))
	must.Eq(t, first, runLaburnumctl(t, exitDone, "-host", address, "confirm", planID(t, planned)))
	must.StrContains(t, runLaburnumctl(t, exitDone, "-host", address, "minions", "-state", "draining"), "m1")
	b1.kill()
	a2.awaitPeers(t, 1)
	must.StrContains(t, runLaburnumctl(t, exitNotComplete, "-host", a2.settings.Listen.Operators, "config", "status"), "unreachable")
}
