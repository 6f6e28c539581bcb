// Package clock defines the type for times and durations in the program.
//
// Times and durations are both counts of milliseconds. A time counts from the
// start of the process rather than from a calendar date, so times are comparable
// only within one process and no code can compare the wall clocks of two VMs by
// mistake. Messages between processes contain only durations: the milliseconds
// that are left or have passed.
//
// # Usage
//
//	var c clock.Clock = clock.NewSystem()
//	deadline := c.Now() + 2*clock.Second
//	if c.Now() > deadline { ... }
//
// The packages in internal/decide get the time as a [Millis] argument and never
// read a [Clock].
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a time or a duration in milliseconds.
type Millis int64

// Common durations.
const (
	Milli  Millis = 1
	Second        = 1000 * Milli
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Never is later than any time that a process can reach.
const Never Millis = 1 << 62

// FromDuration converts a duration and truncates it to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Duration converts a duration to that of package time.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Seconds returns the duration in seconds.
func (m Millis) Seconds() float64 { return float64(m) / float64(Second) }

// String formats the duration like [time.Duration.String].
func (m Millis) String() string { return m.Duration().String() }

// Clock returns the current time of one process.
type Clock interface {
	Now() Millis
}

// startOffset is the time at the start of the process. It is above zero because
// a zero time means "unset".
const startOffset = Hour

// System is the monotonic clock of the running process.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts now.
func NewSystem() *System { return &System{start: time.Now()} }

// Now returns the monotonic time since the start, never zero.
func (s *System) Now() Millis { return startOffset + FromDuration(time.Since(s.start)) }

// Manual is a clock that is set explicitly, for tests and replay.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock that is set to the given time.
func NewManual(at Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(at))
	return m
}

// Now returns the time of the clock.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Set sets the clock. A time before the current one has no effect.
func (m *Manual) Set(at Millis) {
	if at > m.Now() {
		m.now.Store(int64(at))
	}
}

// Advance moves the clock forward by a duration.
func (m *Manual) Advance(by Millis) { m.now.Add(int64(by)) }
