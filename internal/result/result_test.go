package result

import (
	"fmt"
	"strings"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/pagetest"
	"github.com/shoenig/test/must"
)

const page = "../../docs/RESULT-CODES.md"

// The table of the page is kept equal to the code.
func TestPageMatchesTable(t *testing.T) {
	var b strings.Builder
	b.WriteString("| code | name | class | HTTP | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, i := range Table() {
		fmt.Fprintf(&b, "| %d | %s | %s | %d | %s |\n", i.Code, i.Name, i.Class, i.HTTP, i.Meaning)
	}
	pagetest.Matches(t, page, "| code |", b.String())
}

func TestCodesAscendAndAreClassed(t *testing.T) {
	last := -1
	for _, i := range Table() {
		must.Greater(t, last, int(i.Code))
		last = int(i.Code)
		must.NotEq(t, 0, i.Class)
	}
}

// A code that a newer host sent must promise nothing.
func TestUnknownCodePromisesNothing(t *testing.T) {
	must.Eq(t, MayHaveRun, Code(9999).Class())
}
