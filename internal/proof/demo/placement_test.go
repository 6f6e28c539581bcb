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

// TestModelWithoutEngine declares a model that no engine hosts. The holder of the
// placement lease must assign one engine to the model, and a waiting request must
// get its complete answer. The first model must keep the other engines.
func TestModelWithoutEngine(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	opts := Options{Entries: 2, Engines: 4, Seed: 1}
	cl, err := newCluster(ctx, opts, zerolog.Nop(), nil)
	c.Assert(err, qt.IsNil)
	defer cl.close()
	r := &run{opts: opts, cluster: cl, out: io.Discard, counts: invar.NewCounts(), measures: newMeasures(), startedAt: time.Now()}
	classes := append(initialClasses(), record.ClassMsg{
		Name: "tone", Kind: "draft", Service: "tone-model", LatenessMS: 60_000, WaitingMS: 50_000, MaxTokens: 64,
	})
	c.Assert(r.applyClasses(ctx, classes), qt.IsNil)
	c.Assert(r.waitForAgents(ctx), qt.IsNil)
	c.Assert(trainer.New(cl.entryURLs(), trainerToken).Announce(ctx, "tone-model", 1), qt.IsNil)

	ans, err := send(ctx, cl.entryURLs()[1], codec.Request{Class: "tone", Body: "is it kind?"})
	c.Assert(err, qt.IsNil)
	c.Assert(slices.Equal(ans.tokens, oracle.Answer([]byte("is it kind?"), 0, 64)), qt.IsTrue)

	hosts := 0
	for _, a := range cl.agents {
		st, err := a.engine.Status(ctx)
		c.Assert(err, qt.IsNil)
		if st.Model == modelName {
			hosts++
		}
	}
	c.Assert(hosts, qt.Equals, 3)
}
