package process

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

// slowRelay passes connections on to a target and delays what flows to it.
type slowRelay struct {
	address string
	delay   atomic.Int64
}

func newSlowRelay(t *testing.T, target string) *slowRelay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	r := &slowRelay{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.pass(conn, target)
		}
	}()
	return r
}

func (r *slowRelay) pass(conn net.Conn, target string) {
	defer conn.Close()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(conn, out)
		conn.Close()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(r.delay.Load()))
		if _, err := out.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// A link that becomes slow is the network's, and is named.
func TestVerdictOnSlowLink(t *testing.T) {
	h := startHost(t, hostSettings(t, "a-1", "a"))
	listen := freeAddress(t)
	r := newSlowRelay(t, listen)
	startProcess(t, "lwbench", "minion", "-name", "m1", "-domain", "a", "-hosts", h.settings.Listen.Minions,
		"-listen", listen, "-advertise", r.address)
	h.awaitMinions(t, 1)
	for i := range 20 {
		answer, err := h.submit(newRequest(fmt.Sprint("warm-", i), "one"))
		must.NoError(t, err)
		must.Eq(t, result.OK, answer.Code)
	}
	r.delay.Store(int64(injected))
	answer, err := h.submit(newRequest("slow", "sleep 100ms"))
	must.NoError(t, err)
	must.Eq(t, job.PartNetwork, answer.Timing.Verdict.Part)
	must.Eq(t, "a-1 to m1", answer.Timing.Verdict.Where)
}

// A host that stands still while a minion works takes the blame itself.
func TestVerdictOnPausedHost(t *testing.T) {
	h := startHost(t, hostSettings(t, "a-1", "a"))
	startMinion(t, "m1", "a", h)
	h.awaitMinions(t, 1)
	for i := range 20 {
		_, err := h.submit(newRequest(fmt.Sprint("warm-", i), "one"))
		must.NoError(t, err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := h.submit(newRequest("slow", "sleep 300ms"))
		done <- err
	}()
	h.awaitJob(t)
	h.signal(syscall.SIGSTOP)
	time.Sleep(2 * injected)
	h.signal(syscall.SIGCONT)
	must.NoError(t, <-done)
	v := h.explain(t, "slow").Timing.Verdict
	must.Eq(t, job.PartHost, v.Part)
	must.Eq(t, "a-1", v.Where)
}
