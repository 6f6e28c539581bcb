package match

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/choice"
	"github.com/jujuberamp/jujuberamp/internal/decide/limit"
	"github.com/jujuberamp/jujuberamp/internal/decide/pace"
)

// server is the matcher's state of one backend server.
type server struct {
	Server
	pool                *pool
	locality            locality
	position            choice.Position
	tracker             pace.Tracker
	lastSeen            clock.Millis
	ownItems            int // attempts of this entry in progress there
	crashSuspects       int
	backoffUntil        clock.Millis // no work before this time, after a refusal or failure
	longBackoffUntil    clock.Millis // only short work before this time, after a refusal
	suspectBackoffUntil clock.Millis // no crash suspects before this time, after the refusal of one
	failures            int          // in a row
	lastProbe           clock.Millis
	removed             bool
	countedFree         int // free slots included in pool.freeSlots
	countedSlots        int // slots included in pool.slots
}

// Position implements [choice.Member].
func (s *server) Position() *choice.Position { return &s.position }

// load returns the number of items that run on the server, by rule 6.
func (s *server) load() int { return s.ownItems + max(0, s.Running-s.OwnRunning) }

func (s *server) loadRatio() float64 { return float64(s.load()) / float64(max(1, s.Slots)) }

// isUsable reports whether the server is alive, ready and not in backoff.
func (s *server) isUsable(now clock.Millis, p Policy) bool {
	return !s.Leaving && !s.Loading && now-s.lastSeen <= p.LivenessTimeout && now >= s.backoffUntil
}

// updateCapacity recomputes the server's share of the pool's slots and whether
// it is available for new work. Slow servers provide no slots.
func (s *server) updateCapacity(now clock.Millis, p Policy) {
	slots, freeSlots := 0, 0
	if !s.removed && s.isUsable(now, p) && !s.tracker.Slow() {
		slots = s.Slots
		freeSlots = max(0, s.Slots-s.load())
	}
	s.setCapacity(slots, freeSlots)
}

func (s *server) clearCapacity() { s.setCapacity(0, 0) }

func (s *server) setCapacity(slots, freeSlots int) {
	s.pool.slots += slots - s.countedSlots
	s.pool.freeSlots += freeSlots - s.countedFree
	s.countedSlots, s.countedFree = slots, freeSlots
	if freeSlots > 0 {
		s.pool.available[s.locality].Add(s)
	} else {
		s.pool.available[s.locality].Remove(s)
	}
}

// hasSlot reports whether the server has a free slot for a band. The agent
// reserves some slots for short work while there is any.
func (s *server) hasSlot(b band) bool {
	if b == short || s.pool.shortDemand < minShortDemand {
		return s.load() < s.Slots
	}
	return s.load() < s.Slots-limit.Reserved(s.Slots)
}

// takesSuspect reports whether the server may run a crash suspect, by rules 6 and 12.
func (s *server) takesSuspect(now clock.Millis) bool {
	return s.crashSuspects == 0 && now >= s.suspectBackoffUntil
}

// endAttempt updates the load and the backoff after an attempt.
func (s *server) endAttempt(now clock.Millis, att *attempt, res Result) {
	s.ownItems--
	if att.active.item.CrashSuspect {
		s.crashSuspects--
	}
	switch res.Outcome {
	case Served:
		s.failures = 0
	case Refused:
		until := now + max(res.RetryAfter, minRefusalBackoff)
		switch {
		case att.active.item.CrashSuspect: // The agent may run one of another entry and still have free slots.
			s.suspectBackoffUntil = max(s.suspectBackoffUntil, until)
		case att.band != short: // The agent may still have slots reserved for short work.
			s.longBackoffUntil = max(s.longBackoffUntil, until)
		default:
			s.backoffUntil = max(s.backoffUntil, until)
		}
	case Failed:
		s.backoffUntil = max(s.backoffUntil, now+min(minFailureBackoff<<min(s.failures, 5), maxFailureBackoff))
		s.failures++
	}
}

// activeItem is an item in progress on one node, or on two with a hedge.
type activeItem struct {
	item     Item
	pool     *pool
	stats    *classStats
	attempts []*attempt
}

// attempt is the execution of an item on one server.
type attempt struct {
	active     *activeItem
	server     *server
	band       band
	startedAt  clock.Millis
	stream     pace.Stream
	tokenCount int // produced so far
}

func (a *activeItem) attemptOn(n ident.Node) *attempt {
	for _, att := range a.attempts {
		if att.server.Node == n {
			return att
		}
	}
	return nil
}

func (a *activeItem) removeAttempt(att *attempt) {
	for i, o := range a.attempts {
		if o == att {
			a.attempts = append(a.attempts[:i:i], a.attempts[i+1:]...)
			return
		}
	}
}
