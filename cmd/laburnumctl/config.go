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

// statusPollInterval is the interval at which "config -wait status" reads the
// configuration versions of the hosts again.
const statusPollInterval = 50 * time.Millisecond

// configCommand shows the applied configuration, or the version that each host
// has applied.
type configCommand struct {
	client *hostClient
	wait   time.Duration // how long status waits for all hosts
}

func (*configCommand) Name() string { return "config" }
func (*configCommand) Synopsis() string {
	return "show the configuration, or the version that each host has applied"
}
func (*configCommand) Usage() string {
	return "config get | config [-wait DURATION] status\n" +
		"  get: show the applied document. The output can be edited and passed to plan.\n" +
		"  status: show the version of each host and its age, as known to the answering\n" +
		"  host. Exit status 4: a host has not confirmed the newest version.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 config get > wanted.json\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103,10.0.0.2:8103 config -wait 5s status\n"
}

func (c *configCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.wait, "wait", 0, "with status: how long to wait until every host has confirmed the newest version")
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
	return usageError(c, "expected get or status")
}

func (c *configCommand) get(ctx context.Context) subcommands.ExitStatus {
	var r api.ConfigResponse
	if err := c.client.read(ctx, "/v1/config", &r); err != nil {
		return reportError(err)
	}
	return c.client.print(r, func() { printConfig(&r) })
}

// printConfig prints the document as indented JSON after a comment line with its
// version and age.
func printConfig(r *api.ConfigResponse) {
	fmt.Printf("// version %d, in force on the answering host for %s\n", r.Version, formatAge(r.AgeMS))
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

// configStatus holds the configuration version of every host.
type configStatus struct {
	NewestVersion uint64       `json:"newest"` // highest version that any host reports
	Complete      bool         `json:"whole"`  // every host is reachable and has NewestVersion
	Hosts         []hostConfig `json:"hosts"`
}

// hostConfig holds the configuration version of one host, as known to the
// answering host.
type hostConfig struct {
	Host             string `json:"host"`
	FailureDomain    string `json:"failure_domain"`
	Version          uint64 `json:"version"`
	AgeMS            int64  `json:"age_ms"`   // since the answering host applied Version, or since a peer first reported it
	LastMessageAgeMS int64  `json:"heard_ms"` // since the last message of a peer; -1 when there was none
	State            string `json:"state"`    // current, behind or unreachable
}

func (c *configCommand) status(ctx context.Context) subcommands.ExitStatus {
	deadline := time.Now().Add(c.wait)
	for {
		var r api.StatusResponse
		if err := c.client.read(ctx, "/v1/status", &r); err != nil {
			return reportError(err)
		}
		s := newConfigStatus(&r)
		if s.Complete || !time.Now().Before(deadline) {
			return c.printConfigStatus(s)
		}
		time.Sleep(statusPollInterval)
	}
}

func newConfigStatus(r *api.StatusResponse) *configStatus {
	s := &configStatus{NewestVersion: r.ConfigVersion, Complete: true}
	s.Hosts = append(s.Hosts, hostConfig{Host: r.Host, FailureDomain: r.FailureDomain, Version: r.ConfigVersion, AgeMS: r.ConfigAgeMS})
	for _, h := range r.Hosts {
		s.NewestVersion = max(s.NewestVersion, h.ConfigVersion)
		s.Hosts = append(s.Hosts, hostConfig{
			Host: h.Name, FailureDomain: h.FailureDomain, Version: h.ConfigVersion,
			AgeMS: h.ConfigAgeMS, LastMessageAgeMS: h.LastMessageAgeMS, State: reachabilityState(h.Up),
		})
	}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		if h.State == "" {
			h.State = versionState(h.Version, s.NewestVersion)
		}
		s.Complete = s.Complete && h.State == "current"
	}
	return s
}

// reachabilityState returns "unreachable" for a host that is not up. For a host
// that is up it returns "": the state then depends on its version.
func reachabilityState(up bool) string {
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

func (c *configCommand) printConfigStatus(s *configStatus) subcommands.ExitStatus {
	status := c.client.print(s, func() {
		t := newTable("HOST", "DOMAIN", "VERSION", "AGE", "HEARD", "STATE")
		for _, h := range s.Hosts {
			t.row(h.Host, h.FailureDomain, h.Version, formatAge(h.AgeMS), formatAge(h.LastMessageAgeMS), h.State)
		}
		t.flush()
	})
	if status == subcommands.ExitSuccess && !s.Complete {
		return exitNotComplete
	}
	return status
}
