package event

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/pagetest"
	"github.com/shoenig/test/must"
)

const page = "../../docs/EVENTS.md"

// docs/EVENTS.md must list the events as the table in the code does.
func TestPageMatchesTable(t *testing.T) {
	var b strings.Builder
	b.WriteString("| event | level | message | what to do |\n| --- | --- | --- | --- |\n")
	for _, i := range Table() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", i.ID, strings.ToLower(i.Level.String()), i.Message, i.Advice)
	}
	pagetest.RequireTable(t, page, "| event |", b.String())
}

func TestLogCarriesNumber(t *testing.T) {
	var out bytes.Buffer
	l := slog.New(slog.NewTextHandler(&out, nil))
	Log(context.Background(), l, PeerDown, slog.String("host", "a"))
	must.StrContains(t, out.String(), "event=4002")
	must.StrContains(t, out.String(), "host=a")
}
