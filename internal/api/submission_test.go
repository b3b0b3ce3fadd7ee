package api

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

var (
	testLimits = Limits{MaxTasks: 3, MaxPayloadBytes: 8, MaxDeadline: time.Minute}
	testNow    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

const goodBody = `{"key":"k","attempt":1,"team":"t","service":"s","deadline_ms":100,"submitted_at_ms":5,"tasks":[{"payload":"p"}]}`

func TestInvalidSubmissionsGetResultCodes(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           result.Code
	}{
		{"truncated", `"}]}`, `"}]`, result.Malformed},
		{"trailing data", `]}`, `]} 1`, result.Malformed},
		{"unknown key", `"attempt"`, `"atempt"`, result.Malformed},
		{"wrong type", `"deadline_ms":100`, `"deadline_ms":"100"`, result.Malformed},
		{"empty key", `"key":"k"`, `"key":""`, result.InvalidField},
		{"slash in team", `"team":"t"`, `"team":"a/b"`, result.InvalidField},
		{"deadline too long", `:100`, `:60001`, result.InvalidField},
		{"negative attempt", `"attempt":1`, `"attempt":-1`, result.InvalidField},
		{"no tasks", `{"payload":"p"}`, ``, result.InvalidField},
		{"long payload", `"p"`, `"123456789"`, result.TooLarge},
		{"many tasks", `{"payload":"p"}`, strings.Repeat(`{"payload":"p"},`, 3) + `{"payload":"p"}`, result.TooLarge},
		{"negative size", `"p"}`, `"p","size":{"memory_mb":-1}}`, result.InvalidField},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseSubmission(testNow, []byte(strings.Replace(goodBody, c.old, c.new, 1)), testLimits)
			must.NotNil(t, err)
			must.Eq(t, c.want, err.Code)
		})
	}
}

// A repetition may differ from the first attempt in attempt number, deadline and
// submission time. If the digest covered the submission time, a repetition with
// another time would be refused as not run (KeyConflict), although an earlier
// attempt may have run.
func TestDigestIgnoresAttemptAndTimes(t *testing.T) {
	parse := func(body string) uint64 {
		s, err := ParseSubmission(testNow, []byte(body), testLimits)
		must.Nil(t, err)
		return s.Digest
	}
	first := parse(goodBody)
	must.Eq(t, first, parse(strings.Replace(strings.Replace(goodBody, `"attempt":1`, `"attempt":2`, 1), ":100", ":50", 1)))
	for _, change := range [][2]string{
		{`"p"`, `"q"`}, {`"key":"k"`, `"key":"l"`}, {`"team":"t"`, `"team":"u"`}, {`"service":"s"`, `"service":"r"`},
		{`"p"}`, `"p"},{"payload":""}`}, {`"p"}`, `"p","no_repeat":true}`}, {`"p"}`, `"p","size":{}}`},
		{`"p"}`, `"p","size":{"milli_cpu":1}}`}, {`"p"}`, `"p","size":{"memory_mb":1}}`},
		{`"p"}`, `"p","size":{"accelerators":1}}`}, {`"p"}`, `"p","size":{"run_ms":1}}`},
	} {
		must.NotEq(t, first, parse(strings.Replace(goodBody, change[0], change[1], 1)), must.Sprint(change))
	}
	later := regexp.MustCompile(`"submitted_at_ms":\d+`).ReplaceAllString(goodBody, `"submitted_at_ms":42`)
	must.NotEq(t, goodBody, later)
	must.Eq(t, first, parse(later))
}

// FuzzParseSubmission checks that an arbitrary body is refused with a 1xx result
// code or accepted within the limits.
func FuzzParseSubmission(f *testing.F) {
	f.Add([]byte(goodBody))
	f.Add([]byte(goodBody[:20]))
	f.Add([]byte(`{"tasks":[null]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := ParseSubmission(testNow, body, testLimits)
		if err != nil {
			must.True(t, err.Code >= 100 && err.Code < 200)
			return
		}
		must.True(t, len(s.Tasks) >= 1 && len(s.Tasks) <= testLimits.MaxTasks)
	})
}

func BenchmarkParseSubmission(b *testing.B) {
	const tasks = 100
	task := `{"payload":"` + strings.Repeat("x", 200) + `"}`
	body := strings.Replace(goodBody, `{"payload":"p"}`, strings.Repeat(task+",", tasks-1)+task, 1)
	limits := Limits{MaxTasks: tasks, MaxPayloadBytes: 200, MaxDeadline: time.Minute}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseSubmission(testNow, []byte(body), limits); err != nil {
			b.Fatal(err)
		}
	}
}
