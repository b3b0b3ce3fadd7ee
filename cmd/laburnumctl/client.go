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

// hostClient talks to the operators' listener of one host.
type hostClient struct {
	host    string
	format  string
	timeout time.Duration
}

func (c *hostClient) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.host, "host", "127.0.0.1:8103", "`address` of a host's operators' listener; reads try the next of several, separated by commas")
	f.StringVar(&c.format, "format", "table", "output `format`: table or json")
	f.DurationVar(&c.timeout, "timeout", 10*time.Second, "bound on one request")
}

// do sends a request and decodes the JSON answer into out. It returns the
// HTTP status.
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

// addresses returns the hosts that a read may ask, in order.
func (c *hostClient) addresses() []string { return strings.Split(c.host, ",") }

// first returns the host that anything but a read goes to.
func (c *hostClient) first() string { return c.addresses()[0] }

// read gets path from the first host that answers.
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

// send makes a request that is not a read: it goes to one host, once.
func (c *hostClient) send(ctx context.Context, method, path string, v, out any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	return c.request(ctx, method, c.first(), path, body, out)
}

// request decodes the answer into out. A refusal is a *result.Error, and out
// has its further keys.
func (c *hostClient) request(ctx context.Context, method, address, path string, body []byte, out any) error {
	var raw json.RawMessage
	status, err := c.do(ctx, method, address, path, body, &raw)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest {
		_ = json.Unmarshal(raw, out) // a refusal need not have the keys of an answer
		var refusal api.JobResponse
		if err := json.Unmarshal(raw, &refusal); err == nil && refusal.Code != result.OK {
			return &result.Error{Code: refusal.Code, Detail: refusal.Detail}
		}
		return errors.Errorf("%s%s: status %d", address, path, status)
	}
	return errors.Wrapf(json.Unmarshal(raw, out), "%s%s", address, path)
}

// print writes v as JSON, or calls table for the table format.
func (c *hostClient) print(v any, table func()) subcommands.ExitStatus {
	if c.format != "json" {
		table()
		return subcommands.ExitSuccess
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
