package settings

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
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

// Every key is documented in docs/SETTINGS.md, and nothing else is.
func TestPageNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	must.NoError(t, err)
	documented := 0
	for line := range strings.SplitSeq(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			documented++
		}
	}
	keys := keysOf("", reflect.TypeOf(Settings{}))
	for _, k := range keys {
		must.StrContains(t, string(page), "| `"+k+"` |")
	}
	must.Eq(t, len(keys), documented)
}

func keysOf(prefix string, t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		key := join(prefix, jsonName(f))
		if f.Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(key, f.Type)...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}
