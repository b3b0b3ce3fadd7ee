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

// minReportedWrite is the shortest total time of encoding and writing an answer
// that is reported to Daemon.RecordWriteTimes.
const minReportedWrite = 5 * time.Millisecond

// requestTimes holds the times, the span and the answer of one HTTP request.
type requestTimes struct {
	firstByte time.Time
	received  time.Time   // when the handler began, after the last byte
	answer    *job.Answer // nil if the response is not a job's answer
	span      *telemetry.Request
	encode    time.Duration // time to encode the answer
	replied   time.Time     // when the handler returned
	finished  bool          // Finish has run
}

type requestTimesKey struct{}

// requestTimesOf returns the times in ctx, or nil if the request did not come
// through a listener, as in tests.
func requestTimesOf(ctx context.Context) *requestTimes {
	times, _ := ctx.Value(requestTimesKey{}).(*requestTimes)
	return times
}

// requestTimer records when a request starts and ends outside of its handler, and
// wraps each connection in a refusalConn. It implements tracer.Tracer.
type requestTimer struct{ api *API }

// Start waits for the first byte of the request, so that the time in which the
// connection was idle is not counted.
func (s *requestTimer) Start(ctx context.Context, c *app.RequestContext) context.Context {
	if r := c.GetReader(); r != nil {
		_, _ = r.Peek(1) // the library sees the same error when it reads the header
	}
	conn, ok := c.GetConn().(*refusalConn)
	if !ok {
		conn = &refusalConn{Conn: c.GetConn(), api: s.api}
		c.SetConn(conn)
	}
	conn.c = c
	conn.handled = false
	return context.WithValue(ctx, requestTimesKey{}, &requestTimes{firstByte: time.Now()})
}

// Finish ends the request's span and reports an answer that was slow to encode
// and write.
func (s *requestTimer) Finish(ctx context.Context, _ *app.RequestContext) {
	times := requestTimesOf(ctx)
	if times == nil || times.finished {
		return // when an idle connection ends, the library passes its last request again
	}
	times.finished = true
	written := time.Now()
	times.span.End(times.received, times.replied.Add(-times.encode), written, times.answer)
	write := written.Sub(times.replied)
	if times.answer != nil && times.encode+write >= minReportedWrite {
		s.api.daemon.RecordWriteTimes(times.answer.ID, times.encode, write)
	}
}

// recordReceipt is the first middleware. It runs when the library has read and
// parsed the whole request.
func (a *API) recordReceipt(ctx context.Context, c *app.RequestContext) {
	if conn, ok := c.GetConn().(*refusalConn); ok {
		conn.handled = true
	}
	times := requestTimesOf(ctx)
	if times == nil {
		c.Next(ctx)
		return
	}
	times.received = time.Now()
	c.Next(ctx)
	times.replied = time.Now()
}

// refusalConn replaces the responses that the HTTP library writes itself when it
// refuses a request before any handler runs. It drops what is written until a
// handler has the request, and Flush writes a response with a result code and the
// library's HTTP status instead.
type refusalConn struct {
	network.Conn
	api     *API
	c       *app.RequestContext
	handled bool // a handler, or replaceResponse, writes the response
}

// continueLine asks the client to send the body. The library writes it before any
// handler runs.
const continueLine = "HTTP/1.1 100 Continue\r\n\r\n"

// WriteBinary implements network.Writer.
func (r *refusalConn) WriteBinary(b []byte) (int, error) {
	if r.handled || string(b) == continueLine {
		return r.Conn.WriteBinary(b)
	}
	return len(b), nil
}

// Flush implements network.Writer.
func (r *refusalConn) Flush() error {
	if !r.handled && r.c.Response.StatusCode() >= http.StatusBadRequest {
		r.handled = true
		r.replaceResponse()
		if err := resp.Write(&r.c.Response, r.Conn); err != nil {
			return err
		}
	}
	return r.Conn.Flush()
}

func (r *refusalConn) replaceResponse() {
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
