// Package limit implements the admission control of an agent.
//
// Entries choose agents by load reports that are out of date, so the agent
// itself must refuse work beyond its slots. The agent refuses before the work
// starts, so a refusal proves that the work did not run.
//
//  1. Some slots are reserved for short work: a fixed share if there was short
//     work recently, and more by its measured demand. Several entries
//     with old reports can fill all other slots, but not these.
//  2. Two crash suspects never run at the same time.
//  3. A refusal carries a retry-after, the time until a slot is likely to be
//     free. For short work it follows from the rate at which work has ended
//     recently.
//
// # Usage
//
//	l := limit.New(16)
//	if err := l.Admit(now, "agent-1", req, maxRetryAfter); err != nil { refuse }
//	l.Release(now, req)
package limit

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

const (
	reservedDivisor    = 8                 // after short work, one slot in this many is reserved, whatever the demand
	reservationTTL     = 30 * clock.Second // since the last short work
	maxReservedDivisor = 2                 // by demand, at most one slot in this many is reserved
	demandHeadroom     = 1.25              // multiple of the demand that is reserved
	demandTimeConstant = 2 * clock.Second
	endIntervalWeight  = 0.2 // EWMA weight of a new interval
	minRetryAfter      = 20 * clock.Milli
)

// Request describes a piece of work for admission.
type Request struct {
	Short        bool // the work may use a reserved slot
	CrashSuspect bool // the work ran on a server that crashed
}

// Limiter counts the work in progress at one agent.
type Limiter struct {
	slots         int
	inUse         int
	shortInUse    int // slots in use by short work
	crashSuspects int
	reservedUntil clock.Millis // no slots are reserved from this time on
	shortDemand   float64      // slots that short work needs, as a moving average
	demandAt      clock.Millis // time of the last update of shortDemand
	lastEnd       clock.Millis
	endInterval   float64 // ms between two ends of work, as a moving average
}

// New returns a limiter for a number of slots.
func New(slots int) *Limiter { return &Limiter{slots: slots} }

// Reserved returns the fixed share of an agent's slots that is reserved for
// short work. An agent with fewer than eight slots reserves none.
func Reserved(slots int) int { return slots / reservedDivisor }

// InUse returns the number of slots in use.
func (l *Limiter) InUse() int { return l.inUse }

// reserved returns how many slots must stay free for short work now, by rule 1.
func (l *Limiter) reserved(now clock.Millis) int {
	if now >= l.reservedUntil {
		return 0
	}
	byDemand := min(int(demandHeadroom*l.shortDemand), l.slots/maxReservedDivisor) - l.shortInUse
	return max(Reserved(l.slots), byDemand)
}

// updateDemand updates the demand by the number of slots that short work has
// used since the last update.
func (l *Limiter) updateDemand(now clock.Millis, shortInUse int) {
	decay := math.Exp(-float64(now-l.demandAt) / float64(demandTimeConstant))
	l.shortDemand += (1 - decay) * (float64(shortInUse) - l.shortDemand)
	l.demandAt = now
}

// Admit takes a slot for the request, or returns an error with a retry-after of
// at most maxWait.
func (l *Limiter) Admit(now clock.Millis, n ident.Node, req Request, maxWait clock.Millis) error {
	l.updateDemand(now, l.shortInUse)
	usable := l.slots
	if req.Short {
		l.reservedUntil = now + reservationTTL
	} else {
		usable -= l.reserved(now) // rule 1
	}
	switch {
	case l.inUse >= usable:
		return fault.New(fault.Overloaded, "agent "+string(n)+" has no free slot").WithRetryAfter(l.retryAfter(req, maxWait))
	case req.CrashSuspect && l.crashSuspects > 0: // rule 2
		return fault.New(fault.Overloaded, "agent "+string(n)+" runs another suspect of a crash").WithRetryAfter(maxWait)
	}
	l.inUse++
	if req.Short {
		l.shortInUse++
	}
	if req.CrashSuspect {
		l.crashSuspects++
	}
	return nil
}

// retryAfter returns the wait by rule 3. Work that is not short gets the
// maximum, because it must wait until several slots become free.
func (l *Limiter) retryAfter(req Request, maxWait clock.Millis) clock.Millis {
	if !req.Short || l.endInterval == 0 {
		return maxWait
	}
	return min(maxWait, max(minRetryAfter, clock.Millis(l.endInterval)))
}

// Release frees the slot of an admitted request.
func (l *Limiter) Release(now clock.Millis, req Request) {
	l.updateDemand(now, l.shortInUse)
	if l.lastEnd > 0 {
		l.endInterval += endIntervalWeight * (float64(now-l.lastEnd) - l.endInterval)
	}
	l.lastEnd = now
	l.inUse--
	if req.Short {
		l.shortInUse--
	}
	if req.CrashSuspect {
		l.crashSuspects--
	}
}
