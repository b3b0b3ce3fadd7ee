package api

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// slowWrite is the shortest time of encoding and writing an answer that is
// reported for explanations.
const slowWrite = 5 * time.Millisecond

// arrival holds the times of one HTTP request.
type arrival struct {
	firstByte time.Time
	received  time.Time // the handler began
	job       job.ID    // set when the answer is a job's
	encode    time.Duration
	replied   time.Time // the handler ended
}

type arrivalKey struct{}

// arrivalOf returns the times of the request, or nil outside of a server.
func arrivalOf(ctx context.Context) *arrival {
	a, _ := ctx.Value(arrivalKey{}).(*arrival)
	return a
}

// stopwatch measures requests before and after their handlers, and gives the
// HTTP library's own refusals a numbered code. It implements tracer.Tracer.
type stopwatch struct{ api *API }

// Start waits for the first byte of the request: the time before it is not the
// request's.
func (s *stopwatch) Start(ctx context.Context, c *app.RequestContext) context.Context {
	if r := c.GetReader(); r != nil {
		_, _ = r.Peek(1) // an error comes again when the header is read
	}
	c.Response.HijackWriter(&refusal{api: s.api, c: c})
	return context.WithValue(ctx, arrivalKey{}, &arrival{firstByte: time.Now()})
}

// Finish reports slow writing of a job's answer.
func (s *stopwatch) Finish(ctx context.Context, _ *app.RequestContext) {
	a := arrivalOf(ctx)
	if a == nil || a.job.Key == "" {
		return
	}
	write := time.Since(a.replied)
	if a.encode+write >= slowWrite {
		s.api.core.Written(a.job, a.encode, write)
	}
}

// receive is the first middleware: the request is complete and understood.
func (a *API) receive(ctx context.Context, c *app.RequestContext) {
	c.Response.HijackWriter(nil)
	at := arrivalOf(ctx)
	if at == nil {
		c.Next(ctx)
		return
	}
	at.received = time.Now()
	c.Next(ctx)
	at.replied = time.Now()
}

// refusal replaces the text with which the HTTP library refuses a request
// before any handler runs. It implements network.ExtWriter.
type refusal struct {
	api *API
	c   *app.RequestContext
}

var _ network.ExtWriter = (*refusal)(nil)

// Write drops the library's text.
func (*refusal) Write(p []byte) (int, error) { return len(p), nil }

// Flush does nothing.
func (*refusal) Flush() error { return nil }

// Finalize writes a numbered refusal with the library's status.
func (r *refusal) Finalize() error {
	r.c.Response.HijackWriter(nil)
	status := r.c.Response.StatusCode()
	e := result.Errorf(result.Malformed, "not an HTTP request that this listener understands")
	switch status {
	case http.StatusRequestEntityTooLarge:
		e = result.Errorf(result.TooLarge, "body exceeds %d bytes", r.api.maxBodyBytes)
	case http.StatusRequestHeaderFieldsTooLarge:
		e = result.Errorf(result.TooLarge, "header exceeds %d bytes", r.api.maxHeaderBytes)
	case http.StatusRequestTimeout:
		e = result.Errorf(result.Malformed, "request incomplete after %v", readTimeout)
	}
	r.api.reply(r.c, status, errorResponse(e))
	return resp.Write(&r.c.Response, r.c.GetWriter())
}
