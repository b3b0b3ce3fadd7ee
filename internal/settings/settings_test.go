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

const goodSettings = `// comment
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
	must.NoError(t, decode(goodSettings))
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", `"region": "r",`, `"region": "r", "colour": 1,`, "f.json:3: colour: unknown key"},
		{"nested unknown key", `"peers": "127`, `"pears": "127`, "f.json:6: listen.pears: unknown key"},
		{"wrong type", `"host": "a"`, `"host": 5`, "f.json:3: host: want string, got number"},
		{"bad address", `"127.0.0.1:2"`, `"nowhere"`, "f.json:5: listen.minions: value nowhere fails hostname_port"},
		{"missing key", `"host": "a",`, ``, "f.json:1: host: value  fails required"},
		{"duplicate key", `"host": "a",`, `"host": "a", "host": "b",`, "f.json:3: host: key stands twice"},
		{"out of range", `"region": "r",`, "\"region\": \"r\",\n\"timing\": {\"minion_lease_ms\": 9999},", "f.json:4: timing.minion_lease_ms: value 9999 fails max=3000"},
		{"syntax", `"host":`, `"host"`, "f.json:3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(goodSettings, c.old, c.new, 1)
			must.NotEq(t, goodSettings, text)
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

// docs/SETTINGS.md must list exactly the existing keys, each in the section of
// its program.
func TestDocumentationListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	must.NoError(t, err)
	first, second, ok := strings.Cut(string(page), "# Settings of laburnum-host")
	must.True(t, ok)
	checkKeys(t, first, reflect.TypeOf(Settings{}))
	checkKeys(t, second, reflect.TypeOf(Fleet{}))
}

// checkKeys compares the keys listed on the page with those of a settings type.
func checkKeys(t *testing.T, page string, of reflect.Type) {
	t.Helper()
	documented := 0
	for line := range strings.SplitSeq(page, "\n") {
		if strings.HasPrefix(line, "| `") {
			documented++
		}
	}
	keys := keysOf("", of)
	for _, k := range keys {
		must.StrContains(t, page, "| `"+k+"` |")
	}
	must.Eq(t, len(keys), documented)
}

// keysOf returns the dotted keys of a settings struct.
func keysOf(prefix string, t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		key := joinKey(prefix, jsonName(f))
		if f.Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(key, f.Type)...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

func TestLoadFleet(t *testing.T) {
	const good = `{"name": "h", "ip": "10.0.0.1", "failure_domain": "a", "region": "r", "peer_port": "77", "seeds": ["10.0.0.2:80"], "tolerated_losses": 2,
		"entry": true, "caller_address": "10.0.0.1:1", "ready_address": "10.0.0.1:2", // a comment
	}`
	file := filepath.Join(t.TempDir(), "host.json")
	load := func(text string) (Fleet, error) {
		must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		return LoadFleet(file)
	}
	s, err := load(good)
	must.NoError(t, err)
	must.Eq(t, 5, s.ControlGroupSize())
	must.Eq(t, "info", s.Log.Level)
	for change, want := range map[string]string{
		`"entry": true, "caller_address": "10.0.0.1:1"`: "an entry host needs caller_address",
		`"ip": "10.0.0.1"`: "ip",
		`"10.0.0.2:80"`:    "seeds",
	} {
		bad := strings.Replace(good, change, map[string]string{
			`"entry": true, "caller_address": "10.0.0.1:1"`: `"entry": true`, `"ip": "10.0.0.1"`: `"ip": "here"`, `"10.0.0.2:80"`: `"nowhere"`,
		}[change], 1)
		_, err := load(bad)
		must.ErrorContains(t, err, want)
	}
	_, err = load(strings.Replace(good, `"name"`, `"nick"`, 1))
	must.ErrorContains(t, err, "unknown key")
	_, err = load(strings.Replace(good, `"entry": true`, `"control": true, "entry": true`, 1))
	must.ErrorContains(t, err, "control_address")
}
