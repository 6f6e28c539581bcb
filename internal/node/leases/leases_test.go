package leases

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/lease"
	"github.com/jujuberamp/jujuberamp/internal/stand/logsvc"
)

// TestOutage makes the log unavailable: the holder's lease expires. After the log
// has recovered, exactly one node holds the lease, and its fencing token is not lower
// than before.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		clk := clock.NewSystem()
		log := logsvc.New(clk, logsvc.Params{})
		log.SetReplyLossRate(0.5)
		var all []*Lease
		for _, n := range []ident.Node{"a", "b", "c"} {
			l := New(Params{Name: "x", Node: n, Boot: 1, Policy: lease.DefaultPolicy(), Source: log, Clock: clk, Log: zerolog.Nop()})
			go l.Run(ctx)
			all = append(all, l)
		}
		held := func() (count int, fence ident.Offset) {
			for _, l := range all {
				if f, ok := l.Held(); ok {
					count++
					fence = max(fence, f)
				}
			}
			return count, fence
		}
		time.Sleep(20 * time.Second)
		n, first := held()
		c.Assert(n, qt.Equals, 1)

		log.SetDown(true)
		time.Sleep(10 * time.Second)
		n, _ = held()
		c.Assert(n, qt.Equals, 0)

		log.SetDown(false)
		time.Sleep(20 * time.Second)
		n, fence := held()
		c.Assert(n, qt.Equals, 1)
		c.Assert(fence >= first, qt.IsTrue)

		for _, l := range all {
			l.Release(ctx)
		}
		n, _ = held()
		c.Assert(n, qt.Equals, 0)
	})
}
