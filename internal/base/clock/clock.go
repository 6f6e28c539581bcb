// Package clock holds the one time type of the program.
//
// An instant and a span are both a count of milliseconds. Instants are
// comparable only within one process: they count from the start of that
// process, never from a calendar date, so no code can compare the wall clocks
// of two VMs by mistake. Spans travel between processes as a number of
// milliseconds left or passed.
//
// # Usage
//
//	var c clock.Clock = clock.NewSystem()
//	deadline := c.Now() + 2*clock.Second
//	if c.Now() > deadline { ... }
//
// Decisions take a [Millis] as an argument and never read a [Clock].
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is an instant or a span in milliseconds.
type Millis int64

// Spans of time in common use.
const (
	Milli  Millis = 1
	Second        = 1000 * Milli
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Never is later than every instant a process can reach.
const Never Millis = 1 << 62

// FromDuration converts a duration, rounding down to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Duration converts a span for use with package time.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Seconds returns the span in seconds.
func (m Millis) Seconds() float64 { return float64(m) / float64(Second) }

// String formats the span as a duration.
func (m Millis) String() string { return m.Duration().String() }

// Clock tells the current instant of one process.
type Clock interface {
	Now() Millis
}

// epochOffset keeps the first instants away from zero, which means "unset".
const epochOffset = Hour

// System is the monotonic clock of the running process.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts now.
func NewSystem() *System { return &System{start: time.Now()} }

// Now returns the monotonic time since the start, never zero.
func (s *System) Now() Millis { return epochOffset + FromDuration(time.Since(s.start)) }

// Manual is a clock that is moved by hand, for tests and replay.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock that stands at the given instant.
func NewManual(at Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(at))
	return m
}

// Now returns the instant that was set last.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Set moves the clock; it refuses to go back.
func (m *Manual) Set(at Millis) {
	if at > m.Now() {
		m.now.Store(int64(at))
	}
}

// Advance moves the clock forward by a span.
func (m *Manual) Advance(by Millis) { m.now.Add(int64(by)) }
