package plan

import (
	"fmt"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/shoenig/test/must"
)

// newScaledView returns the view of one host in a system with the given number
// of failure domains of 8 hosts and 68 minions each, and with 45 teams that use
// 20 services each.
func newScaledView(domains int) View {
	const hosts, minions, teams, services, drained = 8, 68, 45, 20, 50
	d := &config.Document{}
	v := View{Host: "host-0-0", FailureDomain: "domain-0", Version: 1, Document: d}
	for s := range services {
		d.Services = append(d.Services, config.Service{Name: fmt.Sprintf("service-%d", s)})
	}
	for t := range teams {
		d.Teams = append(d.Teams, config.Team{Name: fmt.Sprintf("team-%d", t), Weight: 1, MaxSlots: 100, MaxQueued: 1000})
		for s := range services {
			v.TaskCounts = append(v.TaskCounts, TaskCounts{fmt.Sprintf("team-%d", t), fmt.Sprintf("service-%d", s), 10, 10})
		}
	}
	for f := range domains {
		fd := config.FailureDomain{Name: fmt.Sprintf("domain-%d", f), Region: fmt.Sprintf("region-%d", f%6)}
		for h := range hosts {
			name := fmt.Sprintf("host-%d-%d", f, h)
			fd.Hosts = append(fd.Hosts, config.Host{Name: name, Address: fmt.Sprintf("10.0.%d.%d:7104", f, h)})
			v.Hosts = append(v.Hosts, Host{name, "f81d4fae-7dec-11d0-a765-00a0c91e6bf6", true})
		}
		d.FailureDomains = append(d.FailureDomains, fd)
	}
	for m := range minions {
		v.Minions = append(v.Minions, Minion{fmt.Sprintf("minion-%d", m), []string{"service-0", "service-1"}, true, 4})
	}
	for m := range drained {
		d.Drains.Minions = append(d.Drains.Minions, fmt.Sprintf("drained-%d", m))
	}
	return v
}

// BenchmarkMake measures the time to make a plan and the size in bytes of its
// encoded document.
func BenchmarkMake(b *testing.B) {
	for _, domains := range []int{3, 11, 22, 44} {
		b.Run(fmt.Sprintf("domains=%d", domains), func(b *testing.B) {
			v := newScaledView(domains)
			var p *Plan
			for b.Loop() {
				made, err := Make(Request{Intent: Drain, Minions: []string{"minion-0"}}, v)
				must.Nil(b, err)
				p = made
			}
			b.ReportMetric(float64(len(p.Encoded)), "document-bytes")
		})
	}
}
