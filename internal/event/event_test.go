package event

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "rewrite the table in docs/EVENTS.md")

const page = "../../docs/EVENTS.md"

// The catalogue of the page is kept equal to the code.
func TestPageMatchesTable(t *testing.T) {
	var b strings.Builder
	b.WriteString("| event | level | message | what to do |\n| --- | --- | --- | --- |\n")
	for _, i := range Table() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", i.ID, strings.ToLower(i.Level.String()), i.Message, i.Advice)
	}
	text, err := os.ReadFile(page)
	must.NoError(t, err)
	head, _, ok := strings.Cut(string(text), "| event |")
	must.True(t, ok)
	if *update {
		must.NoError(t, os.WriteFile(page, []byte(head+b.String()), 0o644))
		return
	}
	must.Eq(t, head+b.String(), string(text))
}

func TestLogCarriesNumber(t *testing.T) {
	var out bytes.Buffer
	l := slog.New(slog.NewTextHandler(&out, nil))
	Log(context.Background(), l, PeerDown, slog.String("host", "a"))
	must.StrContains(t, out.String(), "event=4002")
	must.StrContains(t, out.String(), "host=a")
}
