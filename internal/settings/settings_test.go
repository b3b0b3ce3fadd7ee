package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const good = `// comment
{
  "host": "a", "failure_domain": "d", "region": "r",
  "listen": {
    "callers": "127.0.0.1:1", "minions": "127.0.0.1:2",
    "operators": "127.0.0.1:3", "peers": "127.0.0.1:4", // trailing comma
  },
}
`

func decode(text string) error {
	s := Defaults()
	return Decode("f.json", []byte(text), &s)
}

func TestGoodSettings(t *testing.T) {
	must.NoError(t, decode(good))
}

func TestBadSettingsNameFileLineAndKey(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", `"region": "r",`, `"region": "r", "colour": 1,`, "f.json:3: colour: unknown key"},
		{"nested unknown key", `"peers": "127`, `"pears": "127`, "f.json:6: listen.pears: unknown key"},
		{"wrong type", `"host": "a"`, `"host": 5`, "f.json:3: host: want string, got number"},
		{"bad address", `"127.0.0.1:2"`, `"nowhere"`, "f.json:5: listen.minions: value nowhere fails hostname_port"},
		{"missing key", `"host": "a",`, ``, "f.json:1: host: value  fails required"},
		{"twice", `"host": "a",`, `"host": "a", "host": "b",`, "f.json:3: host: key stands twice"},
		{"out of range", `"region": "r",`, "\"region\": \"r\",\n\"timing\": {\"minion_lease_ms\": 9999},", "f.json:4: timing.minion_lease_ms: value 9999 fails max=3000"},
		{"syntax", `"host":`, `"host"`, "f.json:3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(good, c.old, c.new, 1)
			must.NotEq(t, good, text)
			err := decode(text)
			var ps Problems
			must.True(t, errors.As(err, &ps))
			must.StrContains(t, err.Error(), c.want)
		})
	}
}

func TestDemoSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/demo/*.json")
	must.NoError(t, err)
	must.Positive(t, len(files))
	for _, f := range files {
		_, err := Load(f)
		must.NoError(t, err)
	}
	_, err = Load(filepath.Join(t.TempDir(), "absent"))
	must.ErrorIs(t, err, os.ErrNotExist)
}
