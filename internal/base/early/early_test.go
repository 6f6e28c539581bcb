package early

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHangupIsKept sends SIGHUP before the channel is read. The signal must be
// delivered later; its default action would terminate this test.
func TestHangupIsKept(t *testing.T) {
	c := qt.New(t)
	ch := ReloadSignals()
	c.Assert(syscall.Kill(syscall.Getpid(), syscall.SIGHUP), qt.IsNil)
	select {
	case <-ch:
	case <-time.After(30 * time.Second):
		c.Fatal("the signal did not arrive")
	}
}
