package result

import (
	"fmt"
	"strings"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/pagetest"
	"github.com/shoenig/test/must"
)

const page = "../../docs/RESULT-CODES.md"

// docs/RESULT-CODES.md must list the codes as the table in the code does.
func TestPageMatchesTable(t *testing.T) {
	var b strings.Builder
	b.WriteString("| code | name | class | HTTP | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, i := range Table() {
		fmt.Fprintf(&b, "| %d | %s | %s | %d | %s |\n", i.Code, i.Name, i.Class, i.HTTP, i.Meaning)
	}
	pagetest.RequireTable(t, page, "| code |", b.String())
}

func TestCodesAscendAndHaveClass(t *testing.T) {
	last := -1
	for _, i := range Table() {
		must.Greater(t, last, int(i.Code))
		last = int(i.Code)
		must.NotEq(t, 0, i.Class)
	}
}

// A code unknown to this release, as a newer host may send, must not promise that
// no task ran.
func TestUnknownCodePromisesNothing(t *testing.T) {
	must.Eq(t, MayHaveRun, Code(9999).Class())
}
