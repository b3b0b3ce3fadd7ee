package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/pkg/errors"
)

const dialTimeout = 2 * time.Second

// hostClient sends HTTP requests to hosts: to their operators' listeners, and for
// submit to a callers' listener.
type hostClient struct {
	hostAddresses string        // addresses of the operators' listeners of one or more hosts, separated by commas
	format        string        // table or json
	timeout       time.Duration // of one request
}

func (c *hostClient) registerFlags(f *flag.FlagSet) {
	f.StringVar(&c.hostAddresses, "host", "127.0.0.1:8103", "`address` of a host's operators' listener; with several, separated by commas, a read that gets no answer is repeated at the next address")
	f.StringVar(&c.format, "format", "table", "output `format`: table or json")
	f.DurationVar(&c.timeout, "timeout", 10*time.Second, "timeout of one request")
}

// do sends a request and decodes the JSON response into out, whatever the HTTP
// status. It returns that status.
func (c *hostClient) do(ctx context.Context, method, address, path string, body []byte, out any) (int, error) {
	h, err := client.NewClient(client.WithDialTimeout(dialTimeout))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.SetBody(body)
	req.SetOptions(config.WithReadTimeout(c.timeout))
	if err := h.Do(ctx, req, resp); err != nil {
		return 0, errors.Wrapf(err, "%s %s%s", method, address, path)
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return resp.StatusCode(), errors.Wrapf(err, "%s%s: status %d", address, path, resp.StatusCode())
	}
	return resp.StatusCode(), nil
}

// addresses returns the addresses that a read tries, in order.
func (c *hostClient) addresses() []string { return strings.Split(c.hostAddresses, ",") }

// primaryAddress returns the first address. Requests other than reads are sent to
// it only.
func (c *hostClient) primaryAddress() string { return c.addresses()[0] }

// read sends a GET request for path to each address in turn, until a host answers.
// A refusal with a result code is an answer, too.
func (c *hostClient) read(ctx context.Context, path string, out any) error {
	var err error
	for _, address := range c.addresses() {
		err = c.request(ctx, "GET", address, path, nil, out)
		if _, refused := result.CodeOf(err); err == nil || refused {
			return err
		}
	}
	return err
}

// send sends a request that is not a read, with v as its JSON body. It is sent
// once, to the primary address only.
func (c *hostClient) send(ctx context.Context, method, path string, v, out any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	return c.request(ctx, method, c.primaryAddress(), path, body, out)
}

// request sends a request and decodes the response into out. If the host
// refuses the request, the error is a *result.Error and out is filled from the
// keys that the refusal has.
func (c *hostClient) request(ctx context.Context, method, address, path string, body []byte, out any) error {
	var raw json.RawMessage
	status, err := c.do(ctx, method, address, path, body, &raw)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest {
		_ = json.Unmarshal(raw, out) // best effort: a refusal may lack the keys of out
		var refusal api.JobResponse
		if err := json.Unmarshal(raw, &refusal); err == nil && refusal.Code != result.OK {
			return &result.Error{Code: refusal.Code, Detail: refusal.Detail}
		}
		return errors.Errorf("%s%s: status %d", address, path, status)
	}
	return errors.Wrapf(json.Unmarshal(raw, out), "%s%s", address, path)
}

// print writes v to standard output as JSON if -format is json, and calls table
// otherwise.
func (c *hostClient) print(v any, table func()) subcommands.ExitStatus {
	if c.format != "json" {
		table()
		return subcommands.ExitSuccess
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return reportError(err)
	}
	return subcommands.ExitSuccess
}
