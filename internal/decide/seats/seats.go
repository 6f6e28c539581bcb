// Package seats decides which item of the open jobs goes next, and to which
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
//	seat := seats.New(all).Best(want)
package seats

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

// Seat is an engine.
type Seat struct {
	ID    string
	Open  int // runs in progress
	Slots int
	Pace  float64      // ms between two events, 0 if not known
	Far   clock.Millis // way there and back
	Cool  bool         // refused or failed just now
	// Hiccup tells that the engine is slower than usual at this moment.
	Hiccup bool
	// Steady tells that its streams show at this moment that it is not.
	Steady bool
	// Sure tells that all this was heard of just now.
	Sure bool
}

// Want is an item that waits.
type Want struct {
	Job   int          // place of its job in the caller's list
	At    clock.Millis // when its job was accepted
	Due   clock.Millis // span after which its results are due
	Item  int
	Size  int    // estimated events, 0 if not known
	Made  int    // events that are held already
	NotAt string // engine that it just left, empty for none
}

// LatestStart returns when an item has to start at the latest, if an event takes
// a span in ms (rule 1).
func (w *Want) LatestStart(pace float64) clock.Millis {
	return w.At + max(0, w.Due-clock.Millis(pace*float64(w.Size-w.Made)))
}

// Sort puts wants into the order of rule 1.
func Sort(ws []Want, pace float64) {
	slices.SortStableFunc(ws, func(a, b Want) int {
		return cmp.Or(
			cmp.Compare(a.LatestStart(pace), b.LatestStart(pace)),
			cmp.Compare(b.Size-b.Made, a.Size-a.Made),
		)
	})
}

// Plan is a view of the seats.
type Plan struct {
	seats []*Seat
	mid   float64 // median pace
}

// New returns a plan over seats.
func New(ss []*Seat) *Plan {
	p := &Plan{seats: ss, mid: unknownPace}
	var paces []float64
	for _, s := range ss {
		if s.Pace > 0 {
			paces = append(paces, s.Pace)
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		p.mid = paces[int(median*float64(len(paces)-1))]
	}
	return p
}

func (p *Plan) pace(s *Seat) float64 {
	if s.Pace > 0 {
		return s.Pace
	}
	return p.mid
}

// Pace returns the usual span between two events, in ms.
func (p *Plan) Pace() float64 { return p.mid }

// Seats returns all seats.
func (p *Plan) Seats() []*Seat { return p.seats }

// Seat returns a seat by its engine's identity, nil if there is none.
func (p *Plan) Seat(id string) *Seat {
	for _, s := range p.seats {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// Slow reports whether a seat is slow.
func (p *Plan) Slow(s *Seat) bool { return p.pace(s) > slowBy*p.mid }

// Left returns how many events an item is expected to make yet.
func Left(size, made int) float64 {
	return max(float64(size-made), more*float64(made), least)
}

func (p *Plan) time(s *Seat, left float64) clock.Millis {
	t := clock.Millis(left*p.pace(s)*(1+loadCost*float64(s.Open))) + s.Far
	switch { // Short work meets less of a slow moment.
	case s.Hiccup:
		t += min(hiccup, t)
	case !s.Steady: // rule 6
		t += min(doubt, t)
	}
	return t
}

// Best returns the seat for an item, nil if it should wait.
func (p *Plan) Best(w Want) *Seat {
	left := Left(w.Size, w.Made)
	var best *Seat
	var bestTime clock.Millis
	fast := false // an engine that is not slow exists, free or not
	for _, s := range p.seats {
		fast = fast || !p.Slow(s)
	}
	for _, s := range p.seats {
		if s.Cool || s.Open >= s.Slots || s.ID == w.NotAt && len(p.seats) > 1 {
			continue
		}
		t := p.time(s, left)
		if fast && p.Slow(s) && t > soon { // rule 3
			continue
		}
		if best == nil || t < bestTime { // rule 2
			best, bestTime = s, t
		}
	}
	return best
}

// Move returns the seat to which an item that runs at a seat should move, nil
// if it should stay (rules 4 and 5). Last is how many events the longest item of
// its job lacks.
func (p *Plan) Move(at *Seat, size, made int, last float64) *Seat {
	left := Left(size, made)
	if !p.Slow(at) && (!at.Hiccup || left < lastShare*last) {
		return nil
	}
	to := p.Best(Want{Size: size, Made: made, NotAt: at.ID})
	if to == nil || to == at || to.Hiccup || p.Slow(to) {
		return nil
	}
	least := saves
	if at.Hiccup {
		least = 2 * hop
	}
	// The run itself is part of the load here and not yet of the other's.
	here := *at
	here.Open--
	if p.time(&here, left)-p.time(to, left) <= least {
		return nil
	}
	return to
}
