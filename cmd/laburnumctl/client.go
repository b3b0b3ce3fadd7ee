package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/google/subcommands"
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
	f.StringVar(&c.host, "host", "127.0.0.1:8103", "`address` of a host's operators' listener")
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

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "laburnumctl:", err)
	return subcommands.ExitFailure
}
