package match

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/choice"
	"github.com/jujuberamp/jujuberamp/internal/decide/limit"
	"github.com/jujuberamp/jujuberamp/internal/decide/pace"
)

// server is one candidate.
type server struct {
	Server
	pool     *pool
	tier     tier
	slot     choice.Position
	pace     pace.Tracker
	heard    clock.Millis
	own      int
	suspects int
	shut     clock.Millis // closed until then, after a refusal or failure
	shutLong clock.Millis // closed until then to all but short work
	failures int
	probed   clock.Millis
	gone     bool
	counted  int // credits counted in the pool
	alive    int // slots counted in the pool
}

// Slot implements [route.Member].
func (s *server) Position() *choice.Position { return &s.slot }

// load applies rule 6.
func (s *server) load() int { return s.own + max(0, s.Running-s.OwnRunning) }

func (s *server) ratio() float64 { return float64(s.load()) / float64(max(1, s.Slots)) }

// lives reports whether the server may get any work at all.
func (s *server) lives(now clock.Millis, p Policy) bool {
	return !s.Leaving && !s.Loading && now-s.heard <= p.LivenessTimeout && now >= s.shut
}

// place opens or closes the server for new work by what is known now.
func (s *server) place(now clock.Millis, p Policy) {
	slots, credits := 0, 0
	if !s.gone && s.lives(now, p) && !s.pace.Slow() {
		slots = s.Slots
		credits = max(0, s.Slots-s.load())
	}
	s.count(slots, credits)
}

func (s *server) close() { s.count(0, 0) }

func (s *server) count(slots, credits int) {
	s.pool.slots += slots - s.alive
	s.pool.free += credits - s.counted
	s.alive, s.counted = slots, credits
	if credits > 0 {
		s.pool.open[s.tier].Add(s)
	} else {
		s.pool.open[s.tier].Del(s)
	}
}

// room reports whether the server has a slot for a band. The agent keeps some
// for short work while there is any.
func (s *server) room(b band) bool {
	if b == short || s.pool.demand < fewShort {
		return s.load() < s.Slots
	}
	return s.load() < s.Slots-limit.Reserved(s.Slots)
}

// ended takes in the end of a run.
func (s *server) ended(now clock.Millis, r *run, res Result) {
	s.own--
	if r.flight.item.CrashSuspect {
		s.suspects--
	}
	switch res.Outcome {
	case Served:
		s.failures = 0
	case Refused:
		if r.band != short { // The agent may still have slots kept for short work.
			s.shutLong = max(s.shutLong, now+max(res.RetryAfter, leastShut))
			return
		}
		s.shut = max(s.shut, now+max(res.RetryAfter, leastShut))
	case Failed:
		s.shut = max(s.shut, now+min(failedFor<<min(s.failures, 5), failedMost))
		s.failures++
	}
}

// flight is one item in progress, on one node or, with a hedge, on two.
type flight struct {
	item  Item
	pool  *pool
	class *class
	runs  []*run
}

type run struct {
	flight *flight
	server *server
	band   band
	began  clock.Millis
	stream pace.Stream
	shown  int // tokens
}

func (f *flight) on(n ident.Node) *run {
	for _, r := range f.runs {
		if r.server.Node == n {
			return r
		}
	}
	return nil
}

func (f *flight) drop(r *run) {
	for i, o := range f.runs {
		if o == r {
			f.runs = append(f.runs[:i:i], f.runs[i+1:]...)
			return
		}
	}
}
