package client

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// TestReuse checks that successive calls share one connection when the server streams
// its answers in chunks, as an engine does. When the client stops reading, the
// connection is closed at once, even if the server would never end the answer.
func TestReuse(t *testing.T) {
	c := qt.New(t)
	var conns atomic.Int32
	var endless atomic.Bool
	canceled := make(chan struct{})
	lastRead := make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"tokens":[1]}` + "\n"))
		_ = http.NewResponseController(w).Flush()
		if endless.Load() {
			<-r.Context().Done()
			close(canceled)
			return
		}
		_, _ = w.Write([]byte(`{"tokens":[2],"done":true}` + "\n"))
		_ = http.NewResponseController(w).Flush()
		<-lastRead // The body ends only after the client has read the last line.
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()

	e := NewEngine(srv.URL)
	for range 20 {
		err := e.Generate(context.Background(), plat.GenerateRequest{}, func(chunk plat.Chunk) error {
			if chunk.Done {
				lastRead <- struct{}{}
			}
			return nil
		})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(conns.Load(), qt.Equals, int32(1))

	endless.Store(true)
	errSink := errors.New("reader gave up")
	err := e.Generate(context.Background(), plat.GenerateRequest{}, func(plat.Chunk) error { return errSink })
	c.Assert(err, qt.ErrorIs, errSink)
	<-canceled
}
