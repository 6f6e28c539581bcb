// Package dial creates TCP connections that detect an unreachable peer and broken answers, and
// sends requests over connections that have not carried them before.
//
// A network fault can stop a connection's packets without a reset. Only timeouts on this
// side detect that.
//
// An answer without a length ends with its connection. If the connection is reset, the answer is
// truncated, but the kernel may report the reset only to a write of the request. A read then
// returns the error of that write.
//
// A malformed line in the head of an answer may hide the length of the body. Such an answer fails
// with [ErrMalformedHead].
//
// A faulty server may send a second copy of an answer, late, where the next answer on the
// connection is due. The ID of its request tells the copy apart, unless the next request
// has the same ID. [SendOnce] never sends an ID twice over one connection.
//
// # Usage
//
//	client := &http.Client{Transport: dial.NewTransport(8, 0)}
//	resp, err := dial.SendOnce(ctx, client, id, newRequest)
package dial

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to open a connection, which takes about 30 ms
	// between regions. TCP resends a lost packet of the handshake after 1 s.
	dialTimeout = time.Second
	// tcpUserTimeout is the time for which sent bytes or keep-alive probes may remain
	// unacknowledged before the connection is closed.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the idle time before the first keep-alive probe and the time
	// between probes.
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
	// idleConnTimeout is the time for which idle connections are retained for reuse.
	// Servers have idle timeouts of their own.
	idleConnTimeout = 20 * time.Second
)

// Func opens a connection.
type Func func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a dial function whose connections detect an unreachable peer and broken answers;
// see [Checked].
func Dialer() Func { return Checked(Unwrapped()) }

// Checked returns a dial function whose connections remember the IDs of requests, and detect
// answers that are truncated or have a malformed head. A connection that carries several
// requests must belong to a [Transport].
func Checked(dial Func) Func {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// Unwrapped returns a dial function whose connections only detect an unreachable peer.
func Unwrapped() Func {
	d := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, conn syscall.RawConn) error {
			var err error
			if controlErr := conn.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
			}); controlErr != nil {
				return controlErr
			}
			return err
		},
	}
	return d.DialContext
}

// Transport is an HTTP transport whose connections, which are those of [Checked], know when the
// head of an answer is due.
type Transport struct{ *http.Transport }

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.expectAnswer()
			}
		},
	})))
}

// NewTransport returns the HTTP transport that all clients use. It retains up to
// idlePerHost idle connections to each address and opens at most maxPerHost; 0 means no
// limit.
func NewTransport(idlePerHost, maxPerHost int) *Transport {
	return &Transport{&http.Transport{
		DialContext:           Dialer(),
		DisableCompression:    true,
		MaxIdleConns:          0,
		MaxIdleConnsPerHost:   idlePerHost,
		MaxConnsPerHost:       maxPerHost,
		IdleConnTimeout:       idleConnTimeout,
		ResponseHeaderTimeout: 0,
		// A peer may send a response header without end.
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         2 << 10,
		WriteBufferSize:        2 << 10,
	}}
}
