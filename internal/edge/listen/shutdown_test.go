package listen

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/decide/router"
)

// pipeListener accepts connections that exist only in memory.
type pipeListener struct{ connListener }

func newPipeListener() *pipeListener {
	return &pipeListener{connListener{conns: make(chan net.Conn), done: make(chan struct{}), addr: &net.TCPAddr{}}}
}

// client is a client's connection.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func (l *pipeListener) dial() *client {
	near, far := net.Pipe()
	l.conns <- far
	return &client{near, bufio.NewReader(near)}
}

func (cl *client) send(c *qt.C, path string) {
	_, err := io.WriteString(cl.conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
}

// receive reads an answer and reports whether the server closes the connection after it.
func (cl *client) receive(c *qt.C) (body string, closes bool) {
	resp, err := http.ReadResponse(cl.r, nil)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return string(b), resp.Close
}

// closed returns a channel that is closed when the server has closed the connection.
func (cl *client) closed() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = cl.r.ReadByte() // It fails when the server closes the connection.
	}()
	return done
}

func isClosed(ch <-chan struct{}) bool {
	synctest.Wait()
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// TestShutdownAfterChangesOfLimits guards against a stopping entry that goes on taking
// requests from kept connections and cuts them when it ends, because one request on a
// connection with other limits is still in progress.
func TestShutdownAfterChangesOfLimits(t *testing.T) {
	tests := map[string]struct {
		changes int // of the limits, before the kept connections are opened
	}{
		"same limits": {0},
		"one change":  {1},
		"several":     {3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				release := make(chan struct{})
				s := New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/slow" {
						<-release
					}
					_, _ = io.WriteString(w, "ok") // The client checks the answer.
				}), zerolog.Nop())
				ln := newPipeListener()
				served := make(chan error)
				go func() { served <- s.Serve(ln) }()
				first := ln.dial()
				first.send(c, "/slow")
				synctest.Wait()
				for i := range test.changes {
					s.SetLimits(router.Limits{MaxHeaderBytes: 4096 + i})
					synctest.Wait()
				}
				kept, busy := ln.dial(), ln.dial()
				kept.send(c, "/")
				body, closes := kept.receive(c)
				c.Check(body, qt.Equals, "ok")
				c.Check(closes, qt.IsFalse)
				busy.send(c, "/slow")
				synctest.Wait()

				c.Assert(ln.Close(), qt.IsNil)
				c.Check(<-served, qt.ErrorIs, net.ErrClosed)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				stopped := make(chan error, 1)
				go func() { stopped <- s.Shutdown(ctx) }()
				c.Check(isClosed(kept.closed()), qt.IsTrue, qt.Commentf("a kept connection is open, its client may send requests"))
				c.Check(stopped, qt.HasLen, 0, qt.Commentf("two requests are in progress"))
				close(release)
				for _, cl := range []*client{first, busy} {
					body, closes := cl.receive(c)
					c.Check(body, qt.Equals, "ok")
					c.Check(closes, qt.IsTrue)
				}
				c.Check(<-stopped, qt.IsNil)
			})
		})
	}
}

// TestConnectionDuringShutdown guards against a connection that is served by a server which
// Shutdown doesn't know: it was accepted before, and the limits have changed since.
func TestConnectionDuringShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New(http.NotFoundHandler(), zerolog.Nop())
		ln := newPipeListener()
		go func() { _ = s.Serve(ln) }() // It ends when the listener is closed.
		ln.dial()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		c.Assert(s.Shutdown(ctx), qt.IsNil)
		s.SetLimits(router.Limits{MaxHeaderBytes: 4096})
		late := ln.dial()
		c.Check(isClosed(late.closed()), qt.IsTrue)
		c.Assert(ln.Close(), qt.IsNil)
		c.Assert(s.Shutdown(ctx), qt.IsNil)
	})
}
