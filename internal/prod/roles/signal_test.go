package roles

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A repeated SIGTERM must not interrupt requests in progress. If the second signal
// ended the process, it would end this test too.
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
