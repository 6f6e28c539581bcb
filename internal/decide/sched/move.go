package sched

import (
	"cmp"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
)

// MoveReason says why an item should leave its engine.
type MoveReason uint8

// The reasons.
const (
	SlowEngine MoveReason = iota // the engine is slow compared with the others
	Slowdown                     // the engine is in a transient slowdown
	Stalled                      // the engine generates no event of the item
)

var moveReasonNames = [...]string{SlowEngine: "slow-engine", Slowdown: "slowdown", Stalled: "stalled"}

func (r MoveReason) String() string { return moveReasonNames[r] }

// Move is a migration of an item to another engine.
type Move struct {
	From, To *Engine
	Reason   MoveReason
	Gain     clock.Millis // how much earlier the item is expected to end
}

// Move returns the migration of an item that runs on an engine, or false if it should
// stay (rules 4 and 5). The caller has to bring an unproven engine up to date before the
// migration. Longest is the number of events that the longest item of the job still
// lacks.
func (p *Pool) Move(now clock.Millis, from *Engine, item Item, longest float64) (Move, bool) {
	remaining := Remaining(item.ExpectedEvents, item.Received)
	// The run of this item counts as load on the current engine, but not yet on
	// the other one.
	current := *from
	current.Running--
	current.SlowNow = from.SlowNow || item.Stalled
	left := p.expectedDuration(&current, remaining)
	m := Move{From: from, Reason: SlowEngine}
	switch {
	case p.IsSlow(from):
	case item.Stalled:
		m.Reason = Stalled
	case from.SlowNow:
		m.Reason = Slowdown
	default:
		return Move{}, false
	}
	isLast := float64(left) >= lastItemRatio*longest*cmp.Or(p.fastest.interval, p.medianInterval)
	if !isLast && (m.Reason != SlowEngine || item.endsEarly(now+left)) {
		return Move{}, false
	}
	item.Software, item.Avoid = from.Software, sets.Of(append(item.Avoid.Sorted(), from.ID)...)
	m.To = p.best(item, true)
	if m.To == nil || m.To == from || m.To.SlowNow || p.IsSlow(m.To) {
		return Move{}, false
	}
	minGain := minMigrationGain
	if current.SlowNow {
		minGain = 2 * migrationCost
	}
	if m.Gain = left - p.expectedDuration(m.To, remaining); m.Gain <= minGain {
		return Move{}, false
	}
	return m, true
}

// endsEarly reports whether an item that ends at a given time leaves enough of the time
// until its results are due for whatever else may delay them.
func (it *Item) endsEarly(end clock.Millis) bool {
	return it.DueAfter > 0 && end+delayReserve <= it.AcceptedAt+it.DueAfter
}
