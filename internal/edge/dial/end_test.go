package dial

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// longUpload is more than the buffers of both ends of a loopback connection take, so its
// write is still in progress when an early answer ends.
const longUpload = 32 << 20

// acceptOne serves one connection, of which it has read some bytes, and returns its address.
func acceptOne(c *qt.C, serve func(conn *net.TCPConn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := io.ReadFull(conn, make([]byte, 64<<10)); err == nil {
			serve(conn.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

// TestEndDuringUpload guards against an answer that looks complete although its connection was
// reset or timed out. The kernel reports such an error only once. If that is to the write of a
// request, the reads after it return the end of the stream without an error.
func TestEndDuringUpload(t *testing.T) {
	const part = "part of an answer"
	closed := make(chan struct{}) // when the test ends
	defer close(closed)
	doNotRead := func(conn *net.TCPConn) {
		select {
		case <-closed:
		case <-time.After(10 * tcpUserTimeout):
		}
		_ = conn.SetLinger(0)
	}
	tests := map[string]struct {
		end   func(conn *net.TCPConn)
		whole bool
	}{
		"reset": {func(conn *net.TCPConn) { _ = conn.SetLinger(0) }, false},
		"end, the rest is read": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, true},
		"end, then a reset": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_ = conn.SetLinger(0)
		}, true},
		"timeout, nothing is read": {doNotRead, false},
		"end, nothing is read": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			doNotRead(conn)
		}, true},
	}
	for name, test := range tests {
		for order, writeFirst := range map[string]bool{"read after the write": true, "read during the write": false} {
			if writeFirst && name == "end, nothing is read" {
				continue // The write would time out.
			}
			t.Run(name+", "+order, func(t *testing.T) {
				c := qt.New(t)
				addr := acceptOne(c, func(conn *net.TCPConn) {
					_, _ = io.WriteString(conn, part) // The client checks what it gets.
					test.end(conn)
				})
				conn, err := Dialer()(context.Background(), "tcp", addr)
				c.Assert(err, qt.IsNil)
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = conn.Write(make([]byte, longUpload)) // Its error is the matter of the read.
				}()
				if writeFirst {
					<-written
				}
				b, err := io.ReadAll(conn)
				c.Check(string(b), qt.Equals, part)
				c.Check(err == nil, qt.Equals, test.whole, qt.Commentf("%v", err))
				conn.Close()
				<-written
			})
		}
	}
}

// scriptedConn is a connection whose write fails and whose read returns the end of the stream.
type scriptedConn struct {
	net.Conn
	writeErr error
}

func (s scriptedConn) Write(b []byte) (int, error) { return len(b) / 2, s.writeErr }
func (scriptedConn) Read([]byte) (int, error)      { return 0, io.EOF }

// TestEndAfterFailedWrite guards against an end that follows an error which only the write got.
func TestEndAfterFailedWrite(t *testing.T) {
	failed := func(errno syscall.Errno) error {
		return &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", errno)}
	}
	tests := map[string]struct {
		writeErr error
		whole    bool
	}{
		"no error":               {nil, true},
		"reset":                  {failed(syscall.ECONNRESET), false},
		"no acknowledgement":     {failed(syscall.ETIMEDOUT), false},
		"no route":               {failed(syscall.EHOSTUNREACH), false},
		"aborted":                {failed(syscall.ECONNABORTED), false},
		"reset after its end":    {failed(syscall.EPIPE), true},
		"closed on this side":    {&net.OpError{Op: "write", Net: "tcp", Err: net.ErrClosed}, true},
		"refused by this client": {errCarriedID, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn := &conn{Conn: scriptedConn{writeErr: test.writeErr}}
			_, err := conn.Write([]byte("request"))
			c.Check(err, qt.Equals, test.writeErr)
			_, err = conn.Read(make([]byte, 10))
			c.Check(err == io.EOF, qt.Equals, test.whole, qt.Commentf("%v", err))
			if !test.whole {
				c.Check(err, qt.ErrorIs, test.writeErr)
			}
		})
	}
}
