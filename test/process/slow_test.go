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

// delayingProxy forwards TCP connections to a target and delays the bytes sent to
// the target.
type delayingProxy struct {
	address string
	delay   atomic.Int64 // nanoseconds, before each write to the target
}

func startDelayingProxy(t *testing.T, target string) *delayingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	r := &delayingProxy{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(conn, target)
		}
	}()
	return r
}

func (r *delayingProxy) forward(conn net.Conn, target string) {
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

// A delay on a link that became slow is attributed to the network, and the verdict
// names the link.
func TestVerdictOnSlowLink(t *testing.T) {
	h := startHost(t, hostSettings(t, "a-1", "a"))
	listen := freeAddress(t)
	r := startDelayingProxy(t, listen)
	startProcess(t, "lwbench", "minion", "-name", "m1", "-domain", "a", "-hosts", h.settings.Listen.Minions,
		"-listen", listen, "-advertise", r.address)
	h.awaitMinions(t, 1)
	for i := range 20 { // enough samples for a baseline of the link
		answer, err := h.submit(newRequest(fmt.Sprint("warm-", i), "one"))
		must.NoError(t, err)
		must.Eq(t, result.OK, answer.Code)
	}
	r.delay.Store(int64(injectedDelay))
	answer, err := h.submit(newRequest("slow", "sleep 100ms"))
	must.NoError(t, err)
	must.Eq(t, job.PartNetwork, answer.Timing.Verdict.Part)
	must.Eq(t, "a-1 to m1", answer.Timing.Verdict.Where)
}

// The delay of a host that is paused while a minion runs a task is attributed to
// the host.
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
	time.Sleep(2 * injectedDelay)
	h.signal(syscall.SIGCONT)
	must.NoError(t, <-done)
	v := h.explain(t, "slow").Timing.Verdict
	must.Eq(t, job.PartHost, v.Part)
	must.Eq(t, "a-1", v.Where)
}
