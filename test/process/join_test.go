package process

import (
	"encoding/json"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/shoenig/test/must"
)

// A new host refuses jobs until the configuration lists it. After that it runs
// jobs, and the other hosts, whose settings do not name it, connect to it.
func TestHostJoinsByConfiguration(t *testing.T) {
	a1, a2, b1 := controlHosts(t)
	startMinion(t, "m1", "a", a1)
	a1.awaitMinions(t, 1)

	s := hostSettings(t, "a-3", "a")
	s.Joining = true
	for _, h := range []*host{a1, a2, b1} {
		s.Peers = append(s.Peers, settings.Peer{
			Name: h.settings.Host, FailureDomain: h.settings.FailureDomain, Region: h.settings.Region, Address: h.settings.Listen.Peers,
		})
	}
	a3 := startHost(t, s)
	r, err := a3.submit(newRequest("early", "one"))
	must.NoError(t, err)
	must.Eq(t, result.Joining, r.Code)

	planAndConfirm(t, a1, api.PlanRequest{Intent: plan.Change, File: "wanted.json", Document: documentWithHost(t, a1, s)}, a1, a2, b1, a3)
	a3.awaitMinions(t, 1)
	eventually(t, "a-3 runs jobs", func() bool {
		r, err := a3.submit(newRequest("late", "one"))
		return err == nil && r.Code == result.OK
	})
	a1.awaitPeers(t, 3)
	repetition := newRequest("late", "one")
	repetition.Attempt = 2
	answer, err := a1.submit(repetition)
	must.NoError(t, err)
	must.Eq(t, result.OK, answer.Code)
}

// documentWithHost returns the configuration applied on h, with the host of the
// settings s added to its failure domain.
func documentWithHost(t *testing.T, h *host, s settings.Settings) string {
	t.Helper()
	c, err := sendOperatorRequest[api.ConfigResponse](h, "GET", "/v1/config", nil)
	must.NoError(t, err)
	var d config.Document
	must.NoError(t, json.Unmarshal([]byte(c.Document), &d))
	for i := range d.FailureDomains {
		f := &d.FailureDomains[i]
		if f.Name == s.FailureDomain {
			f.Hosts = append(f.Hosts, config.Host{Name: s.Host, Address: s.Listen.Peers})
		}
	}
	text, err := json.Marshal(d)
	must.NoError(t, err)
	return string(text)
}
