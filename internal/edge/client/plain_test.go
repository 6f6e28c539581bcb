package client

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/dial"
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

// acceptOne serves one connection and returns the URL of the server.
func acceptOne(c *qt.C, serve func(conn net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			serve(conn)
			conn.Close()
		}
	}()
	return "http://" + ln.Addr().String()
}

// TestPlainResetDuringUpload guards against the first part of an answer that counts as the whole:
// a service answers before it has read a long body, and its connection is reset meanwhile.
func TestPlainResetDuringUpload(t *testing.T) {
	c := qt.New(t)
	p := NewPlain(acceptOne(c, func(conn net.Conn) {
		if _, err := io.ReadFull(conn, make([]byte, 64<<10)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(100 * time.Millisecond) // The client reads the head.
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}))
	b, err := p.Do(context.Background(), plat.ServiceCall{Body: make([]byte, 32<<20)})
	c.Check(err, qt.IsNotNil, qt.Commentf("%q", b))
}

// TestPlainMalformedHead guards against an answer of which a malformed line of the head hides the
// length.
func TestPlainMalformedHead(t *testing.T) {
	c := qt.New(t)
	p := NewPlain(acceptOne(c, func(conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length : 100\r\n\r\npart")
	}))
	_, err := p.Do(context.Background(), plat.ServiceCall{Body: []byte("x")})
	c.Check(err, qt.ErrorIs, dial.ErrMalformedHead)
}
