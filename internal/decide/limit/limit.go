// Package limit decides whether an agent admits work.
//
// Entries choose agents by load reports that lag, so the agent itself must
// refuse what exceeds its slots. It refuses before anything runs, so a refusal
// proves that the work was not run.
//
//  1. Some slots are kept for short work: a fixed share while any has come
//     lately, and more by its measured demand. Several entries that each see
//     old reports can fill all other slots, but not these.
//  2. Two suspects of a crash never run beside each other.
//  3. A refusal tells to come back when a slot is likely to be free: for short
//     work by the pace at which work has ended lately.
//
// # Usage
//
//	l := limit.New(16)
//	if err := l.Admit(now, "agent-1", limit.Ask{Short: true}, hint); err != nil { refuse }
//	l.Done(now, ask)
package limit

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

const (
	keptFor   = 8                 // slots for each one kept for short work
	keptWhile = 30 * clock.Second // since the last short work
	keptMost  = 2                 // slots for each one kept by demand
	headroom  = 1.25              // of the demand of short work
	memory    = 2 * clock.Second  // of the demand
	endShare  = 0.2               // weight of a new span between two ends
	leastHint = 20 * clock.Milli
)

// Request is what admission looks at.
type Request struct {
	Short        bool // may use a kept slot
	CrashSuspect bool // ran at a crash before
}

// Limiter counts the work of one agent.
type Limiter struct {
	slots    int
	open     int
	short    int // of open
	suspects int
	until    clock.Millis // slots are kept until then
	demand   float64      // slots that short work needs, smoothed
	at       clock.Millis // of demand
	ended    clock.Millis
	between  float64 // ms between two ends, smoothed
}

// New returns a limit of some slots.
func New(slots int) *Limiter { return &Limiter{slots: slots} }

// Reserved returns how many of an agent's slots only short work may use, while
// any has come lately. A small agent keeps none.
func Reserved(slots int) int { return slots / keptFor }

// InUse returns how much work is in progress.
func (l *Limiter) InUse() int { return l.open }

// kept returns how many free slots are left for short work now.
func (l *Limiter) kept(now clock.Millis) int {
	if now >= l.until {
		return 0
	}
	byDemand := min(int(headroom*l.demand), l.slots/keptMost) - l.short
	return max(Reserved(l.slots), byDemand)
}

// measure takes in how many slots short work has held since the last time.
func (l *Limiter) measure(now clock.Millis, short int) {
	fade := math.Exp(-float64(now-l.at) / float64(memory))
	l.demand += (1 - fade) * (float64(short) - l.demand)
	l.at = now
}

// Admit takes a slot, or refuses and tells when to come back: hint at most.
func (l *Limiter) Admit(now clock.Millis, n ident.Node, a Request, hint clock.Millis) error {
	l.measure(now, l.short)
	usable := l.slots
	if a.Short {
		l.until = now + keptWhile
	} else {
		usable -= l.kept(now) // rule 1
	}
	switch {
	case l.open >= usable:
		return fault.New(fault.Overloaded, "agent "+string(n)+" has no free slot").WithRetryAfter(l.hint(a, hint))
	case a.CrashSuspect && l.suspects > 0: // rule 2
		return fault.New(fault.Overloaded, "agent "+string(n)+" runs another suspect of a crash").WithRetryAfter(hint)
	}
	l.open++
	if a.Short {
		l.short++
	}
	if a.CrashSuspect {
		l.suspects++
	}
	return nil
}

// hint applies rule 3. Other work than short must wait for more than one end.
func (l *Limiter) hint(a Request, most clock.Millis) clock.Millis {
	if !a.Short || l.between == 0 {
		return most
	}
	return min(most, max(leastHint, clock.Millis(l.between)))
}

// Release gives the slot back.
func (l *Limiter) Release(now clock.Millis, a Request) {
	l.measure(now, l.short)
	if l.ended > 0 {
		l.between += endShare * (float64(now-l.ended) - l.between)
	}
	l.ended = now
	l.open--
	if a.Short {
		l.short--
	}
	if a.CrashSuspect {
		l.suspects--
	}
}
