package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/proof/invar"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
	"github.com/jujuberamp/jujuberamp/internal/stand/plain"
	"github.com/jujuberamp/jujuberamp/internal/stand/serve"
)

// BenchmarkPlainHandler calls the fake service directly over loopback, as the
// baseline of BenchmarkEntry.
func BenchmarkPlainHandler(b *testing.B) {
	c := qt.New(b)
	cl := &cluster{}
	defer cl.close()
	u, err := cl.serve(serve.Plain(plain.New(plain.NewRunCounter(), 0)))
	c.Assert(err, qt.IsNil)
	body := []byte("page 7")
	for b.Loop() {
		resp, err := http.Post(u+"/call", "text/plain", bytes.NewReader(body))
		c.Assert(err, qt.IsNil)
		got, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		c.Assert(got, qt.DeepEquals, oracle.Reply(body))
	}
}

// BenchmarkEntry measures a lookup through entry and agent. The difference to
// BenchmarkPlainHandler is the overhead of the system.
func BenchmarkEntry(b *testing.B) {
	c := qt.New(b)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	opts := Options{Entries: 1, Apps: 1, Seed: 1, NoServiceDelay: true}
	cl, err := newCluster(ctx, opts, zerolog.Nop(), nil)
	c.Assert(err, qt.IsNil)
	defer cl.close()
	r := &run{opts: opts, scene: opts.scene(), cluster: cl, out: io.Discard, counts: invar.NewCounts(), measures: newMeasures()}
	c.Assert(r.applyClasses(ctx, initialClasses()), qt.IsNil)
	c.Assert(r.waitForAgents(ctx), qt.IsNil)
	u := cl.entryURLs()[0]
	for b.Loop() {
		ans, err := send(ctx, u, codec.Request{Class: "closure-record", Body: "page 7"})
		c.Assert(err, qt.IsNil)
		c.Assert(ans.body, qt.DeepEquals, oracle.Reply([]byte("page 7")))
	}
}
