package sched

import (
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// Verdict says whether an engine may take an item now or, if not, why.
type Verdict uint8

// The verdicts. With those up to Avoided an engine doesn't suit the item, whatever its
// load; with the others it can take the item later.
const (
	OtherSoftware Verdict = iota // rule 7
	TooSlow                      // rule 3
	Avoided                      // rule 9
	Loading                      // it has no usable weights
	InBackoff
	Full
	SoonerElsewhere // the item is expected to end sooner at an engine for which it has to wait
	Unproven        // it is free, but its agent would refuse the item
	Free
)

var verdictNames = [...]string{
	OtherSoftware: "other-software", TooSlow: "too-slow", Avoided: "avoided", Loading: "loading",
	InBackoff: "backoff", Full: "full", SoonerElsewhere: "sooner-elsewhere", Unproven: "unproven", Free: "free",
}

func (v Verdict) String() string { return verdictNames[v] }

// View is the pool as one item sees it.
type View struct {
	pool      *Pool
	item      Item
	remaining float64
	anyFast   bool // whether an engine on which the item can run, free or not, is not slow
	fastest   speedClass
	avoids    bool // whether the item avoids the engines that failed it
}

// View returns the pool as an item sees it.
func (p *Pool) View(item Item) View {
	v := View{pool: p, item: item, remaining: Remaining(item.ExpectedEvents, item.Received), anyFast: p.anyFast, fastest: p.fastest}
	if item.Received > 0 {
		v.fastest = p.fastestClass(item.runsOn)
		v.anyFast = slices.ContainsFunc(p.engines, func(e *Engine) bool { return item.runsOn(e) && p.isFast(e) })
	}
	v.avoids = len(item.Avoid) > 0 && slices.ContainsFunc(p.engines, func(e *Engine) bool { // rule 9
		return !item.Avoid.Has(e.ID) && !e.Silent && item.runsOn(e) && (e.Outdated || !v.isTooSlow(e))
	})
	return v
}

// ViewOfNeeds returns the pool as an item sees it whose engines are to be asked for their
// states: one that starts over sees engines with other software, too.
func (p *Pool) ViewOfNeeds(item Item) View {
	if p.startsOver(item) {
		item.Received = 0
	}
	return p.View(item)
}

// isTooSlow reports whether an engine is too slow for what is left of the item (rule 3).
func (v *View) isTooSlow(e *Engine) bool {
	return v.anyFast && v.pool.IsSlow(e) && v.pool.expectedDuration(e, v.remaining) > maxDurationOnSlow
}

// endsSoonerElsewhere reports whether the item is expected to end sooner at one of the
// fastest engines than at e, the wait for a slot there included (rule 3). The slots of
// the fastest engines become free one after the other, so the wait is a share of the time
// that a run takes there. An item that has waited for as long as e would take doesn't rely
// on that any more.
func (v *View) endsSoonerElsewhere(e *Engine) bool {
	if v.fastest.slots == 0 || v.pool.meanEvents == 0 || v.pool.eventInterval(e) <= slowRatio*v.fastest.loaded {
		return false
	}
	wait := v.pool.meanEvents * v.fastest.loaded * float64(v.item.Ahead+1) / float64(v.fastest.slots)
	duration := v.pool.expectedDuration(e, v.remaining)
	return v.item.PendingFor < duration && clock.Millis(wait+v.remaining*v.fastest.loaded) < duration
}

// Verdict returns whether an engine may take the item now, by its last known state.
func (v *View) Verdict(e *Engine) Verdict {
	switch {
	case !v.item.runsOn(e):
		return OtherSoftware
	case v.avoids && v.item.Avoid.Has(e.ID):
		return Avoided
	case v.isTooSlow(e):
		return TooSlow
	case e.Loading:
		return Loading
	case e.InBackoff:
		return InBackoff
	case e.Running >= e.Slots:
		return Full
	case v.endsSoonerElsewhere(e):
		return SoonerElsewhere
	case e.Unproven:
		return Unproven
	}
	return Free
}

// IsUnknown reports whether an engine may suit the item, but its state has to be asked
// for first. An engine that was slow may no longer be.
func (v *View) IsUnknown(e *Engine) bool {
	verdict := v.Verdict(e)
	return e.Outdated && verdict != OtherSoftware && verdict != Avoided
}

// Suits reports whether an engine can take the item now or when it has a free slot.
func (v *View) Suits(e *Engine) bool { return v.Verdict(e) > Avoided }

// Count returns the number of engines by the verdict on them, and of those whose state
// is unknown.
func (v *View) Count() (byVerdict map[string]int, unknown int) {
	byVerdict = make(map[string]int)
	for _, e := range v.pool.engines {
		byVerdict[v.Verdict(e).String()]++
		if v.IsUnknown(e) {
			unknown++
		}
	}
	return byVerdict, unknown
}
