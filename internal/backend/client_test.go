package backend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

const testTimeout = 10 * time.Second

// rawMinion is a minion that answers each request with the bytes that respond returns.
// If respond returns nil, it closes the connection without an answer.
type rawMinion struct {
	address  string
	requests atomic.Int64
}

func newRawMinion(t *testing.T, respond func(n int64, r *http.Request) []byte) *rawMinion {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	m := &rawMinion{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(conn, respond)
		}
	}()
	return m
}

func (m *rawMinion) serve(conn net.Conn, respond func(int64, *http.Request) []byte) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		out := respond(m.requests.Add(1), req)
		if out == nil {
			return
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}

func answer(identity, outcome, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nLw-Task: %s\r\nLw-Outcome: %s\r\nServer-Timing: run;dur=12.5\r\nContent-Length: %d\r\n\r\n%s",
		identity, outcome, len(body), body)
}

func start(t *testing.T, c *Client, address string) Reply {
	t.Helper()
	return c.Start(context.Background(), Request{
		Task:    job.TaskID{Job: job.ID{Team: "t", Key: "k"}, Index: 3},
		Service: "s", Payload: []byte("x"), Address: address,
		Deadline: time.Now().Add(testTimeout),
	})
}

func newClient(t *testing.T) *Client {
	t.Helper()
	c, err := NewClient("inc", 1<<10)
	must.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func TestStartReturnsResult(t *testing.T) {
	m := newRawMinion(t, func(_ int64, r *http.Request) []byte {
		return answer(r.Header.Get(HeaderTask), OutcomeDone, "result")
	})
	r := start(t, newClient(t), m.address)
	must.Eq(t, result.OK, r.Outcome.Code)
	must.Eq(t, "result", string(r.Outcome.Result))
	must.Eq(t, 12500*time.Microsecond, r.Outcome.Run)
}

// A refused connection proves that the task was not started; a failure after the
// connection was made does not.
func TestRefusedConnectionDisprovesStart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l.Close()
	must.True(t, start(t, newClient(t), l.Addr().String()).Disproved)
}

// A minion may close a keep-alive connection after it has read a request. The client
// must neither send the request again nor report the start as disproved.
func TestRequestOnClosedKeepAliveConnectionIsNotResent(t *testing.T) {
	m := newRawMinion(t, func(n int64, r *http.Request) []byte {
		if n == 2 {
			return nil
		}
		return answer(r.Header.Get(HeaderTask), OutcomeDone, "")
	})
	c := newClient(t)
	must.Eq(t, result.OK, start(t, c, m.address).Outcome.Code)
	r := start(t, c, m.address)
	must.False(t, r.Disproved)
	must.Eq(t, result.StartUnknown, r.Outcome.Code)
	must.Eq(t, int64(2), m.requests.Load())
}

func TestAnswerOfAnotherTaskIsDropped(t *testing.T) {
	m := newRawMinion(t, func(int64, *http.Request) []byte {
		return answer("inc/t/other/3", OutcomeDone, "not mine")
	})
	r := start(t, newClient(t), m.address)
	must.Eq(t, result.AnswerMismatch, r.Outcome.Code)
	must.Nil(t, r.Outcome.Result)
}

func TestNotStartedAnswerDisprovesStart(t *testing.T) {
	m := newRawMinion(t, func(_ int64, r *http.Request) []byte {
		return answer(r.Header.Get(HeaderTask), OutcomeNotStarted, "full")
	})
	must.True(t, start(t, newClient(t), m.address).Disproved)
}

// An error answer without an outcome, for example from a proxy between host and minion,
// does not prove that the task was not started.
func TestAnswerWithoutOutcomeIsUnknown(t *testing.T) {
	m := newRawMinion(t, func(_ int64, r *http.Request) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 503 Busy\r\nLw-Task: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get(HeaderTask))
	})
	r := start(t, newClient(t), m.address)
	must.False(t, r.Disproved)
	must.Eq(t, result.StartUnknown, r.Outcome.Code)
}

func TestOversizedResultFails(t *testing.T) {
	m := newRawMinion(t, func(_ int64, r *http.Request) []byte {
		return answer(r.Header.Get(HeaderTask), OutcomeDone, string(make([]byte, 2<<10)))
	})
	must.Eq(t, result.TaskFailed, start(t, newClient(t), m.address).Outcome.Code)
}

// A result far larger than the limit is not read to its end, and the request is not sent
// again.
func TestResultBeyondLimitIsNotRead(t *testing.T) {
	const announced = 1 << 30
	m := newRawMinion(t, func(_ int64, r *http.Request) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nLw-Task: %s\r\nLw-Outcome: done\r\nContent-Length: %d\r\n\r\nstart",
			r.Header.Get(HeaderTask), announced)
	})
	r := start(t, newClient(t), m.address)
	must.Eq(t, result.TaskFailed, r.Outcome.Code)
	must.False(t, r.Disproved)
	must.Eq(t, int64(1), m.requests.Load())
}

// An oversized answer that does not come from the minion does not prove that the task
// was not started.
func TestOversizedAnswerWithoutIdentityIsMismatch(t *testing.T) {
	m := newRawMinion(t, func(int64, *http.Request) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 502 Bad\r\nContent-Length: %d\r\n\r\nstart", 1<<30)
	})
	r := start(t, newClient(t), m.address)
	must.Eq(t, result.AnswerMismatch, r.Outcome.Code)
	must.False(t, r.Disproved)
}

// A chunked result, whose length is not announced, is not read beyond the limit either.
func TestEndlessChunkedResultIsNotRead(t *testing.T) {
	m := newRawMinion(t, func(_ int64, r *http.Request) []byte {
		head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nLw-Task: %s\r\nLw-Outcome: done\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get(HeaderTask))
		chunk := fmt.Appendf(nil, "400\r\n%s\r\n", make([]byte, 1<<10))
		return append(head, bytes.Repeat(chunk, 4)...) // the final chunk is missing
	})
	r := start(t, newClient(t), m.address)
	must.Eq(t, result.TaskFailed, r.Outcome.Code)
	must.False(t, r.Disproved)
}

// The client closes an idle connection before the minion does. If the minion closed it,
// a request sent at that moment would have an unknown outcome.
func TestIdleConnectionIsClosed(t *testing.T) {
	closed := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = conn.Write(answer(req.Header.Get(HeaderTask), OutcomeDone, ""))
		_, _ = io.Copy(io.Discard, r) // until the client closes
		close(closed)
	}()
	c, err := newClientWithIdleTimeout("inc", 1<<10, 20*time.Millisecond)
	must.NoError(t, err)
	defer c.Close()
	must.Eq(t, result.OK, start(t, c, l.Addr().String()).Outcome.Code)
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the client did not close the idle connection")
	}
}
