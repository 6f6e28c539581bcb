// Package sched decides which item of the open jobs goes next, and to which
// engine.
//
//  1. Items go by the latest start at which they still end when their job is
//     due, over all jobs: a long item of a later job goes before a short one of
//     an earlier job, since the last item of a group decides when it is
//     complete. No start is later than the job itself, so that work which can't
//     be in time any more does not push other work out.
//  2. An item goes to the free engine on which it is likely to end first: by
//     the engine's pace, its load and the distance.
//  3. A slow engine takes only items that end there soon all the same; longer
//     ones wait for another engine, unless all are slow.
//  4. An item that runs on a slow engine, or on one that is slower than usual
//     at this moment, moves to a faster one that is free when nothing waits
//     and the move saves enough. Its text is read in again there, which takes
//     much less than a slow moment.
//  5. Only items that may be the last of their job move: each move costs a
//     connection and some reading, and the others end before the last one all
//     the same.
//  6. An engine that shows no pace now may be slow at this moment, so one that
//     shows that it is not goes before it.
//
// An engine is slow by comparison with the median of those with a known pace,
// so that a change which slows all makes none slow.
//
// # Usage
//
//	seats.Sort(wants, plan.Pace())
//	seat := sched.New(all).Best(want)
package sched

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	// slowBy is the pace, in medians, from which an engine is slow. Engines of
	// one kind differ by less; a disturbed one is 2.5 times slower or more.
	slowBy = 1.6
	// soon is what an item may take on a slow engine: well within the time in
	// which a step's results are due at both deployments.
	soon = 2500 * clock.Milli
	// saves is the least gain of a move, which reads the text in again.
	saves = 400 * clock.Milli
	// hiccup is what an engine's slow moment is expected to cost an item still,
	// and hop what a move costs: reading in, and the event that is lost.
	hiccup = 300 * clock.Milli
	hop    = 80 * clock.Milli
	// doubt is what an engine that shows no pace is expected to cost: one in
	// six is in a slow moment at both deployments.
	doubt = 50 * clock.Milli
	// lastShare of the events that the longest item of a job lacks is the least
	// at which another may become the last: two slow moments and a load of
	// weights stretch the longest by a third.
	lastShare = 0.7
	// loadCost is how much longer an event takes for each further run in
	// progress, as a share; step times grow little with the batch.
	loadCost = 0.03
	// unknownPace is used while no engine has a known one, in ms an event.
	unknownPace = 40.0
	// more is what an item that has passed its estimate is still expected to
	// make, as a share of what it has made.
	more   = 0.3
	least  = 4.0
	median = 0.5
)

// Engine is an engine.
type Engine struct {
	ID            string
	Running       int // runs in progress
	Slots         int
	EventInterval float64      // ms between two events, 0 if not known
	RoundTrip     clock.Millis // way there and back
	CoolingDown   bool         // refused or failed just now
	// Hiccup tells that the engine is slower than usual at this moment.
	SlowNow bool
	// Steady tells that its streams show at this moment that it is not.
	SteadyNow bool
	// Sure tells that all this was heard of just now.
	Fresh bool
}

// Item is an item that waits.
type Item struct {
	JobIndex       int          // place of its job in the caller's list
	AcceptedAt     clock.Millis // when its job was accepted
	DueAfter       clock.Millis // span after which its results are due
	Index          int
	ExpectedEvents int    // estimated events, 0 if not known
	Received       int    // events that are held already
	Avoid          string // engine that it just left, empty for none
}

// LatestStart returns when an item has to start at the latest, if an event takes
// a span in ms (rule 1).
func (w *Item) LatestStart(pace float64) clock.Millis {
	return w.AcceptedAt + max(0, w.DueAfter-clock.Millis(pace*float64(w.ExpectedEvents-w.Received)))
}

// Sort puts wants into the order of rule 1.
func Sort(ws []Item, pace float64) {
	slices.SortStableFunc(ws, func(a, b Item) int {
		return cmp.Or(
			cmp.Compare(a.LatestStart(pace), b.LatestStart(pace)),
			cmp.Compare(b.ExpectedEvents-b.Received, a.ExpectedEvents-a.Received),
		)
	})
}

// Pool is a view of the seats.
type Pool struct {
	seats []*Engine
	mid   float64 // median pace
}

// New returns a plan over seats.
func New(ss []*Engine) *Pool {
	p := &Pool{seats: ss, mid: unknownPace}
	var paces []float64
	for _, s := range ss {
		if s.EventInterval > 0 {
			paces = append(paces, s.EventInterval)
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		p.mid = paces[int(median*float64(len(paces)-1))]
	}
	return p
}

func (p *Pool) pace(s *Engine) float64 {
	if s.EventInterval > 0 {
		return s.EventInterval
	}
	return p.mid
}

// MedianInterval returns the usual span between two events, in ms.
func (p *Pool) MedianInterval() float64 { return p.mid }

// Engines returns all seats.
func (p *Pool) Engines() []*Engine { return p.seats }

// Engine returns a seat by its engine's identity, nil if there is none.
func (p *Pool) Engine(id string) *Engine {
	for _, s := range p.seats {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// IsSlow reports whether a seat is slow.
func (p *Pool) IsSlow(s *Engine) bool { return p.pace(s) > slowBy*p.mid }

// Remaining returns how many events an item is expected to make yet.
func Remaining(size, made int) float64 {
	return max(float64(size-made), more*float64(made), least)
}

func (p *Pool) time(s *Engine, left float64) clock.Millis {
	t := clock.Millis(left*p.pace(s)*(1+loadCost*float64(s.Running))) + s.RoundTrip
	switch { // Short work meets less of a slow moment.
	case s.SlowNow:
		t += min(hiccup, t)
	case !s.SteadyNow: // rule 6
		t += min(doubt, t)
	}
	return t
}

// Best returns the seat for an item, nil if it should wait.
func (p *Pool) Best(w Item) *Engine {
	left := Remaining(w.ExpectedEvents, w.Received)
	var best *Engine
	var bestTime clock.Millis
	fast := false // an engine that is not slow exists, free or not
	for _, s := range p.seats {
		fast = fast || !p.IsSlow(s)
	}
	for _, s := range p.seats {
		if s.CoolingDown || s.Running >= s.Slots || s.ID == w.Avoid && len(p.seats) > 1 {
			continue
		}
		t := p.time(s, left)
		if fast && p.IsSlow(s) && t > soon { // rule 3
			continue
		}
		if best == nil || t < bestTime { // rule 2
			best, bestTime = s, t
		}
	}
	return best
}

// MoveTarget returns the seat to which an item that runs at a seat should move, nil
// if it should stay (rules 4 and 5). Last is how many events the longest item of
// its job lacks.
func (p *Pool) MoveTarget(at *Engine, size, made int, last float64) *Engine {
	left := Remaining(size, made)
	if !p.IsSlow(at) && (!at.SlowNow || left < lastShare*last) {
		return nil
	}
	to := p.Best(Item{ExpectedEvents: size, Received: made, Avoid: at.ID})
	if to == nil || to == at || to.SlowNow || p.IsSlow(to) {
		return nil
	}
	least := saves
	if at.SlowNow {
		least = 2 * hop
	}
	// The run itself is part of the load here and not yet of the other's.
	here := *at
	here.Running--
	if p.time(&here, left)-p.time(to, left) <= least {
		return nil
	}
	return to
}
