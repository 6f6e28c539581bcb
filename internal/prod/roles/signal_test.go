package roles

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A platform that tells a process to stop more than once must not cut what is
// in progress. Should the second signal end the process, this test ends too.
func TestTerminatedTwice(t *testing.T) {
	c := qt.New(t)
	done := StopSignal()
	for range 2 {
		c.Assert(syscall.Kill(syscall.Getpid(), syscall.SIGTERM), qt.IsNil)
		select {
		case <-done:
		case <-time.After(30 * time.Second):
			c.Fatal("the signal did not arrive")
		}
	}
}
