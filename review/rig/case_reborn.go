package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// darkListener is the listener of a minion's machine. After goDark its connections are
// silent, without an end, as after a loss of power; when the machine is back, what still
// arrives on them resets them.
type darkListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*darkConn
}

type darkConn struct {
	net.Conn
	mu   sync.Mutex
	dark bool
	back bool // the machine runs again
}

func (l *darkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	d := &darkConn{Conn: c}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, d)
	return d, nil
}

// goDark ends the machine: nothing more is sent, and nobody listens.
func (l *darkListener) goDark() {
	_ = l.Listener.Close() // it can't fail in a way that matters
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.mu.Lock()
		c.dark = true
		c.mu.Unlock()
		go c.answerWithReset()
	}
}

// powerOn makes the machine answer what arrives on its earlier connections with a reset.
func (l *darkListener) powerOn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.mu.Lock()
		c.back = true
		c.mu.Unlock()
	}
}

func (c *darkConn) isDark() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dark
}

// answerWithReset resets the connection when bytes arrive, once the machine is back.
func (c *darkConn) answerWithReset() {
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection has ended
	buf := make([]byte, 4096)
	_, err := c.Conn.Read(buf)
	for err == nil {
		c.mu.Lock()
		back := c.back
		c.mu.Unlock()
		if back {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection has ended
	}
	_ = c.Conn.Close()
}

// Read ends the server's loop of a dark connection without closing it.
func (c *darkConn) Read(b []byte) (int, error) {
	for {
		if c.isDark() {
			return 0, net.ErrClosed
		}
		_ = c.Conn.SetReadDeadline(time.Now().Add(5 * time.Millisecond)) // fails only if the connection has ended
		n, err := c.Conn.Read(b)
		var timeout net.Error
		if n > 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
			return n, err
		}
	}
}

// Write drops what a dark machine would send.
func (c *darkConn) Write(b []byte) (int, error) {
	if c.isDark() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection unless the machine is dark.
func (c *darkConn) Close() error {
	if c.isDark() {
		return nil
	}
	return c.Conn.Close()
}

// reborn: a minion loses power and is back at once under its id, as a machine of half the
// size. A job comes for it.
func reborn(rec *record, trouble bool) (string, error) {
	const (
		taskTime = 2 * time.Second
		taskCPU  = 27_000
		largeCPU = 64_000
		smallCPU = 32_000
		downTime = 300 * time.Millisecond
		rack     = "r1-3"
	)
	f, err := newFleet(rec, 1)
	if err != nil {
		return "", err
	}
	defer f.close()
	controls, err := startControls(f, 3)
	if err != nil {
		return "", err
	}
	var entries []*host
	for i := range 2 {
		e, err := f.add(11+i, "z1", false)
		if err != nil {
			return "", err
		}
		entries = append(entries, e)
	}
	if err := startAll(f, entries); err != nil {
		return "", err
	}
	op := &operator{f: f, controls: controls, client: newHTTPClient()}
	if op.declare(manifestVersion, 15*time.Second) == nil {
		return "", errors.New("the manifest was not acknowledged")
	}
	obs := &observer{}
	var others []*minion
	for i := range 4 {
		m, err := startMinion(f, obs, fmt.Sprintf("i-%02d", i), "z1", taskTime, controls)
		if err != nil {
			return "", err
		}
		others = append(others, m)
	}
	defer func() {
		for _, m := range others {
			m.close()
		}
	}()
	l, err := net.Listen("tcp", f.net+".201:0")
	if err != nil {
		return "", err
	}
	address := l.Addr().String()
	dark := &darkListener{Listener: l}
	first := serveMinion(f, obs, dark, "i-99", "z1", rack, largeCPU, taskTime, controls)
	current := first
	defer func() { current.close() }()
	time.Sleep(20 * time.Second) // the connections of the first listings have been closed as idle
	if trouble {
		first.awaitHold()
		time.Sleep(20 * time.Millisecond)
		rec.printf("i-99 loses power")
		first.die()
		dark.goDark()
		time.Sleep(downTime)
		l2, err := net.Listen("tcp", address)
		if err != nil {
			return "", err
		}
		dark.powerOn()
		current = serveMinion(f, obs, l2, "i-99", "z1", rack, smallCPU, taskTime, controls)
		rec.printf("i-99 is back at %s with %d thousandths of a core", address, smallCPU)
	}
	c := newClients(f)
	c.submitSteps(entries, fmt.Sprintf(`{"count":2,"cpu":%d,"mem_mb":64,"estimate_ms":%d,"constraints":%q}`, taskCPU, taskTime.Milliseconds(), rack), 15*time.Second)
	c.wg.Wait()
	time.Sleep(time.Second)
	rec.printf("answers: %v", c.answers)
	if n := current.mostTasks(); int64(n)*taskCPU > current.cpu {
		return fmt.Sprintf("LIMIT: i-99 had %d tasks of %d at a time and a capacity of %d", n, taskCPU, current.cpu), nil
	}
	return "", nil
}
