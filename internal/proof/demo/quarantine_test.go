package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/opcli"
	"github.com/jujuberamp/jujuberamp/internal/proof/invar"
	"github.com/jujuberamp/jujuberamp/internal/stand/engine"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
)

// newSmallRun starts a small cluster that serves the initial classes.
func newSmallRun(t *testing.T, opts Options) *run {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	t.Cleanup(cancel)
	cl, err := newCluster(ctx, opts, zerolog.Nop(), nil)
	c.Assert(err, qt.IsNil)
	t.Cleanup(cl.close)
	r := &run{opts: opts, cluster: cl, out: io.Discard, counts: invar.NewCounts(), measures: newMeasures(), startedAt: time.Now()}
	c.Assert(r.applyClasses(ctx, initialClasses()), qt.IsNil)
	c.Assert(r.waitForAgents(ctx), qt.IsNil)
	return r
}

// restartCrashed restarts crashed engines and counts the crashes until the
// cluster's context ends.
func (c *cluster) restartCrashed(crashes *atomic.Int64) {
	for c.ctx.Err() == nil {
		for _, a := range c.agents {
			if a.engine != nil && a.engine.IsDown() {
				crashes.Add(1)
				a.engine.Restart()
			}
		}
		clock.Sleep(c.ctx, 30*clock.Milli)
	}
}

// TestCrashingRequest sends a request that crashes engines five times, through
// different entries and with different keys, beside 30 harmless requests. The
// request must be quarantined on all entries before it crashes many engines.
func TestCrashingRequest(t *testing.T) {
	c := qt.New(t)
	r := newSmallRun(t, Options{Entries: 3, Engines: 4, Apps: 1, Seed: 1})
	ctx := r.cluster.ctx
	urls := r.cluster.entryURLs()
	var crashes atomic.Int64
	go r.cluster.restartCrashed(&crashes)

	var wg sync.WaitGroup
	errs := make(chan error, 30)
	for i := range 30 {
		body := fmt.Sprintf("innocent %d", i)
		wg.Go(func() {
			ans, err := send(ctx, urls[i%len(urls)], codec.Request{Class: "live-draft", Body: body, Seed: 1, MaxTokens: draftTokens})
			if err == nil && !slices.Equal(ans.tokens, oracle.Answer([]byte(body), 1, draftTokens)) {
				err = fmt.Errorf("%s got another answer", body)
			}
			errs <- err
		})
	}
	sendCrashing := func(i int) error {
		_, err := send(ctx, urls[i%len(urls)], codec.Request{Class: "live-draft", Key: newKey(), Body: string(engine.CrashMarker), MaxTokens: draftTokens})
		return err
	}
	var last error
	for i := range 5 {
		last = sendCrashing(i)
		c.Assert(last, qt.IsNotNil)
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		c.Assert(err, qt.IsNil)
	}
	c.Assert(fault.Is(last, fault.Quarantined), qt.IsTrue, qt.Commentf("%v", last))
	c.Assert(int(crashes.Load()) <= crash.DefaultPolicy().Threshold+1, qt.IsTrue, qt.Commentf("%d crashes", crashes.Load()))

	for i := range urls { // Every entry refuses the request and lists it as quarantined.
		c.Assert(fault.Is(sendCrashing(i), fault.Quarantined), qt.IsTrue)
		list, err := opcli.New(operatorToken, urls[i]).Quarantine(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(list, qt.HasLen, 1)
	}
	id := crash.Fingerprint("live-draft", engine.CrashMarker)
	c.Assert(opcli.New(operatorToken, urls[0]).Lift(ctx, id), qt.IsNil)
	for _, u := range urls {
		for {
			list, err := opcli.New(operatorToken, u).Quarantine(ctx)
			c.Assert(err, qt.IsNil)
			if len(list) == 0 {
				break
			}
			clock.Sleep(ctx, clock.Milli)
		}
	}
	c.Assert(fault.Is(opcli.New(operatorToken, urls[0]).Lift(ctx, "no-request"), fault.NotFound), qt.IsTrue)
}
