package config

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const documentText = `// wanted
{
  "services": [{"name": "despacho"}],
  "teams": [{"name": "patio", "weight": 1}],
  "failure_domains": [
    {"name": "a", "region": "r", "hosts": [
      {"name": "a-1", "address": "127.0.0.1:1"}]},
    {"name": "b", "region": "r", "hosts": [
      {"name": "b-1", "address": "127.0.0.1:2"}]}
  ],
  "control_hosts": [
    {"host": "a-1", "disk": "d1"},
  ],
  "drains": {
    "hosts": ["a-1"],
    "stops": [{"host": "a-1", "incarnation": "i"}],
  },
}`

func TestParseErrorNamesFileLineAndKey(t *testing.T) {
	_, err := Parse("wanted.json", []byte(documentText))
	must.NoError(t, err)
	for _, c := range []struct{ old, text, want string }{
		{`"weight"`, `"wait"`, "wanted.json:4: teams[0].wait: unknown key"},
		{`"weight": 1`, `"weight": 0`, "wanted.json:4: teams[0].weight: value 0 fails min=1"},
		{`"host": "a-1", "disk"`, `"host": "x", "disk"`, `wanted.json:12: control_hosts[0].host: host "x" is in no failure domain`},
		{`"name": "b-1"`, `"name": "a-1"`, `wanted.json:9: failure_domains[1].hosts[0].name: host "a-1" is in "a" and "b"`},
		{`"hosts": ["a-1"]`, `"hosts": []`, `wanted.json:16: drains.stops[0].host: host "a-1" is not in drains.hosts`},
	} {
		_, err := Parse("wanted.json", []byte(strings.Replace(documentText, c.old, c.text, 1)))
		must.EqError(t, err, c.want)
	}
}

func TestEncodeParseRoundTrip(t *testing.T) {
	d, err := Parse("wanted.json", []byte(documentText))
	must.NoError(t, err)
	d.Normalize()
	text, err := d.Encode()
	must.NoError(t, err)
	again, err := Parse("encoded", text)
	must.NoError(t, err)
	must.Eq(t, d, again)
}

func TestExampleDocumentIsValid(t *testing.T) {
	const example = "../../examples/configuration.json"
	text, err := os.ReadFile(example)
	must.NoError(t, err)
	_, err = Parse(example, text)
	must.NoError(t, err)
}
