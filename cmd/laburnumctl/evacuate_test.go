package main

import (
	"strings"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/fleetapi"
	"github.com/shoenig/test/must"
)

// A plan must show the capacity that is lost, and warn when none is left or the name is
// wrong.
func TestPlanOfAnEvacuation(t *testing.T) {
	domains := []fleetapi.Domain{
		{Name: "a", Minions: 10, CPU: 160_000}, {Name: "b", Minions: 5, CPU: 80_500}, {Name: "c", Minions: 5, CPU: 80_000, Evacuated: true},
	}
	plan := func(domain string, evacuate bool) string {
		return strings.Join(planEvacuation(domains, domain, evacuate), "; ")
	}
	must.Eq(t, "a: gets no more work: 10 minions with 160.0 processors; 80.5 processors are in use elsewhere", plan("a", true))
	must.Eq(t, "c: gets work again: 5 minions with 80.0 processors; 240.5 processors are in use elsewhere", plan("c", false))
	must.Eq(t, "c: evacuated is true already", plan("c", true))
	must.StrContains(t, plan("d", true), "warning: no host or minion")
	domains[1].Evacuated = true
	must.StrContains(t, plan("a", true), "all jobs will be refused")
}
