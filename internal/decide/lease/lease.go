// Package lease decides who holds a lease, from the records of its stream on
// the log. The fencing number is the offset of the bid that won.
//
// The log has no conditional append, so each record names the last offset that
// its writer had read, and readers judge it by that.
//
// Rules:
//
//  1. A bid wins if it stands right behind what its writer had read. It is
//     valid for every reader, whatever else that one knows.
//  2. A renewal or release counts only under the fencing number in force.
//  3. A reader that starts after records have expired knows nothing until a
//     bid wins, or until a renewal whose writer had read up to the start of
//     what is left.
//  4. A holder's right lasts one term from the moment at which it sent the
//     record that it read back, by its own clock.
//  5. Another node bids only after it has heard no valid record for a term and
//     a margin, by its own clock. It read the record after it was sent, so the
//     holder's right has ended by then.
//  6. A record that needs a newer program version stops the reader: it holds
//     nothing and bids for nothing any more.
//
// Rule 4 can't stop a holder that is paused between its check and its act. So
// each order carries the fencing number and its receiver asks a [Gate].
//
// # Usage
//
//	st := lease.NewSeat(lease.Standard(), "entry-1", boot, jitter)
//	st.Expired(now, batch.First)
//	st.Read(now, offset, rec) // for each record, in offset order
//	if rec, ok := st.Next(now); ok { append(rec) }
//	if fence, ok := st.Held(now); ok { order(fence) }
//
// The package [leases] runs a seat against the log.
//
// [leases]: github.com/jujuberamp/jujuberamp/internal/node/leases
package lease

import (
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// State is what a reader knows of a lease.
type State struct {
	read     ident.Offset // last offset taken in
	start    ident.Offset // first offset read without a gap since
	known    bool
	stopped  bool
	released bool
	fence    ident.Offset
	last     record.Lease // the last valid record
}

// NewState returns the state before the first record.
func NewState() *State { return &State{start: 1, known: true} }

// Truncated tells that the oldest record still kept is at an offset. It reports
// whether records were missed.
func (s *State) Truncated(first ident.Offset) bool {
	if first <= s.read+1 {
		return false
	}
	s.read = first - 1
	s.start = first
	s.known = false // rule 3
	return true
}

// Skip moves past a record that can't be read.
func (s *State) Skip(at ident.Offset) { s.read = max(s.read, at) }

// Stop ends the reading at a record of a newer program version.
func (s *State) Stop() { s.stopped = true }

// Apply takes in the record at an offset and reports whether it is valid.
func (s *State) Apply(at ident.Offset, r record.Lease) bool {
	if at <= s.read || s.stopped {
		return false
	}
	s.read = at
	if !s.isValid(at, r) {
		return false
	}
	if r.Kind == record.Bid {
		s.fence = at
	} else {
		s.fence = r.FencingToken
	}
	s.known = true
	s.released = r.Kind == record.Release
	s.last = r
	return true
}

func (s *State) isValid(at ident.Offset, r record.Lease) bool {
	if r.Kind == record.Bid {
		return r.LastRead == at-1 // rule 1
	}
	if !s.known {
		return r.LastRead >= s.start-1 // rule 3
	}
	return r.FencingToken == s.fence && !s.released // rule 2
}

// Holder returns who holds the lease and its fencing number, 0 if nobody does
// or it is not known.
func (s *State) Holder() (ident.Node, ident.Offset) {
	if !s.known || s.released {
		return "", 0
	}
	return s.last.Node, s.fence
}

// Fence is the receiver's side: it lets orders pass whose fencing number is
// not below the highest one seen. It is not safe for concurrent use.
type Fence struct {
	highest ident.Offset
}

// Admit reports whether an order may be carried out, and remembers its number.
func (g *Fence) Admit(fence ident.Offset) bool {
	if fence < g.highest {
		return false
	}
	g.highest = fence
	return true
}

// Highest returns the highest number seen.
func (g *Fence) Highest() ident.Offset { return g.highest }
