package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// inGrid runs a test beside a small deployment in virtual time.
func inGrid(t *testing.T, fn func(ctx context.Context, c *qt.C, g *grid)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		g := newGrid(ctx, t, false)
		defer g.close(cancel)
		time.Sleep(time.Second)
		fn(ctx, qt.New(t), g)
	})
}

func smallSpec(i int) round.Spec {
	s := newSpec()
	s.ID = ident.Round(fmt.Sprintf("trainer/small-%d", i))
	s.Prompts = s.Prompts[:1]
	s.SamplesPerGroup = 1
	return s
}

// TestRoundLimit opens rounds up to the limit of an entry: one more is refused
// as not run, and taken once a trainer has read a round whole.
func TestRoundLimit(t *testing.T) {
	const limit = 256
	inGrid(t, func(ctx context.Context, c *qt.C, g *grid) {
		at := g.alive()[0].rounds
		for i := range limit {
			c.Assert(at.Open(ctx, smallSpec(i), g.class, ""), qt.IsNil)
		}
		err := at.Open(ctx, smallSpec(limit), g.class, "")
		c.Assert(fault.Is(err, fault.Overloaded), qt.IsTrue, qt.Commentf("%v", err))

		s := smallSpec(0)
		cursor := ""
		for whole := false; !whole; {
			pg, err := at.Read(ctx, s.ID, cursor, s.Version, 5, clock.Second)
			c.Assert(err, qt.IsNil)
			cursor, whole = pg.Cursor, pg.RoundComplete
		}
		_, err = at.Read(ctx, s.ID, cursor, s.Version, 5, 0) // The trainer shows that it has the last page.
		c.Assert(err, qt.IsNil)
		c.Assert(at.Open(ctx, smallSpec(limit), g.class, ""), qt.IsNil)
	})
}

// TestAbandonedRound leaves a round alone: it ends at its owner after half an
// hour, and the agents forget its samples.
func TestAbandonedRound(t *testing.T) {
	inGrid(t, func(ctx context.Context, c *qt.C, g *grid) {
		at := g.alive()[0].rounds
		s := newSpec()
		c.Assert(at.Open(ctx, s, g.class, ""), qt.IsNil)
		time.Sleep(10 * time.Minute)
		c.Assert(g.held(), qt.Equals, s.Total())

		time.Sleep(25 * time.Minute)
		_, err := at.Read(ctx, s.ID, "", s.Version, 5, 0)
		c.Assert(fault.Is(err, fault.NotFound), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(g.held(), qt.Equals, 0)
	})
}

// held returns how many answers all agents keep.
func (g *grid) held() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.agents {
		n += int(a.kept())
	}
	return n
}

// TestTokenBound keeps finished samples of five quarters of the bound: the
// oldest ones go.
func TestTokenBound(t *testing.T) {
	c := qt.New(t)
	a := &Agent{jobs: make(map[ident.Attempt]*job)}
	a.p.AnswerRetention = clock.Hour
	now := clock.Hour
	for i := range 5 {
		id := fmt.Sprint(i)
		j := newJob(context.Background(), "entry", wire.Job{Attempt: id, Sample: wire.Sample{Round: "r", Ordinal: i}})
		j.add(make([]uint32, maxHeldTokens/4))
		j.end(now+clock.Millis(i), nil, nil)
		a.jobs[ident.Attempt(id)] = j
	}
	a.forget(now + clock.Second)
	c.Assert(a.jobs, qt.HasLen, 4)
	_, ok := a.jobs["0"]
	c.Assert(ok, qt.IsFalse)
}

// TestOneOrder gives an order beside another one, and begins a run beside it:
// the order is refused, the run waits for its end.
func TestOneOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var s swapper
		s.init()
		s.end() // The engine has settled.
		c.Assert(s.begin(), qt.IsTrue)
		c.Assert(s.begin(), qt.IsFalse)
		c.Assert(s.orders(), qt.Equals, uint64(1))

		entered := make(chan struct{})
		go func() {
			defer close(entered)
			_, leave, err := s.enter(t.Context())
			c.Check(err, qt.IsNil)
			leave()
		}()
		synctest.Wait()
		select {
		case <-entered:
			c.Fatal("a run began beside an order")
		default:
		}
		s.end()
		<-entered
		c.Assert(s.begin(), qt.IsTrue)
	})
}

// TestEndedBesideOrder ends an attempt that waits for an order that hangs: the
// attempt does not wait on.
func TestEndedBesideOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var s swapper
		s.init()
		s.end()
		c.Assert(s.begin(), qt.IsTrue)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, _, err := s.enter(ctx)
			ended <- err
		}()
		synctest.Wait()
		cancel()
		c.Assert(<-ended, qt.ErrorIs, context.Canceled)
	})
}
