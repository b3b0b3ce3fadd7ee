package plan

import (
	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// checkRegions refuses a change that adds more hosts to a region than stay in
// it. An added host takes work once more than half of its region lists it, and
// one of those must be a host that the old list names: a host with the old
// list asks only them for the owner of a key.
func checkRegions(before, wanted *config.Document) *result.Error {
	old, next := regions(before), regions(wanted)
	for _, f := range wanted.FailureDomains {
		was := old[f.Region]
		if len(was) == 0 {
			continue
		}
		kept := 0
		for host := range next[f.Region] {
			if was[host] {
				kept++
			}
		}
		if added := len(next[f.Region]) - kept; added > kept {
			return result.Errorf(result.PlanRefused, "region %s: %d hosts added while %d stay; add them in several changes", f.Region, added, kept)
		}
	}
	return nil
}

// regions returns the names of each region's hosts.
func regions(d *config.Document) map[string]map[string]bool {
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
