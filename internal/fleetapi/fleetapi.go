// Package fleetapi serves the operators' calls of hosts with leased minions that are part
// of the product's own API, beside the platform's calls on the same listener.
package fleetapi

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/laburnumwalk/laburnumwalk/internal/fleet"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/pkg/errors"
)

// PathEvacuations is the path of the list of failure domains. With "/" and the name of a
// failure domain it is the path of that domain's evacuation.
const PathEvacuations = "/v1/evacuations"

// callTimeout bounds one call. Operators repeat calls that are not answered in time.
const callTimeout = 3500 * time.Millisecond

// EvacuationsResponse is the answer to all calls of this package.
type EvacuationsResponse struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Detail  string      `json:"detail,omitempty"`
	Domains []Domain    `json:"failure_domains,omitempty"`
}

// Domain describes a failure domain, as far as the answering host knows its hosts and
// minions. Whether it is evacuated is confirmed by a majority of the control hosts.
type Domain struct {
	Name       string `json:"name"`
	Evacuated  bool   `json:"evacuated"`
	EntryHosts int    `json:"entry_hosts"`
	Minions    int    `json:"minions"`
	CPU        int64  `json:"cpu"` // of all minions, in thousandths of a processor
}

// Host has the methods of fleet.Host that the handlers call.
type Host interface {
	Evacuate(ctx context.Context, domain string) error
	Restore(ctx context.Context, domain string) error
	Evacuations(ctx context.Context) ([]string, error)
	FailureDomains(ctx context.Context) ([]fleet.DomainSize, error)
}

type handler struct{ host Host }

// Route registers the handlers with s.
func Route(s *server.Hertz, host Host) {
	h := &handler{host}
	s.GET(PathEvacuations, h.list)
	s.PUT(PathEvacuations+"/:domain", func(ctx context.Context, c *app.RequestContext) { h.order(ctx, c, host.Evacuate) })
	s.DELETE(PathEvacuations+"/:domain", func(ctx context.Context, c *app.RequestContext) { h.order(ctx, c, host.Restore) })
}

// order carries out an order for the failure domain in the path.
func (h *handler) order(ctx context.Context, c *app.RequestContext, order func(context.Context, string) error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply(c, nil, order(ctx, strings.Clone(c.Param("domain"))))
}

func (h *handler) list(ctx context.Context, c *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	evacuated, err := h.host.Evacuations(ctx)
	if err != nil {
		reply(c, nil, err)
		return
	}
	sizes, err := h.host.FailureDomains(ctx)
	reply(c, domains(sizes, evacuated), err)
}

// domains joins the sizes of the failure domains, which are sorted by name, and the
// evacuated ones.
func domains(sizes []fleet.DomainSize, evacuated []string) []Domain {
	out := make([]Domain, 0, len(sizes))
	index := make(map[string]int)
	for _, s := range sizes {
		index[s.Domain] = len(out)
		out = append(out, Domain{Name: s.Domain, EntryHosts: s.EntryHosts, Minions: s.Minions, CPU: s.CPU})
	}
	for _, name := range evacuated {
		i, known := index[name]
		if !known {
			out = append(out, Domain{Name: name, Evacuated: true})
			continue
		}
		out[i].Evacuated = true
	}
	return out
}

func reply(c *app.RequestContext, list []Domain, err error) {
	r := EvacuationsResponse{Domains: list}
	switch {
	case errors.Is(err, fleet.ErrUnknownDomain):
		r.Code, r.Detail = result.InvalidField, err.Error()
	case err != nil:
		r.Code, r.Detail = result.NoMajority, err.Error()
	}
	r.Name = r.Code.String()
	body, err := json.Marshal(r)
	if err != nil {
		c.String(500, "%v\n", err)
		return
	}
	c.Data(r.Code.HTTPStatus(), "application/json", body)
}
