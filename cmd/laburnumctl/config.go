package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
)

// statusPoll is the interval of repeated looks at the configuration's spread.
const statusPoll = 50 * time.Millisecond

// configCommand shows the configuration in force and where it is.
type configCommand struct {
	client *hostClient
	wait   time.Duration
}

func (*configCommand) Name() string     { return "config" }
func (*configCommand) Synopsis() string { return "show the configuration, and which hosts have it" }
func (*configCommand) Usage() string {
	return "config get | config [-wait DURATION] status\n" +
		"  get: show the document in force; the output may be edited and planned.\n" +
		"  status: show the version of each host and its age, as the answering host sees\n" +
		"  it. Exit status 4: some host has not confirmed the newest version.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 config get > wanted.json\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103,10.0.0.2:8103 config -wait 5s status\n"
}

func (c *configCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.wait, "wait", 0, "of status: wait up to this long for every host")
}

func (c *configCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 1 {
		switch f.Arg(0) {
		case "get":
			return c.get(ctx)
		case "status":
			return c.status(ctx)
		}
	}
	return misused(c, "want get or status")
}

func (c *configCommand) get(ctx context.Context) subcommands.ExitStatus {
	var r api.ConfigResponse
	if err := c.client.read(ctx, "/v1/config", &r); err != nil {
		return fail(err)
	}
	return c.client.print(r, func() { printConfig(&r) })
}

// printConfig writes the document as JSON with a comment.
func printConfig(r *api.ConfigResponse) {
	fmt.Printf("// version %d, in force on the answering host for %s\n", r.Version, age(r.AgeMS))
	if r.Document == "" {
		return
	}
	var out bytes.Buffer
	if err := json.Indent(&out, []byte(r.Document), "", "  "); err != nil {
		fmt.Println(r.Document)
		return
	}
	fmt.Println(out.String())
}

// spread is which hosts have which version.
type spread struct {
	Newest uint64     `json:"newest"` // highest version that any host reports
	Whole  bool       `json:"whole"`  // every host has it
	Hosts  []hostSeen `json:"hosts"`
}

// hostSeen is the configuration of one host as the answering host sees it.
type hostSeen struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Version       uint64 `json:"version"`
	AgeMS         int64  `json:"age_ms"`
	HeardMS       int64  `json:"heard_ms"`
	State         string `json:"state"` // current, behind or unreachable
}

func (c *configCommand) status(ctx context.Context) subcommands.ExitStatus {
	deadline := time.Now().Add(c.wait)
	for {
		var r api.StatusResponse
		if err := c.client.read(ctx, "/v1/status", &r); err != nil {
			return fail(err)
		}
		s := newSpread(&r)
		if s.Whole || !time.Now().Before(deadline) {
			return c.printSpread(s)
		}
		time.Sleep(statusPoll)
	}
}

func newSpread(r *api.StatusResponse) *spread {
	s := &spread{Newest: r.ConfigVersion, Whole: true}
	s.Hosts = append(s.Hosts, hostSeen{Host: r.Host, FailureDomain: r.FailureDomain, Version: r.ConfigVersion, AgeMS: r.ConfigAgeMS})
	for _, h := range r.Hosts {
		s.Newest = max(s.Newest, h.ConfigVersion)
		s.Hosts = append(s.Hosts, hostSeen{
			Host: h.Name, FailureDomain: h.FailureDomain, Version: h.ConfigVersion,
			AgeMS: h.ConfigAgeMS, HeardMS: h.HeardMS, State: upState(h.Up),
		})
	}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		if h.State == "" {
			h.State = versionState(h.Version, s.Newest)
		}
		s.Whole = s.Whole && h.State == "current"
	}
	return s
}

func upState(up bool) string {
	if up {
		return ""
	}
	return "unreachable"
}

func versionState(version, newest uint64) string {
	if version == newest {
		return "current"
	}
	return "behind"
}

func (c *configCommand) printSpread(s *spread) subcommands.ExitStatus {
	status := c.client.print(s, func() {
		t := newTable("HOST", "DOMAIN", "VERSION", "AGE", "HEARD", "STATE")
		for _, h := range s.Hosts {
			t.row(h.Host, h.FailureDomain, h.Version, age(h.AgeMS), age(h.HeardMS), h.State)
		}
		t.flush()
	})
	if status == subcommands.ExitSuccess && !s.Whole {
		return exitNotComplete
	}
	return status
}
