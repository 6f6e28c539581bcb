package early

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A reload that is asked for before anyone listens is kept; without that the
// signal would end this test.
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
