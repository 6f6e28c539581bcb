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

// BenchmarkPlainHandler is the yardstick of BenchmarkEntry: the same service
// called straight over loopback.
func BenchmarkPlainHandler(b *testing.B) {
	c := qt.New(b)
	w := &world{}
	defer w.close()
	u, err := w.serve(serve.Plain(plain.New(plain.NewRunCounter(), 0)))
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

// BenchmarkEntry measures the path of one lookup through entry and agent; what
// it takes beyond BenchmarkPlainHandler is the system's overhead.
func BenchmarkEntry(b *testing.B) {
	c := qt.New(b)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := Options{Entries: 1, Apps: 1, Seed: 1, NoServiceDelay: true}
	w, err := newWorld(ctx, o, zerolog.Nop(), nil)
	c.Assert(err, qt.IsNil)
	defer w.close()
	r := &run{o: o, scene: o.scene(), w: w, out: io.Discard, counts: invar.NewCounts(), meas: newMeasures()}
	c.Assert(r.apply(ctx, firstClasses()), qt.IsNil)
	c.Assert(r.waitServing(ctx), qt.IsNil)
	u := w.urls()[0]
	for b.Loop() {
		ans, err := send(ctx, u, codec.Request{Class: "closure-record", Body: "page 7"})
		c.Assert(err, qt.IsNil)
		c.Assert(ans.body, qt.DeepEquals, oracle.Reply([]byte("page 7")))
	}
}
