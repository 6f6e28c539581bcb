package logcl

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/stand/logsvc"
)

// TestResetBackoff appends to a log that loses every answer. An append after a failure
// is refused because of the backoff, but not after ResetBackoff.
func TestResetBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clk := clock.NewSystem()
		svc := logsvc.New(clk, logsvc.Params{Seed: 1})
		svc.SetReplyLossRate(1)
		l := New(svc, Params{Limit: 1e6, Nodes: func() int { return 1 }, Clock: clk})
		send := func() error {
			_, err := l.Append(t.Context(), "s", [][]byte{{1}})
			return err
		}
		c.Assert(fault.Is(send(), fault.LogUnavailable), qt.IsFalse)
		c.Assert(fault.Is(send(), fault.LogUnavailable), qt.IsTrue)
		l.ResetBackoff()
		c.Assert(fault.Is(send(), fault.LogUnavailable), qt.IsFalse)
		c.Assert(svc.Appends(), qt.Equals, 2)
	})
}

// TestLostAnswers appends to a log that loses every answer while reads succeed.
// Appends continue with a short backoff, since the log is up.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clk := clock.NewSystem()
		svc := logsvc.New(clk, logsvc.Params{})
		svc.SetReplyLossRate(1)
		l := New(svc, Params{Limit: 300, Nodes: func() int { return 3 }, Clock: clk})
		const duration = 20 * time.Second
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			_, err := l.Append(t.Context(), "s", [][]byte{{1}})
			c.Assert(err, qt.Not(qt.IsNil))
			_, err = l.Read(t.Context(), "s", 1, 1, 0)
			c.Assert(err, qt.IsNil)
		}
		minAppends := int(duration / (2 * maxBackoffWhileUp)) // Jitter may double a delay.
		c.Assert(svc.Appends() >= minAppends, qt.IsTrue, qt.Commentf("%d appends", svc.Appends()))
	})
}
