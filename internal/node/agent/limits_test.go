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

// withTestCluster runs a test against a small deployment in virtual time.
func withTestCluster(t *testing.T, fn func(ctx context.Context, c *qt.C, g *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		g := newTestCluster(ctx, t, false)
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

// TestRoundLimit opens rounds up to the limit of an entry. One more round is
// refused as overloaded, and accepted after a trainer has read a complete round.
func TestRoundLimit(t *testing.T) {
	const limit = 256
	withTestCluster(t, func(ctx context.Context, c *qt.C, g *testCluster) {
		rs := g.alive()[0].rounds
		for i := range limit {
			c.Assert(rs.Open(ctx, smallSpec(i), g.class, ""), qt.IsNil)
		}
		err := rs.Open(ctx, smallSpec(limit), g.class, "")
		c.Assert(fault.Is(err, fault.Overloaded), qt.IsTrue, qt.Commentf("%v", err))

		s := smallSpec(0)
		cursor := ""
		for complete := false; !complete; {
			pg, err := rs.Read(ctx, s.ID, cursor, s.Version, 5, clock.Second)
			c.Assert(err, qt.IsNil)
			cursor, complete = pg.Cursor, pg.RoundComplete
		}
		_, err = rs.Read(ctx, s.ID, cursor, s.Version, 5, 0) // Acknowledges the last page.
		c.Assert(err, qt.IsNil)
		c.Assert(rs.Open(ctx, smallSpec(limit), g.class, ""), qt.IsNil)
	})
}

// TestAbandonedRound opens a round that no trainer reads. The owner ends the
// round after half an hour, and the agents remove its samples.
func TestAbandonedRound(t *testing.T) {
	withTestCluster(t, func(ctx context.Context, c *qt.C, g *testCluster) {
		rs := g.alive()[0].rounds
		s := newSpec()
		c.Assert(rs.Open(ctx, s, g.class, ""), qt.IsNil)
		time.Sleep(10 * time.Minute)
		c.Assert(g.totalKeptJobs(), qt.Equals, s.Total())

		time.Sleep(25 * time.Minute)
		_, err := rs.Read(ctx, s.ID, "", s.Version, 5, 0)
		c.Assert(fault.Is(err, fault.NotFound), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(g.totalKeptJobs(), qt.Equals, 0)
	})
}

// totalKeptJobs returns the number of jobs that all agents keep.
func (g *testCluster) totalKeptJobs() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.agents {
		n += int(a.keptJobs())
	}
	return n
}

// TestTokenBound finishes samples with 5/4 of the token bound. The oldest sample
// must be removed.
func TestTokenBound(t *testing.T) {
	c := qt.New(t)
	a := &Agent{jobs: make(map[ident.Attempt]*job)}
	a.p.AnswerRetention = clock.Hour
	now := clock.Hour
	for i := range 5 {
		id := fmt.Sprint(i)
		j := newJob(context.Background(), "entry", wire.Job{Attempt: id, Sample: wire.Sample{Round: "r", Ordinal: i}})
		j.appendTokens(make([]uint32, maxKeptTokens/4))
		j.finish(now+clock.Millis(i), nil, nil)
		a.jobs[ident.Attempt(id)] = j
	}
	a.prune(now + clock.Second)
	c.Assert(a.jobs, qt.HasLen, 4)
	_, ok := a.jobs["0"]
	c.Assert(ok, qt.IsFalse)
}

// TestOneLoadOrderAtATime starts a second load order and a segment during a load
// order. The second order is refused; the segment waits until the first order
// has ended.
func TestOneLoadOrderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var s loadLock
		s.init()
		s.endLoad() // The engine's status is stable.
		c.Assert(s.beginLoad(), qt.IsTrue)
		c.Assert(s.beginLoad(), qt.IsFalse)
		c.Assert(s.ordersStarted(), qt.Equals, uint64(1))

		entered := make(chan struct{})
		go func() {
			defer close(entered)
			_, release, err := s.acquire(t.Context())
			c.Check(err, qt.IsNil)
			release()
		}()
		synctest.Wait()
		select {
		case <-entered:
			c.Fatal("a segment began during a load order")
		default:
		}
		s.endLoad()
		<-entered
		c.Assert(s.beginLoad(), qt.IsTrue)
	})
}

// TestCancelDuringLoadOrder cancels an attempt that waits for a hanging load
// order. The attempt must stop waiting.
func TestCancelDuringLoadOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var s loadLock
		s.init()
		s.endLoad()
		c.Assert(s.beginLoad(), qt.IsTrue)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, _, err := s.acquire(ctx)
			ended <- err
		}()
		synctest.Wait()
		cancel()
		c.Assert(<-ended, qt.ErrorIs, context.Canceled)
	})
}
