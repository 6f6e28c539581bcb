package logcl

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/stand/logsvc"
)

// TestWorked loses each answer: appends are held back after a failure, but not
// after one that was read back.
func TestWorked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clk := clock.NewSystem()
		svc := logsvc.New(clk, logsvc.Params{Seed: 1})
		svc.SetLose(1)
		l := New(svc, Params{Limit: 1e6, Nodes: func() int { return 1 }, Clock: clk})
		send := func() error {
			_, err := l.Append(t.Context(), "s", [][]byte{{1}})
			return err
		}
		c.Assert(fault.Is(send(), fault.LogDown), qt.IsFalse)
		c.Assert(fault.Is(send(), fault.LogDown), qt.IsTrue)
		l.Worked()
		c.Assert(fault.Is(send(), fault.LogDown), qt.IsFalse)
		c.Assert(svc.Appends(), qt.Equals, 2)
	})
}
