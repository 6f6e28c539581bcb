package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
)

// TestNobodyKnowsOrNobodyWasThere guards against an entry that takes "nobody knows" for "nobody
// was there": only entries that have known all origins for the lifetime of a stream can tell
// that a stream has never begun. One that started and got back what the others hold can.
func TestNobodyKnowsOrNobodyWasThere(t *testing.T) {
	long := (lifetime + clock.Minute).Duration()
	tests := map[string]struct {
		prepare func(c *cluster)
		want    error
	}{
		"all have run for long":  {func(*cluster) { time.Sleep(long) }, resume.ErrNotBegun},
		"all have just started":  {func(*cluster) { time.Sleep(10 * time.Second) }, resume.ErrUnknown},
		"one has just restarted": {func(c *cluster) { time.Sleep(long); c.start("e-0"); time.Sleep(time.Second) }, resume.ErrNotBegun},
		"all were restarted in turn": {func(c *cluster) {
			time.Sleep(long)
			c.killInTurn(2 * time.Second)
		}, resume.ErrNotBegun},
		"all were restarted at once": {func(c *cluster) {
			time.Sleep(long)
			c.startAll()
			time.Sleep(10 * time.Second)
		}, resume.ErrUnknown},
		"all were restarted at once, long ago": {func(c *cluster) {
			c.startAll()
			time.Sleep(long)
		}, resume.ErrNotBegun},
		"one has restarted, and another one does not answer": {func(c *cluster) {
			time.Sleep(long)
			c.nodes["e-1"].SetSilent(true)
			c.start("e-0")
			time.Sleep(10 * time.Second)
		}, resume.ErrUnknown},
		"one has restarted, and another one answers later": {func(c *cluster) {
			time.Sleep(long)
			c.nodes["e-1"].SetSilent(true)
			c.start("e-0")
			time.Sleep(10 * time.Second)
			c.nodes["e-1"].SetSilent(false)
			time.Sleep(3 * time.Second)
		}, resume.ErrNotBegun},
		"one has restarted and knows no other": {func(c *cluster) {
			time.Sleep(long)
			c.unknownPeers = true
			c.start("e-0")
			time.Sleep(10 * time.Second)
		}, resume.ErrUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := newCluster(ctx, 3)
				c.setServers("v1", "v2")
				test.prepare(c)
				_, err := c.stores["e-0"].Find(ctx, "x", "s")
				qt.New(t).Check(err, qt.Equals, test.want)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestRestoreManyOrigins guards against origins that don't fit into one message, and against
// origins that are kept for longer each time that an entry starts.
func TestRestoreManyOrigins(t *testing.T) {
	const streams = 2*resume.MaxOrigins + 500
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cl := newCluster(ctx, 2)
		cl.setServers("v1", "v2")
		for i := range streams {
			cl.stores["e-1"].Keep([]resume.Origin{{Stream: streamID(i), Service: "s", Software: softwareOf(i)}}, false)
		}
		for range 3 {
			time.Sleep((lifetime / 4).Duration())
			cl.start("e-0")
			time.Sleep(time.Second)
			c.Assert(cl.stores["e-0"].count(), qt.Equals, streams)
			cl.prune()
		}
		time.Sleep((lifetime / 4).Duration())
		cl.prune()
		c.Check(cl.stores["e-0"].count(), qt.Equals, 0)
	})
}

// TestNoResumableStreams checks that entries ask each other nothing while no stream can be
// resumed, and begin to once one can.
func TestNoResumableStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cl := newCluster(ctx, 0)
		cl.notResumable.Store(true)
		cl.startNew(3)
		time.Sleep(time.Minute)
		c.Check(cl.holdQueries.Load(), qt.Equals, int64(0))
		cl.notResumable.Store(false)
		time.Sleep(time.Minute)
		c.Check(cl.holdQueries.Load(), qt.Equals, int64(6), qt.Commentf("each entry asks the two others once"))
		time.Sleep((2 * lifetime).Duration())
		c.Check(cl.holdQueries.Load(), qt.Equals, int64(6))
	})
}
