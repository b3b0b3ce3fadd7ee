package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

// Replays recorded traces of both users' workloads. Every outcome must be the
// recorded one, and the number of starts and of answers by code must be as listed.
func TestRecordedTraces(t *testing.T) {
	cases := []struct {
		file   string
		starts int
		codes  map[result.Code]int
	}{
		{"despacho.jsonl", 54, map[result.Code]int{
			result.OK: 19, result.TaskFailed: 1, result.CancelledRan: 1, result.StartUnknown: 1, result.DeadlineUnknown: 1,
		}},
		{"registration.jsonl", 27, map[result.Code]int{
			result.OK: 27, result.UnknownService: 1, result.KeyConflict: 1, result.OwnerUnknown: 2,
		}},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			in, err := os.Open(filepath.Join("testdata", c.file))
			must.NoError(t, err)
			defer in.Close()
			r, err := Replay(in)
			must.NoError(t, err)
			must.SliceEmpty(t, r.Mismatches)
			must.Eq(t, c.starts, r.Starts)
			must.Eq(t, c.codes, r.Codes)
		})
	}
}

// A changed result code in a trace is reported twice: the recorded outcome is not
// replayed, and the replayed outcome is not recorded.
func TestDifferencesAreReported(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "despacho.jsonl"))
	must.NoError(t, err)
	changed := bytes.Replace(text, []byte(`"code":301}`), []byte(`"code":201}`), 1)
	must.NotEq(t, string(text), string(changed))
	r, err := Replay(bytes.NewReader(changed))
	must.NoError(t, err)
	must.SliceLen(t, 2, r.Mismatches)
}

func TestInvalidTracesAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"no configuration": `{"at":1,"in":{"tick":true}}`,
		"other version":    `{"version":9,"config":{}}`,
		"not JSON":         `x`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Replay(strings.NewReader(text))
			must.ErrorContains(t, err, "line 1")
		})
	}
}
