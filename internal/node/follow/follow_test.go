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

// bench is a log with nodes that follow it, in virtual time.
type bench struct {
	*qt.C
	ctx   context.Context
	clock clock.Clock
	log   *logsvc.Log
}

func run(t *testing.T, fn func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		clk := clock.NewSystem()
		fn(&bench{C: qt.New(t), ctx: ctx, clock: clk, log: logsvc.New(clk, logsvc.Params{Seed: 1})})
	})
}

// node starts a follower; it ends with the test or with the returned function.
func (b *bench) node(n ident.Node) (*Follower, context.CancelFunc) {
	ctx, stop := context.WithCancel(b.ctx)
	f := New(Params{Node: n, Boot: ident.NewIncarnation(), SnapshotInterval: clock.Minute, Source: b.log, Clock: b.clock, Log: zerolog.Nop()})
	go f.Run(ctx)
	return f, stop
}

func set(n ident.Class, base ident.Offset, lateness clock.Millis) record.Change {
	c := class.NewUnchecked(class.Params{Name: n, Kind: class.Lookup, Service: "s", Lateness: lateness, Waiting: 1})
	return record.Change{Author: "ann", Edits: []record.Edit{{Name: n, Base: base, Class: c}}}
}

func lateness(f *Follower, n ident.Class) clock.Millis {
	e, _ := f.State().Find(n)
	return e.Class.Lateness()
}

func (b *bench) accept(f *Follower, c record.Change) ident.Offset {
	ctx, cancel := context.WithTimeout(b.ctx, time.Minute)
	defer cancel()
	rev, err := f.Change(ctx, c)
	b.Assert(err, qt.IsNil)
	return rev
}

// TestRace lets two operators change one class from the same revision through
// two nodes, while the log loses half of its answers.
func TestRace(t *testing.T) {
	run(t, func(b *bench) {
		b.log.SetReplyLossRate(0.5)
		one, _ := b.node("one")
		two, _ := b.node("two")
		rev := b.accept(one, set("a", 0, 1))
		errs := make([]error, 2)
		var wg sync.WaitGroup
		for i, f := range []*Follower{one, two} {
			c := set("a", rev, clock.Millis(10+i))
			c.Author = []ident.Caller{"ann", "bob"}[i]
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(b.ctx, time.Minute)
				defer cancel()
				_, errs[i] = f.Change(ctx, c)
			})
		}
		wg.Wait()
		b.Assert((errs[0] == nil) != (errs[1] == nil), qt.IsTrue, qt.Commentf("%v", errs))
		winner, loser := 0, errs[1]
		if loser == nil {
			winner, loser = 1, errs[0]
		}
		b.Assert(fault.Is(loser, fault.Conflict), qt.IsTrue)
		b.Assert(strings.Contains(loser.Error(), []string{"ann", "bob"}[winner]), qt.IsTrue, qt.Commentf("%v", loser))
		synctest.Wait()
		b.Assert(lateness(one, "a"), qt.Equals, clock.Millis(10+winner))
		b.Assert(lateness(two, "a"), qt.Equals, clock.Millis(10+winner))
	})
}

// TestRetention starts a node after the change that it needs has expired.
func TestRetention(t *testing.T) {
	run(t, func(b *bench) {
		old, _ := b.node("old")
		rev := b.accept(old, set("a", 0, 7))
		time.Sleep(2 * time.Minute)
		b.log.Expire(record.Stream, rev+1)
		young, _ := b.node("young")
		time.Sleep(time.Second)
		b.Assert(lateness(young, "a"), qt.Equals, clock.Millis(7))
		b.Assert(young.State().Revision("a"), qt.Equals, rev)
		b.accept(young, set("a", rev, 8))
		synctest.Wait()
		b.Assert(lateness(old, "a"), qt.Equals, clock.Millis(8))
	})
}

// TestLongOutage takes the log away until all that it kept has expired.
func TestLongOutage(t *testing.T) {
	run(t, func(b *bench) {
		old, _ := b.node("old")
		other, _ := b.node("other")
		rev := b.accept(old, set("a", 0, 7))
		time.Sleep(2 * time.Minute)
		b.log.SetDown(true)
		b.log.Expire(record.Stream, 1<<40)
		time.Sleep(time.Hour)
		b.Assert(lateness(other, "a"), qt.Equals, clock.Millis(7))
		b.log.SetDown(false)
		young, _ := b.node("young")
		time.Sleep(20 * time.Second)
		b.Assert(lateness(young, "a"), qt.Equals, clock.Millis(7))
		b.Assert(young.Freshness().Behind, qt.Equals, clock.Millis(0))
		b.accept(young, set("a", rev, 8))
	})
}

// TestConcurrentSnapshot lets a node start between a change and a snapshot
// that was taken before it: the snapshot must not revert the change.
func TestConcurrentSnapshot(t *testing.T) {
	run(t, func(b *bench) {
		old, _ := b.node("old")
		rev := b.accept(old, set("a", 0, 7))
		early := old.Wire()
		b.accept(old, set("a", rev, 8))
		b.log.Expire(record.Stream, rev+1)
		young, _ := b.node("young")
		synctest.Wait()
		b.Assert(young.FreshAt(), qt.Equals, clock.Millis(0), qt.Commentf("no snapshot was read"))
		_, err := b.log.Append(b.ctx, record.Stream, [][]byte{early.Data, early.Data})
		b.Assert(err, qt.IsNil)
		synctest.Wait()
		b.Assert(lateness(young, "a"), qt.Equals, clock.Millis(8))
		b.Assert(young.FreshAt() > 0, qt.IsTrue)
	})
}

// TestReplacedInOutage replaces all nodes while the log is down.
func TestReplacedInOutage(t *testing.T) {
	run(t, func(b *bench) {
		old, stop := b.node("old")
		rev := b.accept(old, set("a", 0, 7))
		b.log.SetDown(true)
		time.Sleep(time.Minute)
		for range 3 {
			young, end := b.node("young")
			young.ApplySnapshot(old.Wire())
			stop()
			b.Assert(lateness(young, "a"), qt.Equals, clock.Millis(7))
			time.Sleep(20 * time.Second)
			old, stop = young, end
		}
		b.log.SetDown(false)
		b.accept(old, set("a", rev, 8))
		older := old.Wire()
		b.accept(old, set("a", old.State().Revision("a"), 9))
		b.log.SetDown(true)
		time.Sleep(time.Minute)
		old.ApplySnapshot(older)
		b.Assert(lateness(old, "a"), qt.Equals, clock.Millis(9), qt.Commentf("an older peer must not lower it"))
	})
}

// TestRecords reads records that this program can't take in.
func TestRecords(t *testing.T) {
	tests := map[string]struct {
		data   string
		behind bool
	}{
		"unreadable":                   {data: "{", behind: false},
		"newer, may be read by us":     {data: `{"format":9,"needs":1,"change":{"author":"x","edits":[]},"seq":1,"x":2}`},
		"newer, not to be passed over": {data: `{"format":9,"needs":9,"change":{}}`, behind: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, func(b *bench) {
				f, _ := b.node("n")
				rev := b.accept(f, set("a", 0, 7))
				_, err := b.log.Append(b.ctx, record.Stream, [][]byte{[]byte(tc.data)})
				b.Assert(err, qt.IsNil)
				time.Sleep(time.Second)
				b.Assert(f.Freshness().Behind > 0, qt.Equals, tc.behind)
				b.Assert(lateness(f, "a"), qt.Equals, clock.Millis(7))
				if !tc.behind {
					b.accept(f, set("a", rev, 8))
				}
			})
		})
	}
}
