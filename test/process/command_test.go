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

// Exit statuses of laburnumctl.
const (
	exitDone        = 0
	exitFailure     = 1
	exitUsage       = 2
	exitRefused     = 3
	exitNotComplete = 4
)

// laburnumctl runs the command line and requires its exit status.
func laburnumctl(t *testing.T, status int, args ...string) (output string) {
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

// planID returns the name of the plan in the output of a plan.
func planID(t *testing.T, output string) string {
	t.Helper()
	fields := strings.Fields(output)
	must.SliceContains(t, fields, "plan")
	return fields[1]
}

func TestCommandLineOfAnOperator(t *testing.T) {
	a1, a2, b1 := controlHosts(t)
	startMinion(t, "m1", "a", a1)
	a1.awaitMinions(t, 1)
	at := a1.settings.Listen.Operators
	dead := freeAddress(t)

	laburnumctl(t, exitFailure, "-host", dead, "status")
	must.StrContains(t, laburnumctl(t, exitDone, "-host", dead+","+at, "minions"), "m1")
	laburnumctl(t, exitUsage, "-host", at, "-format", "xml", "status")
	laburnumctl(t, exitUsage, "-host", at, "drain")
	laburnumctl(t, exitUsage, "-host", at, "confirm")
	laburnumctl(t, exitRefused, "-host", at, "confirm", "unknown")
	laburnumctl(t, exitRefused, "-host", at, "drain", "-host", "nowhere")
	laburnumctl(t, exitRefused, "-host", at, "fetch", "team/unknown")
	laburnumctl(t, exitNotComplete, "submit", "-callers", a1.settings.Listen.Callers, "-team", "team", "-service", "quotes", "one")

	file := filepath.Join(t.TempDir(), "wanted.json")
	must.NoError(t, os.WriteFile(file, []byte("{\n  \"teams\": [{\"name\": \"team\", \"weight\": 0}],\n}"), 0o644))
	must.StrContains(t, laburnumctl(t, exitRefused, "-host", at, "plan", file), file+":2: teams[0].weight: value 0 fails min=1")

	// What config get prints is a document that can be edited and planned.
	wanted := laburnumctl(t, exitDone, "-host", at, "config", "get")
	must.NoError(t, os.WriteFile(file, []byte(wanted), 0o644))
	must.StrContains(t, laburnumctl(t, exitRefused, "-host", at, "plan", file), "nothing would change")
	must.NoError(t, os.WriteFile(file, []byte(strings.Replace(wanted, `"weight": 1`, `"weight": 7`, 1)), 0o644))
	planned := laburnumctl(t, exitDone, "-host", at, "plan", file)
	must.StrContains(t, planned, "team team: weight 1 to 7")
	laburnumctl(t, exitDone, "-host", at, "confirm", planID(t, planned))
	laburnumctl(t, exitDone, "-host", at, "config", "-wait", patience.String(), "status")

	planned = laburnumctl(t, exitDone, "-host", at, "drain", "-minion", "m1", "m2")
	must.StrContains(t, planned, "minion m2 drained")
	must.StrContains(t, planned, "minion m2 is not announced in failure domain a")
	first := laburnumctl(t, exitDone, "-host", at, "confirm", planID(t, planned))
	must.Eq(t, first, laburnumctl(t, exitDone, "-host", at, "confirm", planID(t, planned)))
	must.StrContains(t, laburnumctl(t, exitDone, "-host", at, "minions", "-state", "draining"), "m1")
	b1.kill()
	a2.awaitPeers(t, 1)
	must.StrContains(t, laburnumctl(t, exitNotComplete, "-host", a2.settings.Listen.Operators, "config", "status"), "unreachable")
}
