// Package dial provides a dialer for HTTP clients that marks connection failures
// with a type of their own. A failure to connect proves that no byte of the
// request was sent; a failure of an established connection does not.
package dial

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Error is a failure to connect. No byte of the request was sent.
type Error struct{ Err error }

// Error implements error.
func (e *Error) Error() string { return "dial: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// dialer wraps each error of the embedded dialer in an *Error.
type dialer struct{ network.Dialer }

// New returns a dialer for HTTP clients. Each error that it returns is an *Error.
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
