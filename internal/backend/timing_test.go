package backend

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestServerTiming(t *testing.T) {
	cases := []struct {
		header     string
		run, total time.Duration
	}{
		{"run;dur=12.5", 12500 * time.Microsecond, 12500 * time.Microsecond},
		{"cache;dur=1, run;desc=x;dur=2 , total;dur=5", 2 * time.Millisecond, 5 * time.Millisecond},
		{"run;dur=5, total;dur=2", 5 * time.Millisecond, 5 * time.Millisecond},
		{"run;dur=0.000", 1, 1}, // present, so not zero
		{"run;dur=NaN", 0, 0},
		{"run;dur=-1", 0, 0},
		{"run;dur=1e300", 0, 0},
		{"", 0, 0},
	}
	for _, c := range cases {
		run, total := serverTiming(c.header)
		must.Eq(t, c.run, run, must.Sprint(c.header))
		must.Eq(t, c.total, total, must.Sprint(c.header))
	}
}

// FuzzServerTiming checks that no header yields a negative duration or one above
// maxTimingMS.
func FuzzServerTiming(f *testing.F) {
	f.Add("run;dur=12.5, total;dur=13")
	f.Add("run;dur=+Inf;;,,=")
	f.Fuzz(func(t *testing.T, header string) {
		run, total := serverTiming(header)
		must.True(t, run >= 0 && total >= run && total <= maxTimingMS*time.Millisecond)
	})
}
