// Package sched decides which item of the open jobs starts next, and on which
// engine.
//
//  1. Items of all jobs are sorted by their latest start: an item that starts
//     later is expected to end after the results of its job are due. So a long
//     item of a later job may start before a short item of an earlier job, since
//     a group is complete only with its last item. The latest start is never
//     before the job was accepted, so that an item that can't meet its deadline
//     any more does not displace other items.
//  2. An item is assigned to the engine with a free slot on which it is expected
//     to end first, by the engine's event interval, load and round-trip time. What its
//     prompt costs on the way counts as time; see package zones.
//  3. A slow engine gets only items that are expected to end soon on it; longer
//     items wait for another engine, unless all engines are slow. No engine gets an item
//     that is expected to end sooner at a faster one, the wait for a slot there
//     included: so short items start on slower engines, and long ones wait, at most for
//     as long as a slower engine takes.
//  4. An item on a slow engine, or on an engine in a transient slowdown, migrates
//     to a faster engine with a free slot if no item is waiting and the
//     migration saves enough time. The new engine processes the output so far as
//     part of the prompt, which takes much less time than a transient slowdown.
//  5. Only items that may be the last of their job migrate, by the pace of their own
//     engines: a migration costs a connection and prompt processing, and the
//     other items end before the last one anyway. Any item leaves a slow engine if it is
//     not expected to end early in the time until its results are due. The last item
//     migrates even if it would end early: its trainer asks for the next step then.
//  6. An engine without a current measurement may be in a transient slowdown, so
//     an engine that is known to be at its usual speed is preferred.
//  7. An item goes on only at engines with the software that began its output. If none
//     of them has a free slot, the item waits at most as long as it would take to
//     generate its output so far once more. Then, or if no such engine is left, it
//     starts over as soon as any engine is free.
//  8. No item migrates to an engine that limits the rate of requests: the request is
//     better spent on an item that waits.
//  9. An item avoids the engines that interrupted it or gave it a faulty answer while
//     another engine suits the item: it answers, has the item's software, and is fast
//     enough for what is left or may be.
//  10. An engine without a measurement of the moment is expected to be as fast as usual.
//     Engines of one service may differ by a multiple, and between two training steps
//     most of them are idle.
//
// [View.Verdict] is the one answer to the question whether an engine may take an item
// now. Whatever counts free slots for an item counts them by it: a slot that the item
// can't take is none.
//
// An engine is slow by comparison with the median of the known event intervals,
// so that a change that slows all engines alike makes none of them slow.
//
// # Usage
//
//	pool := sched.New(engines)
//	sched.Sort(items, pool.MedianInterval())
//	engine := pool.Best(items[0])
package sched

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
)

const (
	// slowRatio is the event interval, in medians, above which an engine is slow.
	// Engines of one kind differ by less; a disturbed engine is slower by a
	// factor of 2.5 or more.
	slowRatio = 1.6
	// maxDurationOnSlow bounds the expected duration of an item that a slow engine
	// may get. It is well within the time in which the results of a training
	// step are due at both example deployments.
	maxDurationOnSlow = 2500 * clock.Milli
	// minMigrationGain is the least time that a migration off a slow engine must
	// save, since the new engine has to process the output so far.
	minMigrationGain = 400 * clock.Milli
	// slowdownCost is the expected delay of an item on an engine in a transient
	// slowdown. migrationCost is the delay that a migration causes: the new engine
	// processes the prompt, and the event that was being generated is lost.
	slowdownCost  = 300 * clock.Milli
	migrationCost = 80 * clock.Milli
	// unknownStateCost is the expected delay on an engine without a current
	// measurement: at both example deployments, one engine in six is in a transient
	// slowdown at any time.
	unknownStateCost = 50 * clock.Milli
	// lastItemRatio decides which items may become the last of their job: those that
	// take at least this share of the time of the longest item at the fastest engines.
	// Two transient slowdowns and a load of weights make the longest item take a
	// third longer.
	lastItemRatio = 0.7
	// delayReserve is the time before results are due in which an item should have
	// ended: a load of weights takes up to 2.3 s while several engines load, then the
	// output has to be scored and stored.
	delayReserve = 3 * clock.Second
	// slowdownPerRun is the share by which each further run in progress lengthens
	// the event interval. The time of a decoding step grows little with the batch
	// size.
	slowdownPerRun = 0.03
	// defaultInterval is the event interval in ms that is assumed while no
	// engine's interval is known.
	defaultInterval = 40.0
	// overrunRatio is the number of events that an item beyond its estimate is
	// still expected to generate, as a share of the events so far.
	overrunRatio = 0.3
	// minRemaining is the least number of events that any item is expected to lack.
	minRemaining   = 4.0
	medianQuantile = 0.5
)

// Engine is the state of an engine.
type Engine struct {
	ID            string
	Running       int // runs in progress
	Slots         int
	EventInterval float64 // ms between two events of a stream at present, 0 if not known
	UsualInterval float64 // the same while nothing slows the engine down, 0 if not known
	RoundTrip     clock.Millis
	PricePerKB    float64 // ms that 1,024 bytes on the way to it are worth
	Software      string  // version of its software
	Unproven      bool    // its agent would refuse to start an item now; see package permit
	InBackoff     bool    // gets no items for now, after a refusal or failure, while it loads, or by its rate limit
	Limited       bool    // it limits the rate of requests
	SlowNow       bool    // in a transient slowdown
	SteadyNow     bool    // its streams show that it is not in a transient slowdown
	Fresh         bool    // the other fields are up to date
	Loading       bool    // it has no usable weights at the moment; InBackoff is set as well
	Outdated      bool    // its agent has to be asked for its state before an item can rely on it
	Silent        bool    // its agent left requests for its state unanswered
}

// isClosed reports whether the engine can take no item at all now.
func (e *Engine) isClosed() bool { return e.Loading || e.InBackoff || e.Running >= e.Slots }

// Item is an item that needs an engine.
type Item struct {
	JobIndex       int              // index of its job in the caller's list
	AcceptedAt     clock.Millis     // when its job was accepted
	DueAfter       clock.Millis     // time from then until the results are due
	Index          int              // in its job
	ExpectedEvents int              // estimated number of events in total, 0 if not known
	Received       int              // number of events received so far
	PromptKB       float64          // size of what an engine has to be sent, in 1,024 bytes
	Software       string           // that made these events
	WaitingFor     clock.Millis     // time since the last attempt with events ended, or the item was loaded
	Stalled        bool             // it runs, and its engine generates no event of it
	Ahead          int              // items that wait for engines of the pool and come before it
	PendingFor     clock.Millis     // time since it could have started
	Avoid          sets.Set[string] // IDs of the engines that failed it a short time ago (rule 9)
}

// runsOn reports whether an item can go on, or start, at an engine (rule 7).
func (it *Item) runsOn(e *Engine) bool { return it.Received == 0 || e.Software == it.Software }

// LatestStart returns the latest start of an item, given an event interval in ms
// (rule 1).
func (it *Item) LatestStart(interval float64) clock.Millis {
	return it.AcceptedAt + max(0, it.DueAfter-clock.Millis(interval*float64(it.ExpectedEvents-it.Received)))
}

// Sort sorts items by rule 1, given an event interval in ms. Of items with the
// same latest start, the longer one comes first.
func Sort(items []Item, interval float64) {
	slices.SortStableFunc(items, func(a, b Item) int {
		return cmp.Or(
			cmp.Compare(a.LatestStart(interval), b.LatestStart(interval)),
			cmp.Compare(b.ExpectedEvents-b.Received, a.ExpectedEvents-a.Received),
		)
	})
}

// Pool is a set of engines that items can be assigned to. While a pool is in use, its
// engines may get runs and go into backoff, but none may get free again.
type Pool struct {
	engines        []*Engine
	open           []*Engine // those that were free when last looked at, in the same order
	medianInterval float64
	meanEvents     float64 // that a run of the pool takes, 0 if not known
	anyFast        bool    // whether an engine that answers, free or not, is not slow
	fastest        speedClass
}

// speedClass is a set of engines of about the same speed.
type speedClass struct {
	interval float64 // mean event interval in ms
	loaded   float64 // the same with all slots in use
	slots    int
}

// New returns a pool of engines.
func New(engines []*Engine) *Pool {
	p := &Pool{engines: engines, open: slices.Clone(engines), medianInterval: defaultInterval}
	intervals := make([]float64, 0, len(engines))
	for _, e := range engines {
		if interval := e.interval(); interval > 0 {
			intervals = append(intervals, interval)
		}
	}
	if len(intervals) > 0 {
		slices.Sort(intervals)
		p.medianInterval = intervals[int(medianQuantile*float64(len(intervals)-1))]
	}
	p.anyFast = slices.ContainsFunc(engines, p.isFast)
	p.fastest = p.fastestClass(func(*Engine) bool { return true })
	return p
}

// fastestClass returns the fastest of the selected engines that take items, free or not,
// and those that are not slow compared with it.
func (p *Pool) fastestClass(selected func(*Engine) bool) speedClass {
	takes := func(e *Engine) bool {
		return selected(e) && !e.Silent && !e.Loading && !e.InBackoff && !e.SlowNow && e.interval() > 0
	}
	least := 0.0
	for _, e := range p.engines {
		if takes(e) && (least == 0 || e.interval() < least) {
			least = e.interval()
		}
	}
	var class speedClass
	for _, e := range p.engines {
		if takes(e) && e.interval() <= slowRatio*least {
			class.slots += e.Slots
			class.interval += e.interval() * float64(e.Slots)
			class.loaded += e.interval() * (1 + slowdownPerRun*float64(e.Slots-1)) * float64(e.Slots)
		}
	}
	if class.slots > 0 {
		class.interval /= float64(class.slots)
		class.loaded /= float64(class.slots)
	}
	return class
}

// interval returns the event interval that is expected of an engine in ms, 0 if it is
// not known (rule 10).
func (e *Engine) interval() float64 {
	if e.EventInterval > 0 {
		return e.EventInterval
	}
	return e.UsualInterval
}

func (p *Pool) eventInterval(e *Engine) float64 {
	if interval := e.interval(); interval > 0 {
		return interval
	}
	return p.medianInterval
}

// MedianInterval returns the median of the engines' event intervals, in ms.
func (p *Pool) MedianInterval() float64 { return p.medianInterval }

// SetMeanEvents sets how many events the runs of the pool's engines take in the mean.
// Without it no item waits for a faster engine (rule 3).
func (p *Pool) SetMeanEvents(n float64) { p.meanEvents = n }

// Engines returns all engines of the pool.
func (p *Pool) Engines() []*Engine { return p.engines }

// IsSlow reports whether an engine is slow compared with the median.
func (p *Pool) IsSlow(e *Engine) bool { return p.eventInterval(e) > slowRatio*p.medianInterval }

// isFast reports whether an engine answers and is not slow.
func (p *Pool) isFast(e *Engine) bool { return !e.Silent && !p.IsSlow(e) }

// Remaining returns how many events an item is still expected to generate, given
// its estimated total and the events so far.
func Remaining(expected, received int) float64 {
	return max(float64(expected-received), overrunRatio*float64(received), minRemaining)
}

// expectedDuration returns how long an engine is expected to take for a number
// of remaining events (rule 2).
func (p *Pool) expectedDuration(e *Engine, remaining float64) clock.Millis {
	d := clock.Millis(remaining*p.eventInterval(e)*(1+slowdownPerRun*float64(e.Running))) + e.RoundTrip
	switch { // A slowdown delays an item by no more than the item takes.
	case e.SlowNow:
		d += min(slowdownCost, d)
	case !e.SteadyNow: // rule 6
		d += min(unknownStateCost, d)
	}
	return d
}

// Best returns the engine for an item, nil if the item should wait (rules 2, 3
// and 6).
func (p *Pool) Best(item Item) *Engine {
	return p.best(item, false)
}

// best is Best or, if migrating is set, chooses also among unproven engines and those
// that are not the fastest, and not among limited ones (rule 8).
func (p *Pool) best(item Item, migrating bool) *Engine {
	if len(p.open) == 0 {
		return nil
	}
	view := p.View(item)
	var best *Engine
	var bestDuration clock.Millis
	anyClosed := false
	for _, e := range p.open {
		if e.isClosed() {
			anyClosed = true
			continue
		}
		if v := view.Verdict(e); v != Free && (v < SoonerElsewhere || !migrating) || e.Limited && migrating {
			continue
		}
		d := p.expectedDuration(e, view.remaining) + clock.Millis(e.PricePerKB*item.PromptKB)
		if best == nil || d < bestDuration { // rule 2
			best, bestDuration = e, d
		}
	}
	if anyClosed {
		p.open = slices.DeleteFunc(p.open, (*Engine).isClosed)
	}
	return best
}

// BestToStartOver returns the engine at which an item should start over, nil if the item
// should wait (rule 7).
func (p *Pool) BestToStartOver(item Item) *Engine {
	if !p.startsOver(item) {
		return nil
	}
	item.Received = 0
	return p.best(item, false)
}

// startsOver reports whether an item should start over as soon as an engine is free, since
// none of its software is left or it has waited for one for too long.
func (p *Pool) startsOver(item Item) bool {
	if item.Received == 0 {
		return false
	}
	served := slices.ContainsFunc(p.engines, item.runsOn)
	return !served || item.WaitingFor >= clock.Millis(p.medianInterval*float64(item.Received))
}
