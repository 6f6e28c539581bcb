package client

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// TestPlainOutcome checks that a call fails with NoBackend, which proves that it was
// not executed, only if it was never sent. If the connection is closed after the call
// was sent, the outcome is unknown.
func TestPlainOutcome(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	p := NewPlain("http://" + ln.Addr().String())
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			_ = conn.Close()
		}
	}()
	_, err = p.Do(context.Background(), plat.ServiceCall{Body: []byte("x"), AtMostOnce: true})
	c.Assert(err, qt.IsNotNil)
	_, ok := fault.As(err)
	c.Assert(ok, qt.IsFalse)
	c.Assert(ln.Close(), qt.IsNil)
	_, err = p.Do(context.Background(), plat.ServiceCall{Body: []byte("x"), AtMostOnce: true})
	c.Assert(fault.Is(err, fault.NoBackend), qt.IsTrue)
}
