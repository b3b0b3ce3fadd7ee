package backend

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/laburnumwalk/laburnumwalk/internal/dial"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/pkg/errors"
)

const (
	dialTimeout    = 500 * time.Millisecond
	cancelTimeout  = time.Second
	maxConnections = 64 // per minion
	// idleTimeout is the time after which the client closes an idle connection, before
	// the minion does: minions must keep idle connections for at least 30 s.
	idleTimeout = 10 * time.Second
	// answerGrace is how long the client waits for an answer after the deadline. A late
	// answer shows that the slot is free.
	answerGrace = 2 * time.Second
	maxTimingMS = 1e9 // maximum duration in milliseconds that is accepted from HeaderTiming
)

// Request is a request to start a task on a minion.
type Request struct {
	Task        job.TaskID
	Service     string
	Payload     []byte
	NoRepeat    bool   // the task is not idempotent
	Address     string // of the minion, host:port
	Deadline    time.Time
	Traceparent string // W3C trace context; empty: not sampled
}

// Reply is the outcome of a Request.
type Reply struct {
	Outcome   job.Outcome
	Disproved bool // the minion certainly did not start the task
}

// Client starts and cancels tasks on minions. It never sends a request twice.
type Client struct {
	http        *client.Client
	incarnation membership.Incarnation
	maxResult   int
}

// NewClient returns a client that accepts results of at most maxResult bytes.
func NewClient(inc membership.Incarnation, maxResult int) (*Client, error) {
	return newClientWithIdleTimeout(inc, maxResult, idleTimeout)
}

// newClientWithIdleTimeout is NewClient with the given idle timeout.
func newClientWithIdleTimeout(inc membership.Incarnation, maxResult int, idle time.Duration) (*Client, error) {
	c, err := client.NewClient(
		client.WithDialer(dial.New()),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithMaxConnWaitTimeout(dialTimeout),
		client.WithMaxIdleConnDuration(idle),
		client.WithKeepAlive(true),
		client.WithNoDefaultUserAgentHeader(true),
		config.ClientOption{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = max(maxResult, outcomeBodyBytes) }},
	)
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP client for minions")
	}
	return &Client{http: c, incarnation: inc, maxResult: maxResult}, nil
}

// Start sends the request to the minion and waits for the answer.
func (c *Client) Start(ctx context.Context, r Request) Reply {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)

	identity := Identity(c.incarnation, r.Task)
	sent := time.Now()
	remaining := r.Deadline.Sub(sent)
	if remaining <= 0 {
		return disproved("deadline passed before sending")
	}
	c.fillRequest(req, r, identity, remaining)
	err := c.http.Do(ctx, req, resp)
	trip := time.Since(sent)
	if errors.Is(err, hertzerrors.ErrBodyTooLarge) {
		return c.oversized(resp, identity, sent, trip)
	}
	if err != nil {
		return transportFailure(err, sent, trip)
	}
	return c.reply(resp, identity, sent, trip)
}

func (c *Client) fillRequest(req *protocol.Request, r Request, identity string, remaining time.Duration) {
	req.SetMethod("POST")
	req.SetRequestURI("http://" + r.Address + PathTasks)
	req.Header.Set(HeaderTask, identity)
	req.Header.Set(HeaderService, r.Service)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	if r.NoRepeat {
		req.Header.Set(HeaderNoRepeat, "1")
	}
	if r.Traceparent != "" {
		req.Header.Set(HeaderTraceparent, r.Traceparent)
	}
	req.SetBodyRaw(r.Payload)
	req.SetOptions(config.WithReadTimeout(remaining + answerGrace))
}

// disproved returns the reply for a start of which it is certain that the minion did
// not run the task.
func disproved(detail string) Reply {
	return Reply{Disproved: true, Outcome: job.Outcome{Code: result.Busy, Detail: detail}}
}

// transportFailure classifies an error of the HTTP client. Only a failed dial, or the
// lack of a free connection, proves that nothing was sent.
func transportFailure(err error, sent time.Time, trip time.Duration) Reply {
	var d *dial.Error
	if errors.As(err, &d) || errors.Is(err, hertzerrors.ErrNoFreeConns) {
		return disproved(err.Error())
	}
	return Reply{Outcome: job.Outcome{Code: result.StartUnknown, Detail: err.Error(), SentAt: sent, Trip: trip}}
}

// oversized classifies an answer whose body exceeds the size limit and was not read to
// its end. Its headers still tell which task was answered and whether it was started.
func (c *Client) oversized(resp *protocol.Response, identity string, sent time.Time, trip time.Duration) Reply {
	resp.ResetBody()
	r := c.reply(resp, identity, sent, trip)
	if r.Outcome.Code == result.OK {
		r.Outcome.Code = result.TaskFailed
		r.Outcome.Result = nil
		r.Outcome.Detail = fmt.Sprintf("result exceeds %d bytes", c.maxResult)
	}
	return r
}

// reply converts an HTTP answer to a Reply. An answer with the identity of another task
// is not used.
func (c *Client) reply(resp *protocol.Response, identity string, sent time.Time, trip time.Duration) Reply {
	o := job.Outcome{SentAt: sent, Trip: trip}
	o.Run, o.Own = serverTiming(string(resp.Header.Peek(HeaderTiming)))
	if got := string(resp.Header.Peek(HeaderTask)); got != identity {
		o.Code = result.AnswerMismatch
		o.Detail = fmt.Sprintf("sent %q, answered %.128q", identity, got)
		return Reply{Outcome: o}
	}
	body := resp.Body()
	switch string(resp.Header.Peek(HeaderOutcome)) {
	case OutcomeDone:
		if len(body) > c.maxResult {
			o.Code = result.TaskFailed
			o.Detail = fmt.Sprintf("result of %d bytes exceeds %d", len(body), c.maxResult)
			return Reply{Outcome: o}
		}
		o.Code = result.OK
		o.Result = append([]byte(nil), body...)
	case OutcomeFailed:
		o.Code = result.TaskFailed
		o.Detail = string(body[:min(len(body), outcomeBodyBytes)])
	case OutcomeNotStarted:
		return Reply{Disproved: true, Outcome: job.Outcome{Code: result.Busy, Detail: string(body[:min(len(body), outcomeBodyBytes)])}}
	default:
		o.Code = result.StartUnknown
		o.Detail = fmt.Sprintf("status %d without %s", resp.StatusCode(), HeaderOutcome)
	}
	return Reply{Outcome: o}
}

// serverTiming parses the metrics "run" and "total" of a Server-Timing header. A valid
// metric is at least 1 ns; a missing or invalid one is zero. The returned total is at
// least as long as the run.
func serverTiming(header string) (run, total time.Duration) {
	for metric := range strings.SplitSeq(header, ",") {
		name, params, _ := strings.Cut(strings.TrimSpace(metric), ";")
		switch name {
		case timingRun:
			run = timingDuration(params)
		case timingTotal:
			total = timingDuration(params)
		}
	}
	return run, max(run, total)
}

// timingDuration returns the duration in the parameters of a metric; zero: missing or
// invalid.
func timingDuration(params string) time.Duration {
	for p := range strings.SplitSeq(params, ";") {
		value, ok := strings.CutPrefix(strings.TrimSpace(p), "dur=")
		if !ok {
			continue
		}
		ms, err := strconv.ParseFloat(value, 64)
		if err != nil || !(ms >= 0 && ms <= maxTimingMS) {
			return 0
		}
		return max(1, time.Duration(ms*float64(time.Millisecond)))
	}
	return 0
}

// Cancel asks the minion to stop a task. It returns no error, because the answer to
// Start tells the task's outcome.
func (c *Client) Cancel(ctx context.Context, id job.TaskID, address string) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("POST")
	req.SetRequestURI("http://" + address + PathCancel)
	req.Header.Set(HeaderTask, Identity(c.incarnation, id))
	req.SetOptions(config.WithReadTimeout(cancelTimeout))
	_ = c.http.Do(ctx, req, resp)
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
