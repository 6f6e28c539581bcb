// Package lease computes the holder of a lease from the records of its stream
// on the log. The fencing token is the offset of the winning bid.
//
// The log has no conditional append. Therefore each record names the last
// offset that its writer had read, and readers decide by that offset whether
// the record is valid.
//
// Rules:
//
//  1. A bid wins if it directly follows the last record that its writer had
//     read. Readers need no earlier record to see that a bid wins.
//  2. A renewal or release is valid only with the current fencing token.
//  3. For a reader that missed records of a truncated log, the holder is unknown
//     until a bid wins, or until a renewal or release whose writer had read all
//     records before the first retained one.
//  4. A node holds the lease for one term from the time at which it sent the
//     record that it read back, by its own clock.
//  5. Another node bids only after it has read no valid record for a term and
//     a margin, by its own clock. It read the last record after the holder had
//     sent it, so by then the holder's term has ended.
//  6. A reader stops at a record that needs a newer program version: its node
//     no longer holds the lease and makes no bids.
//  7. If the policy says so, a node that held the lease, in this or an earlier
//     incarnation, bids only two terms and a margin after it read its last record,
//     also if another holder released the lease. The first term covers what it did
//     as the holder, so a lease never returns to a node within a term.
//
// Rule 4 can't stop a holder that is paused between checking the lease and
// sending an order. So each order carries the fencing token, and its receiver
// checks the token with a [Fence]. If the receiver checks nothing, the holder bounds
// the time of each order by the rest of its term (HeldFor).
//
// # Usage
//
//	c := lease.NewCandidate(lease.DefaultPolicy(), "entry-1", incarnation, jitter)
//	c.Truncated(now, batch.First)
//	c.Apply(now, offset, rec) // for each record, in offset order
//	if rec, ok := c.Next(now); ok { append(rec) }
//	if token, ok := c.HeldToken(now); ok { order(token) }
//
// Package [leases] runs a candidate against the log.
//
// [leases]: github.com/jujuberamp/jujuberamp/internal/node/leases
package lease

import (
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// State is what a reader knows about a lease.
type State struct {
	lastRead      ident.Offset // last offset that was applied or skipped
	firstRetained ident.Offset // first offset after the last truncation that was seen
	known         bool         // whether the holder is known (rule 3)
	stopped       bool         // rule 6
	released      bool         // whether the last valid record is a release
	token         ident.Offset // of the last valid record
	last          record.Lease // the last valid record
}

// NewState returns the state before the first record.
func NewState() *State { return &State{firstRetained: 1, known: true} }

// Truncated takes the first retained offset of the log. It skips the records that
// were removed before they were read, and reports whether there were any.
func (s *State) Truncated(first ident.Offset) bool {
	if first <= s.lastRead+1 {
		return false
	}
	s.lastRead = first - 1
	s.firstRetained = first
	s.known = false // rule 3
	return true
}

// Skip advances past a record that can't be decoded.
func (s *State) Skip(at ident.Offset) { s.lastRead = max(s.lastRead, at) }

// Stop ends reading at a record that needs a newer program version (rule 6).
func (s *State) Stop() { s.stopped = true }

// Apply applies the record at an offset and reports whether it is valid.
func (s *State) Apply(at ident.Offset, r record.Lease) bool {
	if at <= s.lastRead || s.stopped {
		return false
	}
	s.lastRead = at
	if !s.isValid(at, r) {
		return false
	}
	if r.Kind == record.Bid {
		s.token = at
	} else {
		s.token = r.FencingToken
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
		return r.LastRead >= s.firstRetained-1 // rule 3
	}
	return r.FencingToken == s.token && !s.released // rule 2
}

// Holder returns the node that holds the lease and its fencing token; the
// token is 0 if the lease is free or its holder unknown.
func (s *State) Holder() (ident.Node, ident.Offset) {
	if !s.known || s.released {
		return "", 0
	}
	return s.last.Node, s.token
}

// Fence checks fencing tokens at the receiver of orders: it admits an order
// unless an earlier order had a higher token. It is not safe for concurrent
// use.
type Fence struct {
	highest ident.Offset
}

// Admit reports whether an order may be carried out. It records the token of
// an admitted order.
func (f *Fence) Admit(token ident.Offset) bool {
	if token < f.highest {
		return false
	}
	f.highest = token
	return true
}

// Highest returns the highest token that was admitted.
func (f *Fence) Highest() ident.Offset { return f.highest }
