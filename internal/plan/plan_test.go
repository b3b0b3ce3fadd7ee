package plan

import (
	"strings"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

const documentText = `{
  "services": [{"name": "despacho"}],
  "teams": [{"name": "patio", "weight": 1, "max_slots": 40, "max_queued": 100}],
  "failure_domains": [
    {"name": "a", "region": "r", "hosts": [{"name": "a-2", "address": "127.0.0.1:2"}, {"name": "a-1", "address": "127.0.0.1:1"}]},
    {"name": "b", "region": "r", "hosts": [{"name": "b-1", "address": "127.0.0.1:3"}]}
  ],
  "control_hosts": [{"host": "a-1", "disk": "d1"}, {"host": "a-2", "disk": "d2"}, {"host": "b-1", "disk": "d3"}]
}`

func mustParse(t *testing.T, text string) *config.Document {
	t.Helper()
	d, err := config.Parse("test.json", []byte(text))
	must.NoError(t, err)
	return d
}

// newView returns the view of host a-1 on three reachable hosts and two minions.
func newView(t *testing.T) View {
	return View{
		Host: "a-1", FailureDomain: "a", Version: 7, Document: mustParse(t, documentText),
		Hosts: []Host{{"a-1", "i1", true}, {"a-2", "i2", true}, {"b-1", "i3", true}},
		Minions: []Minion{
			{Name: "m1", Services: []string{"despacho"}, Ready: true, Running: 3},
			{Name: "m2", Services: []string{"despacho"}, Ready: true, Running: 2},
		},
		TaskCounts: []TaskCounts{{"patio", "despacho", 5, 5}, {"other", "quotes", 4, 0}},
	}
}

// mustRefuse makes a plan that must fail with the given code and returns the
// detail of the error.
func mustRefuse(t *testing.T, want result.Code, r Request, v View) string {
	t.Helper()
	p, err := Make(r, v)
	must.Nil(t, p)
	must.NotNil(t, err)
	must.Eq(t, want, err.Code)
	return err.Detail
}

func mustMake(t *testing.T, r Request, v View) *Plan {
	t.Helper()
	p, err := Make(r, v)
	must.Nil(t, err)
	return p
}

func TestDrainMinion(t *testing.T) {
	v := newView(t)
	p := mustMake(t, Request{Intent: Drain, Minions: []string{"m1"}}, v)
	must.Eq(t, 7, p.Base)
	must.Eq(t, []string{"minion m1 drained"}, p.Changes)
	must.Eq(t, Impact{Minions: []string{"m1"}, Teams: []string{"patio"}, QueuedTasks: 5, Running: 3}, p.Impact)
	must.SliceEmpty(t, p.Warnings)
	must.SliceEmpty(t, v.Document.Drains.Minions) // the applied document is not modified
	must.Eq(t, p.Document, mustParse(t, string(p.Encoded)))
	v.Document = p.Document
	mustRefuse(t, result.PlanRefused, Request{Intent: Drain, Minions: []string{"m1"}}, v)
	p = mustMake(t, Request{Intent: Drain, Minions: []string{"m2", "m9"}}, v)
	must.Eq(t, []string{
		"minion m9 is not announced in failure domain a",
		"service despacho would have no ready minion in failure domain a",
	}, p.Warnings)
	p = mustMake(t, Request{Intent: Undrain, Minions: []string{"m1"}}, v)
	must.Eq(t, []string{"minion m1 no longer drained"}, p.Changes)
}

func TestStopNamesIncarnation(t *testing.T) {
	v := newView(t)
	p := mustMake(t, Request{Intent: Stop, Hosts: []string{"b-1"}}, v)
	must.Eq(t, []string{"host b-1 drained", "host b-1: process i3 stops"}, p.Changes)
	must.Eq(t, []string{"failure domain b would take no new work: every host is drained"}, p.Warnings)
	must.True(t, p.Document.StopsProcess("b-1", "i3"))
	must.False(t, p.Document.StopsProcess("b-1", "next"))
	v.Document = p.Document
	v.Hosts[2].Incarnation = "next"
	p = mustMake(t, Request{Intent: Stop, Hosts: []string{"b-1"}}, v)
	must.Eq(t, []string{"host b-1: process next stops"}, p.Changes)
	p = mustMake(t, Request{Intent: Undrain, Hosts: []string{"b-1"}}, v)
	must.SliceEmpty(t, p.Document.Drains.Stops)
	v.Hosts[2].Reachable = false
	mustRefuse(t, result.PlanRefused, Request{Intent: Stop, Hosts: []string{"b-1"}}, v)
}

func TestRefusesLossOfControlMajority(t *testing.T) {
	v := newView(t)
	detail := mustRefuse(t, result.PlanRefused, Request{Intent: Stop, Hosts: []string{"b-1", "a-2"}}, v)
	must.StrContains(t, detail, "no majority")
	v.Hosts[1].Reachable = false
	mustRefuse(t, result.PlanRefused, Request{Intent: Stop, Hosts: []string{"b-1"}}, v)

	change := func(edit func(*config.Document)) Request {
		d := mustParse(t, documentText)
		edit(d)
		return Request{Intent: Change, Document: d}
	}
	noControlHosts := change(func(d *config.Document) { d.ControlHosts = []config.ControlHost{} })
	twoRemoved := change(func(d *config.Document) { d.ControlHosts = d.ControlHosts[:1] })
	oneRemoved := change(func(d *config.Document) { d.ControlHosts = d.ControlHosts[:2] })
	newDisk := change(func(d *config.Document) { d.ControlHosts[1].Disk = "new" })
	must.StrContains(t, mustRefuse(t, result.PlanRefused, noControlHosts, v), "none would be left")
	must.StrContains(t, mustRefuse(t, result.PlanRefused, twoRemoved, v), "one at a time")
	must.StrContains(t, mustRefuse(t, result.PlanRefused, oneRemoved, v), "no majority") // a-2 is unreachable
	mustMake(t, newDisk, v)
	v.Hosts[1].Reachable = true
	p := mustMake(t, oneRemoved, v)
	must.Eq(t, []string{"control host b-1 removed"}, p.Changes)
	must.SliceLen(t, 1, p.Warnings)
}

// A change whose document omits the control hosts must not remove them. Version 1
// lists the control hosts and their disks even if the operator's file does not.
func TestAbsentControlHostsAreKept(t *testing.T) {
	v := newView(t)
	d := mustParse(t, documentText)
	d.ControlHosts = nil
	d.Teams[0].MaxSlots = 77
	p := mustMake(t, Request{Intent: Change, Document: d}, v)
	must.Eq(t, v.Document.ControlHosts, p.Document.ControlHosts)
	must.SliceLen(t, 1, p.Changes)
}

// A change whose document omits the drains must not end the declared ones. A
// document that lists drains ends those that it does not list.
func TestAbsentDrainsAreKept(t *testing.T) {
	v := newView(t)
	v.Document.Drains.Minions = []string{"m1"}
	v.Document.Teams[0].MaxSlots = 10
	p := mustMake(t, Request{Intent: Change, Document: mustParse(t, documentText)}, v)
	must.Eq(t, []string{"team patio: max_slots 10 to 40"}, p.Changes)
	must.Eq(t, []string{"m1"}, p.Document.Drains.Minions)
	d := mustParse(t, documentText)
	d.Drains.Minions = []string{}
	p = mustMake(t, Request{Intent: Change, Document: d}, v)
	must.Eq(t, []string{"team patio: max_slots 10 to 40", "minion m1 no longer drained"}, p.Changes)
}

func TestDigestIgnoresOrder(t *testing.T) {
	v := newView(t)
	d := mustParse(t, documentText)
	first := mustMake(t, Request{Intent: Change, Document: d}, View{Version: 0, Hosts: v.Hosts})
	d.FailureDomains[0], d.FailureDomains[1] = d.FailureDomains[1], d.FailureDomains[0]
	second := mustMake(t, Request{Intent: Change, Document: d}, View{Version: 0, Hosts: v.Hosts})
	must.Eq(t, first.Digest, second.Digest)
	mustRefuse(t, result.PlanRefused, Request{Intent: Change, Document: d}, v)
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	v := newView(t)
	mustRefuse(t, result.InvalidField, Request{Intent: "other", Hosts: []string{"a-1"}}, v)
	mustRefuse(t, result.InvalidField, Request{Intent: Drain}, v)
	mustRefuse(t, result.InvalidField, Request{Intent: Change}, v)
	mustRefuse(t, result.HostUnknown, Request{Intent: Drain, Hosts: []string{"c-1"}}, v)
	mustRefuse(t, result.PlanRefused, Request{Intent: Drain, Hosts: []string{"a-1"}}, View{})
	mustRefuse(t, result.PlanRefused, Request{Intent: Drain, Minions: []string{""}}, v)
}

// A region may at most double in one change. With more added hosts, a host that
// still has the old document might ask only hosts that have the old document too.
func TestRegionAtMostDoublesPerChange(t *testing.T) {
	v := newView(t)
	addHosts := func(names ...string) Request {
		list := ""
		for _, n := range names {
			list += `, {"name": "` + n + `", "address": "127.0.0.1:9"}`
		}
		text := strings.Replace(documentText, `{"name": "b-1", "address": "127.0.0.1:3"}`, `{"name": "b-1", "address": "127.0.0.1:3"}`+list, 1)
		return Request{Intent: Change, Document: mustParse(t, text)}
	}
	mustMake(t, addHosts("b-2", "b-3", "b-4"), v)
	detail := mustRefuse(t, result.PlanRefused, addHosts("b-2", "b-3", "b-4", "b-5"), v)
	must.StrContains(t, detail, "region r")
}
