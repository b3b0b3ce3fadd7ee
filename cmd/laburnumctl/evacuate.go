package main

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"strings"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/fleetapi"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// evacuationsCommand lists failure domains and whether they are evacuated.
type evacuationsCommand struct{ client *hostClient }

func (*evacuationsCommand) Name() string { return "evacuations" }
func (*evacuationsCommand) Synopsis() string {
	return "list failure domains and whether they are evacuated"
}
func (*evacuationsCommand) SetFlags(_ *flag.FlagSet) {}
func (*evacuationsCommand) Usage() string {
	return "evacuations\n  List failure domains of hosts with leased minions, and whether they are evacuated.\n" +
		"  -host names control addresses of laburnum-host.\n" +
		"  Example: laburnumctl -host 10.0.0.1:7803,10.0.1.1:7803 evacuations\n"
}

func (c *evacuationsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return usageError(c, "expected no arguments")
	}
	var r fleetapi.EvacuationsResponse
	if err := c.client.read(ctx, fleetapi.PathEvacuations, &r); err != nil {
		return reportError(err)
	}
	return c.client.print(r, func() { printDomains(r.Domains) })
}

func printDomains(domains []fleetapi.Domain) {
	t := newTable("FAILURE DOMAIN", "EVACUATED", "ENTRY HOSTS", "MINIONS", "PROCESSORS")
	for _, d := range domains {
		t.row(d.Name, d.Evacuated, d.EntryHosts, d.Minions, formatProcessors(d.CPU))
	}
	t.flush()
}

// formatProcessors formats thousandths of a processor.
func formatProcessors(milli int64) string { return fmt.Sprintf("%.1f", float64(milli)/1000) }

// evacuateCommand orders the evacuation of a failure domain, or withdraws it.
type evacuateCommand struct {
	client  *hostClient
	method  string // PUT or DELETE
	confirm bool
}

func (c *evacuateCommand) evacuates() bool { return c.method == "PUT" }

func (c *evacuateCommand) Name() string {
	if c.evacuates() {
		return "evacuate"
	}
	return "restore"
}

func (c *evacuateCommand) Synopsis() string {
	if c.evacuates() {
		return "send nothing more to the minions of a failure domain"
	}
	return "use the minions of an evacuated failure domain again"
}

func (c *evacuateCommand) Usage() string {
	n := c.Name()
	return n + " [-confirm] DOMAIN\n  " + strings.ToUpper(c.Synopsis()[:1]) + c.Synopsis()[1:] + ".\n" +
		"  Without -confirm the plan is shown and nothing changes. If there is no answer,\n" +
		"  repeat the command: an order in force is acknowledged again.\n" +
		"  -host names control addresses of laburnum-host; the next one is tried without an answer.\n" +
		"  Example: laburnumctl -host 10.0.0.1:7803,10.0.1.1:7803 " + n + " -confirm sul-b\n"
}

func (c *evacuateCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.confirm, "confirm", false, "carry out the order")
}

func (c *evacuateCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || f.Arg(0) == "" {
		return usageError(c, "expected one argument DOMAIN")
	}
	if !c.confirm {
		return c.plan(ctx, f.Arg(0))
	}
	var r fleetapi.EvacuationsResponse
	var err error
	for _, address := range c.client.addresses() { // the order may be repeated at any host
		err = c.client.request(ctx, c.method, address, fleetapi.PathEvacuations+"/"+url.PathEscape(f.Arg(0)), nil, &r)
		if code, refused := result.CodeOf(err); err == nil || refused && code != result.NoMajority {
			break
		}
	}
	if err != nil {
		return reportError(err)
	}
	return c.client.print(r, func() { fmt.Println("acknowledged") })
}

// plan shows what the order would change.
func (c *evacuateCommand) plan(ctx context.Context, domain string) subcommands.ExitStatus {
	var r fleetapi.EvacuationsResponse
	if err := c.client.read(ctx, fleetapi.PathEvacuations, &r); err != nil {
		return reportError(err)
	}
	lines := planEvacuation(r.Domains, domain, c.evacuates())
	return c.client.print(r, func() {
		fmt.Println(strings.Join(lines, "\n"))
		fmt.Println("nothing is changed; repeat the command with -confirm")
	})
}

// planEvacuation describes what the evacuation of a failure domain, or its withdrawal,
// changes.
func planEvacuation(domains []fleetapi.Domain, domain string, evacuate bool) []string {
	var concerned fleetapi.Domain
	var others int64 // processors in use outside
	known := false
	for _, d := range domains {
		switch {
		case d.Name == domain:
			concerned, known = d, true
		case !d.Evacuated:
			others += d.CPU
		}
	}
	if !known {
		return []string{fmt.Sprintf("warning: no host or minion of failure domain %s is known", domain)}
	}
	if concerned.Evacuated == evacuate {
		return []string{fmt.Sprintf("%s: evacuated is %v already", domain, evacuate)}
	}
	size := fmt.Sprintf("%d minions with %s processors; %s processors are in use elsewhere", concerned.Minions, formatProcessors(concerned.CPU), formatProcessors(others))
	if !evacuate {
		return []string{domain + ": gets work again: " + size}
	}
	lines := []string{domain + ": gets no more work: " + size}
	if others == 0 {
		lines = append(lines, "warning: no other failure domain has minions: all jobs will be refused")
	}
	return lines
}
