package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"
)

// table prints rows with aligned columns to standard output.
type table struct{ w *tabwriter.Writer }

func newTable(columns ...string) table {
	const minWidth, tabWidth, padding = 0, 8, 2
	t := table{tabwriter.NewWriter(os.Stdout, minWidth, tabWidth, padding, ' ', 0)}
	fmt.Fprintln(t.w, strings.Join(columns, "\t"))
	return t
}

func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t table) flush() { t.w.Flush() }

// formatAge formats a duration in milliseconds. A negative one means that the
// event has never happened.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	d := time.Duration(ms) * time.Millisecond
	if d >= time.Minute {
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}

// joinOrDash joins names by commas. It returns "-" without names.
func joinOrDash(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ", ")
}

// orDash returns s, or "-" for an empty string.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
