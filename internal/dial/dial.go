// Package dial tells failures to connect, which prove that nothing was sent,
// from failures of a connection in use.
package dial

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Error marks failures before any byte was written.
type Error struct{ Err error }

// Error implements error.
func (e *Error) Error() string { return "dial: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// dialer turns every dial failure into an *Error.
type dialer struct{ network.Dialer }

// New returns a dialer for HTTP clients whose failures are *Error.
func New() network.Dialer { return dialer{standard.NewDialer()} }

// DialConnection implements network.Dialer.
func (d dialer) DialConnection(n, address string, timeout time.Duration, c *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(n, address, timeout, c)
	if err != nil {
		return nil, &Error{err}
	}
	return conn, nil
}

// DialTimeout implements network.Dialer.
func (d dialer) DialTimeout(n, address string, timeout time.Duration, c *tls.Config) (net.Conn, error) {
	conn, err := d.Dialer.DialTimeout(n, address, timeout, c)
	if err != nil {
		return nil, &Error{err}
	}
	return conn, nil
}
