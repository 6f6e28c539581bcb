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

// TestReuse streams answers in parts, as an engine does: all calls one after
// another use one connection. An answer that is given up is cut at once, though
// the engine would go on for ever.
func TestReuse(t *testing.T) {
	c := qt.New(t)
	var conns atomic.Int32
	var endless atomic.Bool
	cut := make(chan struct{})
	whole := make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"tokens":[1]}` + "\n"))
		_ = http.NewResponseController(w).Flush()
		if endless.Load() {
			<-r.Context().Done()
			close(cut)
			return
		}
		_, _ = w.Write([]byte(`{"tokens":[2],"done":true}` + "\n"))
		_ = http.NewResponseController(w).Flush()
		<-whole // The end of the body comes after the last line was read.
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
		err := e.Generate(context.Background(), plat.GenerateRequest{}, func(p plat.Chunk) error {
			if p.Done {
				whole <- struct{}{}
			}
			return nil
		})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(conns.Load(), qt.Equals, int32(1))

	endless.Store(true)
	gone := errors.New("nobody reads")
	err := e.Generate(context.Background(), plat.GenerateRequest{}, func(plat.Chunk) error { return gone })
	c.Assert(err, qt.ErrorIs, gone)
	<-cut
}
