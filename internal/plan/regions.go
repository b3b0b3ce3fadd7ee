package plan

import (
	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// checkRegionGrowth refuses a change that adds more hosts to a region than
// remain in it. An added host takes work once more than half of the hosts of its
// region have a document that lists it. At least one of these must be listed in
// the old document, too, because hosts that still have the old document ask only
// the hosts listed there for the owner of a key. A region without hosts in the old
// document is not limited.
func checkRegionGrowth(before, wanted *config.Document) *result.Error {
	oldHosts, newHosts := hostsByRegion(before), hostsByRegion(wanted)
	for _, f := range wanted.FailureDomains {
		oldInRegion := oldHosts[f.Region]
		if len(oldInRegion) == 0 {
			continue
		}
		kept := 0
		for host := range newHosts[f.Region] {
			if oldInRegion[host] {
				kept++
			}
		}
		if added := len(newHosts[f.Region]) - kept; added > kept {
			return result.Errorf(result.PlanRefused, "region %s: %d hosts added while %d stay; add them in several changes", f.Region, added, kept)
		}
	}
	return nil
}

// hostsByRegion returns the set of host names in each region.
func hostsByRegion(d *config.Document) map[string]map[string]bool {
	out := make(map[string]map[string]bool)
	for _, f := range d.FailureDomains {
		if out[f.Region] == nil {
			out[f.Region] = make(map[string]bool)
		}
		for _, h := range f.Hosts {
			out[f.Region][h.Name] = true
		}
	}
	return out
}
