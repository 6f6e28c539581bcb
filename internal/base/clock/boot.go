package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that also counts the time for which the VM was suspended, unlike
// [System]. Terms of leases are measured by it: other VMs don't wait for this one.
type Boot struct {
	steady *System
	start  time.Duration
}

// NewBoot returns a clock that starts now.
func NewBoot() *Boot { return &Boot{steady: NewSystem(), start: sinceBoot()} }

// Now returns the time since the start, never zero.
func (b *Boot) Now() Millis {
	if t := sinceBoot(); t > 0 && b.start > 0 {
		return startOffset + FromDuration(t-b.start)
	}
	return b.steady.Now() // The kernel has no such clock.
}

// sinceBoot returns the time since the VM booted, 0 if it can't be read.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
