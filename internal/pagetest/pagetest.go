// Package pagetest compares tables in pages under docs/ with the code.
package pagetest

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "rewrite the tables of pages under docs/")

// RequireTable requires that the file page ends with table, whose first line begins
// with head. With the flag -update it replaces the table in the file instead.
func RequireTable(t *testing.T, page, head, table string) {
	t.Helper()
	text, err := os.ReadFile(page)
	must.NoError(t, err)
	before, _, ok := strings.Cut(string(text), head)
	must.True(t, ok)
	if *update {
		must.NoError(t, os.WriteFile(page, []byte(before+table), 0o644))
		return
	}
	must.Eq(t, before+table, string(text))
}
