package demo

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/proof/invar"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
	"github.com/jujuberamp/jujuberamp/trainer"
)

// TestModelWithoutEngine declares a model that no engine hosts: the holder of
// the placement lease moves an engine to it, and a request that waited gets its
// whole answer. The first model keeps the others.
func TestModelWithoutEngine(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	o := Options{Entries: 2, Engines: 4, Seed: 1}
	w, err := newWorld(ctx, o, zerolog.Nop(), nil)
	c.Assert(err, qt.IsNil)
	defer w.close()
	r := &run{o: o, w: w, out: io.Discard, counts: invar.NewCounts(), meas: newMeasures(), began: time.Now()}
	classes := append(firstClasses(), record.ClassMsg{
		Name: "tone", Kind: "draft", Service: "tone-model", LatenessMS: 60_000, WaitingMS: 50_000, MaxTokens: 64,
	})
	c.Assert(r.apply(ctx, classes), qt.IsNil)
	c.Assert(r.waitServing(ctx), qt.IsNil)
	c.Assert(trainer.New(w.urls(), trainerToken).Announce(ctx, "tone-model", 1), qt.IsNil)

	ans, err := send(ctx, w.urls()[1], codec.Request{Class: "tone", Body: "is it kind?"})
	c.Assert(err, qt.IsNil)
	c.Assert(slices.Equal(ans.tokens, oracle.Answer([]byte("is it kind?"), 0, 64)), qt.IsTrue)

	hosts := 0
	for _, a := range w.agents {
		st, err := a.engine.Status(ctx)
		c.Assert(err, qt.IsNil)
		if st.Model == model {
			hosts++
		}
	}
	c.Assert(hosts, qt.Equals, 3)
}
