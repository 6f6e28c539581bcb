package follow

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/stand/logsvc"
)

// testCluster is a fake log with nodes that follow it, in virtual time.
type testCluster struct {
	*qt.C
	ctx   context.Context
	clock clock.Clock
	log   *logsvc.Log
}

func runCluster(t *testing.T, fn func(c *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		clk := clock.NewSystem()
		fn(&testCluster{C: qt.New(t), ctx: ctx, clock: clk, log: logsvc.New(clk, logsvc.Params{Seed: 1})})
	})
}

// startNode starts a follower, which runs until the test ends or the returned
// function is called.
func (c *testCluster) startNode(n ident.Node) (*Follower, context.CancelFunc) {
	ctx, stop := context.WithCancel(c.ctx)
	f := New(Params{
		Node: n, Boot: ident.NewIncarnation(), SnapshotInterval: clock.Minute,
		Source: c.log, Clock: c.clock, Log: zerolog.Nop(),
	})
	go f.Run(ctx)
	return f, stop
}

func setLateness(n ident.Class, base ident.Offset, lateness clock.Millis) record.Change {
	c := class.NewUnchecked(class.Params{Name: n, Kind: class.Lookup, Service: "s", Lateness: lateness, Waiting: 1})
	return record.Change{Author: "ann", Edits: []record.Edit{{Name: n, Base: base, Class: c}}}
}

func lateness(f *Follower, n ident.Class) clock.Millis {
	e, _ := f.State().Find(n)
	return e.Class.Lateness()
}

func (c *testCluster) mustChange(f *Follower, change record.Change) ident.Offset {
	ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
	defer cancel()
	rev, err := f.Change(ctx, change)
	c.Assert(err, qt.IsNil)
	return rev
}

// TestRace checks that exactly one of two operators wins if both change a class from
// the same revision through different nodes, while the log loses half of its
// answers.
func TestRace(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		c.log.SetReplyLossRate(0.5)
		one, _ := c.startNode("one")
		two, _ := c.startNode("two")
		rev := c.mustChange(one, setLateness("a", 0, 1))
		errs := make([]error, 2)
		var wg sync.WaitGroup
		for i, f := range []*Follower{one, two} {
			change := setLateness("a", rev, clock.Millis(10+i))
			change.Author = []ident.Caller{"ann", "bob"}[i]
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
				defer cancel()
				_, errs[i] = f.Change(ctx, change)
			})
		}
		wg.Wait()
		c.Assert((errs[0] == nil) != (errs[1] == nil), qt.IsTrue, qt.Commentf("%v", errs))
		winner, loser := 0, errs[1]
		if loser == nil {
			winner, loser = 1, errs[0]
		}
		c.Assert(fault.Is(loser, fault.Conflict), qt.IsTrue)
		c.Assert(strings.Contains(loser.Error(), []string{"ann", "bob"}[winner]), qt.IsTrue, qt.Commentf("%v", loser))
		synctest.Wait()
		c.Assert(lateness(one, "a"), qt.Equals, clock.Millis(10+winner))
		c.Assert(lateness(two, "a"), qt.Equals, clock.Millis(10+winner))
	})
}

// TestRetention starts a node after the record of the change in force has expired:
// the node gets the change from a snapshot.
func TestRetention(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		oldNode, _ := c.startNode("old")
		rev := c.mustChange(oldNode, setLateness("a", 0, 7))
		time.Sleep(2 * time.Minute)
		c.log.Expire(record.ConfigStream, rev+1)
		newNode, _ := c.startNode("young")
		time.Sleep(time.Second)
		c.Assert(lateness(newNode, "a"), qt.Equals, clock.Millis(7))
		c.Assert(newNode.State().Revision("a"), qt.Equals, rev)
		c.mustChange(newNode, setLateness("a", rev, 8))
		synctest.Wait()
		c.Assert(lateness(oldNode, "a"), qt.Equals, clock.Millis(8))
	})
}

// TestLongOutage makes the log unavailable until all of its records have expired.
// Afterwards a running node must append a snapshot for new nodes.
func TestLongOutage(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		oldNode, _ := c.startNode("old")
		other, _ := c.startNode("other")
		rev := c.mustChange(oldNode, setLateness("a", 0, 7))
		time.Sleep(2 * time.Minute)
		c.log.SetDown(true)
		c.log.Expire(record.ConfigStream, 1<<40)
		time.Sleep(time.Hour)
		c.Assert(lateness(other, "a"), qt.Equals, clock.Millis(7))
		c.log.SetDown(false)
		newNode, _ := c.startNode("young")
		time.Sleep(20 * time.Second)
		c.Assert(lateness(newNode, "a"), qt.Equals, clock.Millis(7))
		c.Assert(newNode.Freshness().Behind, qt.Equals, clock.Millis(0))
		c.mustChange(newNode, setLateness("a", rev, 8))
	})
}

// TestConcurrentSnapshot appends a snapshot that was taken before a change, after
// that change. A node that starts in between must not revert the change.
func TestConcurrentSnapshot(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		oldNode, _ := c.startNode("old")
		rev := c.mustChange(oldNode, setLateness("a", 0, 7))
		early := oldNode.Wire()
		c.mustChange(oldNode, setLateness("a", rev, 8))
		c.log.Expire(record.ConfigStream, rev+1)
		newNode, _ := c.startNode("young")
		synctest.Wait()
		c.Assert(newNode.FreshAt(), qt.Equals, clock.Millis(0), qt.Commentf("no snapshot was read"))
		_, err := c.log.Append(c.ctx, record.ConfigStream, [][]byte{early.Data, early.Data})
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		c.Assert(lateness(newNode, "a"), qt.Equals, clock.Millis(8))
		c.Assert(newNode.FreshAt() > 0, qt.IsTrue)
	})
}

// TestReplacedInOutage replaces all nodes while the log is down: the configuration
// must survive in the snapshots that they receive from each other.
func TestReplacedInOutage(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		oldNode, stop := c.startNode("old")
		rev := c.mustChange(oldNode, setLateness("a", 0, 7))
		c.log.SetDown(true)
		time.Sleep(time.Minute)
		for range 3 {
			newNode, stopNew := c.startNode("young")
			newNode.ApplySnapshot(oldNode.Wire())
			stop()
			c.Assert(lateness(newNode, "a"), qt.Equals, clock.Millis(7))
			time.Sleep(20 * time.Second)
			oldNode, stop = newNode, stopNew
		}
		c.log.SetDown(false)
		c.mustChange(oldNode, setLateness("a", rev, 8))
		older := oldNode.Wire()
		c.mustChange(oldNode, setLateness("a", oldNode.State().Revision("a"), 9))
		c.log.SetDown(true)
		time.Sleep(time.Minute)
		oldNode.ApplySnapshot(older)
		c.Assert(lateness(oldNode, "a"), qt.Equals, clock.Millis(9), qt.Commentf("an older peer must not lower it"))
	})
}

// TestRecords reads records that this version of the program can't apply.
func TestRecords(t *testing.T) {
	tests := map[string]struct {
		data   string
		behind bool
	}{
		"malformed":         {data: "{", behind: false},
		"newer, readable":   {data: `{"format":9,"needs":1,"change":{"author":"x","edits":[]},"seq":1,"x":2}`},
		"newer, unreadable": {data: `{"format":9,"needs":9,"change":{}}`, behind: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			runCluster(t, func(c *testCluster) {
				f, _ := c.startNode("n")
				rev := c.mustChange(f, setLateness("a", 0, 7))
				_, err := c.log.Append(c.ctx, record.ConfigStream, [][]byte{[]byte(tc.data)})
				c.Assert(err, qt.IsNil)
				time.Sleep(time.Second)
				c.Assert(f.Freshness().Behind > 0, qt.Equals, tc.behind)
				c.Assert(lateness(f, "a"), qt.Equals, clock.Millis(7))
				if !tc.behind {
					c.mustChange(f, setLateness("a", rev, 8))
				}
			})
		})
	}
}
