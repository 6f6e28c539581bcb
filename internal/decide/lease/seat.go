package lease

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// Policy holds the times of a lease.
type Policy struct {
	Term          clock.Millis // how long a lease lasts without renewal
	Margin        clock.Millis // further wait of others, for clocks that run apart
	RenewInterval clock.Millis // between renewals
	RetryDelay    clock.Millis // after a bid whose fate is not known
}

// DefaultPolicy returns the policy of the product.
func DefaultPolicy() Policy {
	return Policy{Term: 9 * clock.Second, Margin: clock.Second, RenewInterval: 3 * clock.Second, RetryDelay: 2 * clock.Second}
}

// maxSent bounds the records whose moment of sending is remembered.
const maxSent = 16

// Candidate is one node's part in a lease: it reads the records, and says when to
// write one and whether the node holds the lease. It is not safe for
// concurrent use.
type Candidate struct {
	p      Policy
	node   ident.Node
	boot   ident.Incarnation
	jitter clock.Millis // further wait of this node before a bid

	state *State
	heard clock.Millis // instant of the last valid record, or of the start
	until clock.Millis // the right lasts until then
	seq   uint64
	sent  map[uint64]clock.Millis
	next  clock.Millis // no record is written before
}

// NewCandidate returns a seat that has read nothing. Nodes should have different
// jitter, so that not all bid at once.
func NewCandidate(p Policy, n ident.Node, boot ident.Incarnation, jitter clock.Millis) *Candidate {
	return &Candidate{p: p, node: n, boot: boot, jitter: jitter, state: NewState(), sent: make(map[uint64]clock.Millis)}
}

// Truncated tells that the oldest record still kept is at an offset. What was
// missed may have been valid, so the wait of rule 5 starts again.
func (s *Candidate) Truncated(now clock.Millis, first ident.Offset) {
	if s.state.Truncated(first) {
		s.heard = now
	}
}

// Skip moves past a record that can't be read.
func (s *Candidate) Skip(at ident.Offset) { s.state.Skip(at) }

// Stop ends all activity at a record of a newer program version.
func (s *Candidate) Stop() {
	s.state.Stop()
	s.until = 0 // rule 6
}

// Position returns the offset to read from next.
func (s *Candidate) Position() ident.Offset { return s.state.read + 1 }

// Holder returns who holds the lease, as far as this node has read.
func (s *Candidate) Holder() (ident.Node, ident.Offset) { return s.state.Holder() }

// Apply takes in the record at an offset.
func (s *Candidate) Apply(now clock.Millis, at ident.Offset, r record.Lease) {
	valid := s.state.Apply(at, r)
	if valid || !s.state.known {
		s.heard = now
	}
	if !valid {
		return
	}
	if !s.isMine(r) {
		s.until = 0
		return
	}
	if began, ok := s.sent[r.Seq]; ok && r.Kind != record.Release {
		s.until = max(s.until, began+r.Term) // rule 4
		s.next = began + s.p.RenewInterval
		delete(s.sent, r.Seq)
	}
}

func (s *Candidate) isMine(r record.Lease) bool { return r.Node == s.node && r.Boot == s.boot }

// Held returns the fencing number while this node holds the lease.
func (s *Candidate) Held(now clock.Millis) (ident.Offset, bool) {
	n, fence := s.state.Holder()
	if n != s.node || s.state.stopped || now >= s.until {
		return 0, false
	}
	return fence, true
}

// Next returns the record that this node should write now, if any. It must
// have read the stream to its end shortly before; an older view does no harm,
// since a bid from it does not win.
func (s *Candidate) Next(now clock.Millis) (record.Lease, bool) {
	if s.heard == 0 {
		s.heard = now
	}
	if s.state.stopped || now < s.next {
		return record.Lease{}, false
	}
	if _, fence := s.state.Holder(); fence != 0 && s.isMine(s.state.last) {
		return s.write(now, record.Renew, fence), true
	}
	if now < s.bidFrom() {
		return record.Lease{}, false
	}
	return s.write(now, record.Bid, 0), true
}

// bidFrom returns the instant from which this node may bid. A lease that is
// free is taken without waiting for a term.
func (s *Candidate) bidFrom() clock.Millis {
	free := s.state.known && (s.state.released || s.state.fence == 0)
	if free {
		return s.heard + s.jitter
	}
	return s.heard + max(s.p.Term, s.state.last.Term) + s.p.Margin + s.jitter // rule 5
}

func (s *Candidate) write(now clock.Millis, k record.LeaseKind, fence ident.Offset) record.Lease {
	s.seq++
	s.next = now + s.p.RetryDelay
	s.sent[s.seq] = now
	delete(s.sent, s.seq-maxSent)
	return record.Lease{
		Kind:         k,
		Node:         s.node,
		Boot:         s.boot,
		Seq:          s.seq,
		LastRead:     s.state.read,
		FencingToken: fence,
		Term:         s.p.Term,
	}
}

// Release ends the right at once and returns the record that tells others.
func (s *Candidate) Release(now clock.Millis) (record.Lease, bool) {
	fence, ok := s.Held(now)
	s.until = 0
	if !ok {
		return record.Lease{}, false
	}
	r := s.write(now, record.Release, fence)
	s.next = clock.Never
	return r, true
}
