// Package vtime runs the product's decisions in virtual time.
//
// [Run] simulates a [Scenario]: requests arrive at random, the product's matcher
// assigns them to engines, the agents' admission control accepts them, and the
// fake engine's service model executes them. Load reports arrive with a delay,
// and engines slow down or crash. Run returns an [Outcome] with what the callers
// observed. The simulation models neither VMs nor a network: apart from load
// reports, messages take no time.
//
// [Loop] is a generic event loop: it sorts events by their time and advances its
// clock from one event to the next. Events with the same time run in the order
// in which they were added, so a run with a given seed always gives the same
// result. The loop starts no goroutine.
//
// # Usage
//
//	l := vtime.NewLoop()
//	l.At(3*clock.Second, func() { ... })
//	stop := l.Every(500*clock.Milli, func() { ... })
//	l.Run(clock.Minute)
//
//	out := vtime.Run(vtime.Scenario{Policy: match.DefaultPolicy(), Seed: 1, ...})
//	p99 := out.Quantile(0, 0.99)
//
// A [Loop] is a [clock.Clock].
package vtime

import (
	"container/heap"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// Loop is an event loop in virtual time.
type Loop struct {
	now     clock.Millis
	lastSeq uint64
	events  eventQueue
}

// event is a function and the time at which it runs.
type event struct {
	at  clock.Millis
	seq uint64
	fn  func()
}

// NewLoop returns a loop without events. Its clock starts at one second, since
// zero means "unset" in many places.
func NewLoop() *Loop { return &Loop{now: clock.Second} }

// Now returns the time of the running event.
func (l *Loop) Now() clock.Millis { return l.now }

// At schedules fn for a time. A time in the past counts as now.
func (l *Loop) At(at clock.Millis, fn func()) {
	l.lastSeq++
	heap.Push(&l.events, event{at: max(at, l.now), seq: l.lastSeq, fn: fn})
}

// After schedules fn after a duration.
func (l *Loop) After(d clock.Millis, fn func()) { l.At(l.now+d, fn) }

// Every schedules fn for now and after each interval until stop is called.
func (l *Loop) Every(interval clock.Millis, fn func()) (stop func()) {
	active := true
	var tick func()
	tick = func() {
		if !active {
			return
		}
		fn()
		l.After(interval, tick)
	}
	l.At(l.now, tick)
	return func() { active = false }
}

// Step runs the next event. It returns false if there is no event.
func (l *Loop) Step() bool {
	if len(l.events) == 0 {
		return false
	}
	e := heap.Pop(&l.events).(event)
	l.now = e.at
	e.fn()
	return true
}

// Run runs all events up to and including a time, to which it sets the clock.
func (l *Loop) Run(until clock.Millis) {
	for len(l.events) > 0 && l.events[0].at <= until {
		l.Step()
	}
	l.now = max(l.now, until)
}

// eventQueue is a heap of events by time, then by the order in which they were
// added.
type eventQueue []event

// Len implements [heap.Interface].
func (q eventQueue) Len() int { return len(q) }

// Less implements [heap.Interface].
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Swap implements [heap.Interface].
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements [heap.Interface].
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements [heap.Interface].
func (q *eventQueue) Pop() any {
	old := *q
	n := len(old) - 1
	e := old[n]
	old[n] = event{}
	*q = old[:n]
	return e
}
