// Package dial makes connections that notice a silent peer.
//
// A connection may go silent without a reset; then only an own timeout shows it.
//
// # Usage
//
//	client := &http.Client{Transport: dial.NewTransport(8, 0)}
package dial

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialFor bounds the time to a new connection: between regions it takes
	// some 30 ms, a lost packet is sent again after one second.
	dialFor = time.Second
	// silentFor is how long sent bytes may stay unanswered, and how long an
	// idle connection may stay silent, before it is dead.
	silentFor = 1500 * time.Millisecond
	probeEach = 500 * time.Millisecond
	probes    = 3
	// idleFor keeps connections for their next use; servers tell theirs.
	idleFor = 20 * time.Second
)

// Dialer returns a dial function whose connections notice a silent peer.
func Dialer() func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout:         dialFor,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEach, Interval: probeEach, Count: probes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if e := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentFor/time.Millisecond))
			}); e != nil {
				return e
			}
			return err
		},
	}
	return d.DialContext
}

// NewTransport returns the one setup of HTTP connections that all clients use.
// perHost bounds the open connections to one address, 0 for no bound.
func NewTransport(idlePerHost, perHost int) *http.Transport {
	return &http.Transport{
		DialContext:           Dialer(),
		DisableCompression:    true,
		MaxIdleConns:          0,
		MaxIdleConnsPerHost:   idlePerHost,
		MaxConnsPerHost:       perHost,
		IdleConnTimeout:       idleFor,
		ResponseHeaderTimeout: 0,
		ReadBufferSize:        2 << 10,
		WriteBufferSize:       2 << 10,
	}
}
