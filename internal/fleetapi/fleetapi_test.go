package fleetapi

import (
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/fleet"
	"github.com/shoenig/test/must"
)

// An evacuated failure domain must be listed even if nothing of it is known here, or an
// operator could not see why its hosts get no work when they come back.
func TestEvacuatedDomainWithoutHostsIsListed(t *testing.T) {
	sizes := []fleet.DomainSize{{Domain: "a", EntryHosts: 3, Minions: 4, CPU: 64_000}, {Domain: "b", EntryHosts: 1}}
	must.Eq(t, []Domain{
		{Name: "a", EntryHosts: 3, Minions: 4, CPU: 64_000}, {Name: "b", EntryHosts: 1, Evacuated: true}, {Name: "c", Evacuated: true},
	}, domains(sizes, []string{"b", "c"}))
}
