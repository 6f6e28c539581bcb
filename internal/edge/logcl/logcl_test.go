package logcl

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/stand/logsvc"
)

// countingLog counts the calls that reach the log in each second.
type countingLog struct {
	plat.Log
	clock   clock.Clock
	mu      sync.Mutex
	appends map[int]int // by second
	reads   map[int]int // by second
}

func (c *countingLog) count(m map[int]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m[int(c.clock.Now().Seconds())]++
}

func (c *countingLog) Append(ctx context.Context, s string, d [][]byte) (ident.Offset, error) {
	c.count(c.appends)
	return c.Log.Append(ctx, s, d)
}

func (c *countingLog) Read(ctx context.Context, s string, from ident.Offset, n int, wait clock.Millis) (plat.Batch, error) {
	c.count(c.reads)
	return c.Log.Read(ctx, s, from, n, wait)
}

// TestShares lets many nodes append and read as fast as they can, before, during and
// after an outage. The log must never receive more appends in a second than its limit
// and a burst allow, even when it recovers.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		nodes int
		limit float64
	}{
		"3 nodes":   {nodes: 3, limit: 300},
		"100 nodes": {nodes: 100, limit: 300},
		"400 nodes": {nodes: 400, limit: 300},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				clk := clock.NewSystem()
				svc := logsvc.New(clk, logsvc.Params{})
				log := &countingLog{Log: svc, clock: clk, appends: make(map[int]int), reads: make(map[int]int)}
				ctx, stop := context.WithCancel(t.Context())
				for i := range tc.nodes {
					l := New(log, Params{Limit: tc.limit, Nodes: func() int { return tc.nodes }, Clock: clk})
					go appendAll(ctx, l, fmt.Sprint(i%4))
					go readAll(ctx, l)
				}
				time.Sleep(10 * time.Second)
				healthyAppends := svc.Appends()
				svc.SetDown(true)
				time.Sleep(20 * time.Second)
				svc.SetDown(false)
				time.Sleep(20 * time.Second)
				stop()
				time.Sleep(time.Minute)
				synctest.Wait()
				c.Check(float64(healthyAppends) > 0.9*9*tc.limit, qt.IsTrue, qt.Commentf("%d appends in 10 s", healthyAppends))
				log.mu.Lock()
				defer log.mu.Unlock()
				for s, n := range log.appends {
					c.Check(float64(n) <= tc.limit*(1+burstSeconds), qt.IsTrue, qt.Commentf("%d appends in second %d", n, s))
				}
				for s, n := range log.reads {
					c.Check(n <= 15*tc.nodes, qt.IsTrue, qt.Commentf("%d reads in second %d", n, s))
				}
			})
		})
	}
}

func appendAll(ctx context.Context, l *Log, stream string) {
	for ctx.Err() == nil {
		if _, err := l.Append(ctx, stream, [][]byte{{1}}); err != nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func readAll(ctx context.Context, l *Log) {
	for ctx.Err() == nil {
		_, _ = l.Read(ctx, "quiet", 1, 1, 5*clock.Second)
	}
}

// TestBatch lets many callers append at the same time: few appends reach the log, and
// each caller gets the offset of its own records.
func TestBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clk := clock.NewSystem()
		svc := logsvc.New(clk, logsvc.Params{})
		l := New(svc, Params{Limit: 1, Nodes: func() int { return 1 }, Clock: clk})
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				off, err := l.Append(t.Context(), "s", [][]byte{{byte(i)}, {byte(i)}})
				c.Check(err, qt.IsNil)
				b, err := svc.Read(t.Context(), "s", off, 2, 0)
				c.Check(err, qt.IsNil)
				c.Check(b.Records[0].Data[0], qt.Equals, byte(i))
				c.Check(b.Records[1].Data[0], qt.Equals, byte(i))
			})
		}
		wg.Wait()
		c.Assert(svc.Appends() <= 4, qt.IsTrue, qt.Commentf("%d appends", svc.Appends()))

		// The records of a caller that gives up before its append was sent are not added.
		_, err := l.Append(t.Context(), "s", [][]byte{{0}})
		c.Assert(err, qt.IsNil)
		before, _ := svc.Read(t.Context(), "s", 1, 1000, 0)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = l.Append(ctx, "s", [][]byte{{0}})
		c.Assert(fault.Is(err, fault.LogUnavailable), qt.IsTrue, qt.Commentf("%v", err))
		time.Sleep(time.Minute)
		after, _ := svc.Read(t.Context(), "s", 1, 1000, 0)
		c.Assert(len(after.Records), qt.Equals, len(before.Records))
	})
}

// TestOffsetAfterCanceledRecords lets a caller give up while its records wait in a
// batch. The callers whose records follow in the batch must get the offsets of their
// own records.
func TestOffsetAfterCanceledRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clk := clock.NewSystem()
		svc := logsvc.New(clk, logsvc.Params{})
		l := New(svc, Params{Limit: 1, Nodes: func() int { return 1 }, Clock: clk})
		_, err := l.Append(t.Context(), "s", [][]byte{{0}})
		c.Assert(err, qt.IsNil)
		var wg sync.WaitGroup
		add := func(ctx context.Context, wantErr bool, records ...byte) {
			data := make([][]byte, len(records))
			for i, r := range records {
				data[i] = []byte{r}
			}
			wg.Go(func() {
				off, err := l.Append(ctx, "s", data)
				c.Check(err != nil, qt.Equals, wantErr)
				if wantErr || err != nil {
					return
				}
				b, err := svc.Read(t.Context(), "s", off, len(records), 0)
				c.Check(err, qt.IsNil)
				for i, r := range b.Records {
					c.Check(r.Data, qt.DeepEquals, data[i])
				}
			})
			synctest.Wait()
		}
		impatient, cancel := context.WithCancel(t.Context())
		add(t.Context(), false, 1)
		add(impatient, true, 2, 3)
		add(t.Context(), false, 4, 5)
		add(impatient, true, 6)
		add(t.Context(), false, 7)
		cancel()
		wg.Wait()
	})
}
