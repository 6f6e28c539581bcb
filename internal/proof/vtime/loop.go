// Package vtime runs the product's decisions in virtual time.
//
// [Run] plays a [Scenario]: requests arrive at random, the product's matcher
// places them, the agents' admission and the stand-in's service model carry
// them out, load reports come late, and engines slow or crash. It returns an
// [Outcome] with what the callers saw. It models no VM and no network: a call
// takes no time.
//
// [Loop] is a generic event loop: it holds events in the order of their
// instants and moves its clock from one to the next. Events of one instant run
// in the order in which they were added, so that a run with one seed is always
// the same. The loop starts no goroutine.
//
// # Usage
//
//	l := vtime.NewLoop()
//	l.At(3*clock.Second, func() { ... })
//	stop := l.Every(500*clock.Milli, func() { ... })
//	l.Run(clock.Minute)
//
//	out := vtime.Run(vtime.Scenario{Policy: match.Standard(), Seed: 1, ...})
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
	now    clock.Millis
	added  uint64
	events events
}

// event is a function that runs at an instant.
type event struct {
	at    clock.Millis
	order uint64
	fn    func()
}

// NewLoop returns a loop without events. It begins one second after zero,
// since zero means "unset" in many places.
func NewLoop() *Loop { return &Loop{now: clock.Second} }

// Now returns the instant of the event that runs.
func (l *Loop) Now() clock.Millis { return l.now }

// At runs fn at an instant; one that has passed counts as now.
func (l *Loop) At(at clock.Millis, fn func()) {
	l.added++
	heap.Push(&l.events, event{at: max(at, l.now), order: l.added, fn: fn})
}

// After runs fn after a span.
func (l *Loop) After(span clock.Millis, fn func()) { l.At(l.now+span, fn) }

// Every runs fn now and then after each span, until stop is called.
func (l *Loop) Every(span clock.Millis, fn func()) (stop func()) {
	on := true
	var next func()
	next = func() {
		if !on {
			return
		}
		fn()
		l.After(span, next)
	}
	l.At(l.now, next)
	return func() { on = false }
}

// Step runs the next event. It returns false if there is none.
func (l *Loop) Step() bool {
	if len(l.events) == 0 {
		return false
	}
	e := heap.Pop(&l.events).(event)
	l.now = e.at
	e.fn()
	return true
}

// Run runs all events up to and including an instant and leaves the clock
// there.
func (l *Loop) Run(until clock.Millis) {
	for len(l.events) > 0 && l.events[0].at <= until {
		l.Step()
	}
	l.now = max(l.now, until)
}

// events is a heap by instant, then by order of adding.
type events []event

// Len implements [heap.Interface].
func (q events) Len() int { return len(q) }

// Less implements [heap.Interface].
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Swap implements [heap.Interface].
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements [heap.Interface].
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements [heap.Interface].
func (q *events) Pop() any {
	old := *q
	n := len(old) - 1
	e := old[n]
	old[n] = event{}
	*q = old[:n]
	return e
}
