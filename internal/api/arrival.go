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
	"github.com/laburnumwalk/laburnumwalk/internal/telemetry"
)

// slowWrite is the shortest time of encoding and writing an answer that is
// reported for explanations.
const slowWrite = 5 * time.Millisecond

// arrival holds the times of one HTTP request.
type arrival struct {
	firstByte time.Time
	received  time.Time   // the handler began
	answer    *job.Answer // when it is a job's
	span      *telemetry.Request
	encode    time.Duration
	replied   time.Time // the handler ended
	finished  bool
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
	conn, ok := c.GetConn().(*refusingConn)
	if !ok {
		conn = &refusingConn{Conn: c.GetConn(), api: s.api}
		c.SetConn(conn)
	}
	conn.c = c
	conn.understood = false
	return context.WithValue(ctx, arrivalKey{}, &arrival{firstByte: time.Now()})
}

// Finish reports slow writing of a job's answer.
func (s *stopwatch) Finish(ctx context.Context, _ *app.RequestContext) {
	a := arrivalOf(ctx)
	if a == nil || a.finished {
		return // the end of an idle connection comes with its last request
	}
	a.finished = true
	written := time.Now()
	a.span.End(a.received, a.replied.Add(-a.encode), written, a.answer)
	write := written.Sub(a.replied)
	if a.answer != nil && a.encode+write >= slowWrite {
		s.api.core.Written(a.answer.ID, a.encode, write)
	}
}

// receive is the first middleware: the request is complete and understood.
func (a *API) receive(ctx context.Context, c *app.RequestContext) {
	if conn, ok := c.GetConn().(*refusingConn); ok {
		conn.understood = true
	}
	at := arrivalOf(ctx)
	if at == nil {
		c.Next(ctx)
		return
	}
	at.received = time.Now()
	c.Next(ctx)
	at.replied = time.Now()
}

// refusingConn replaces the text with which the HTTP library refuses a request
// before any handler runs. What is written while the request is not understood
// is dropped, and a numbered refusal with the library's status goes out instead.
type refusingConn struct {
	network.Conn
	api        *API
	c          *app.RequestContext
	understood bool // a handler answers the request
}

// continueLine asks a client to go on with the body; no handler has run then.
const continueLine = "HTTP/1.1 100 Continue\r\n\r\n"

// WriteBinary implements network.Writer.
func (r *refusingConn) WriteBinary(b []byte) (int, error) {
	if r.understood || string(b) == continueLine {
		return r.Conn.WriteBinary(b)
	}
	return len(b), nil
}

// Flush implements network.Writer.
func (r *refusingConn) Flush() error {
	if !r.understood && r.c.Response.StatusCode() >= http.StatusBadRequest {
		r.understood = true
		r.refuse()
		if err := resp.Write(&r.c.Response, r.Conn); err != nil {
			return err
		}
	}
	return r.Conn.Flush()
}

func (r *refusingConn) refuse() {
	status := r.c.Response.StatusCode()
	e := result.Errorf(result.Malformed, "not a well-formed HTTP request")
	switch status {
	case http.StatusRequestEntityTooLarge:
		e = result.Errorf(result.TooLarge, "body exceeds the listener's bound")
	case http.StatusRequestHeaderFieldsTooLarge:
		e = result.Errorf(result.TooLarge, "header exceeds %d bytes", r.api.maxHeaderBytes)
	case http.StatusRequestTimeout:
		e = result.Errorf(result.Malformed, "request incomplete after %v", readTimeout)
	}
	r.c.Response.Reset()
	r.c.SetConnectionClose()
	r.api.reply(r.c, status, errorResponse(e))
}
