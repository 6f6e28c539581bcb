package lease

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// Policy holds the term of a lease and the intervals between its records.
type Policy struct {
	Term          clock.Millis // validity of a lease without renewal
	Margin        clock.Millis // added to the term before other nodes bid, for clock drift
	RenewInterval clock.Millis // from sending a record to the next renewal
	RetryDelay    clock.Millis // from sending a record that is not read back to the next record
	StayOut       bool         // a former holder bids only after rule 7, even if the lease is free
}

// DefaultPolicy returns the built-in policy.
func DefaultPolicy() Policy {
	return Policy{Term: 9 * clock.Second, Margin: clock.Second, RenewInterval: 3 * clock.Second, RetryDelay: 2 * clock.Second}
}

// maxTrackedRecords is the maximum number of own records whose sending time is kept.
const maxTrackedRecords = 16

// Candidate computes for one node, from the records of the lease, whether the
// node holds the lease and when to append a record. It is not safe for
// concurrent use.
type Candidate struct {
	policy      Policy
	node        ident.Node
	incarnation ident.Incarnation
	jitter      clock.Millis // additional delay of this node before a bid

	state *State
	// lastValid is when this node read the last record that may be valid, and before
	// the first one, when the node started.
	lastValid clock.Millis
	heldUntil clock.Millis            // end of this node's term, 0 for none
	ownSince  clock.Millis            // when this node, in any incarnation, was last read to hold the lease (rule 7)
	seq       uint64                  // sequence number of the last record
	sentAt    map[uint64]clock.Millis // by sequence number, of records that were not read back
	notBefore clock.Millis            // earliest time of the next record
}

// NewCandidate returns a candidate that has read no record. Nodes should have
// different jitter, so that they don't all bid at once.
func NewCandidate(policy Policy, n ident.Node, incarnation ident.Incarnation, jitter clock.Millis) *Candidate {
	return &Candidate{
		policy: policy, node: n, incarnation: incarnation, jitter: jitter,
		state: NewState(), sentAt: make(map[uint64]clock.Millis),
	}
}

// Truncated is called with the first retained offset. Records that were missed
// may have been valid, so the waiting time of rule 5 starts again.
func (c *Candidate) Truncated(now clock.Millis, first ident.Offset) {
	if c.state.Truncated(first) {
		c.lastValid = now
		c.ownSince = now // One of the removed records may be of an earlier incarnation.
	}
}

// Skip advances past a record that can't be decoded.
func (c *Candidate) Skip(at ident.Offset) { c.state.Skip(at) }

// Stop ends reading and bidding at a record that needs a newer program version.
func (c *Candidate) Stop() {
	c.state.Stop()
	c.heldUntil = 0 // rule 6
}

// NextOffset returns the offset to read from next.
func (c *Candidate) NextOffset() ident.Offset { return c.state.lastRead + 1 }

// Holder returns the holder and its fencing token as of the last record read.
func (c *Candidate) Holder() (ident.Node, ident.Offset) { return c.state.Holder() }

// Apply applies the record at an offset.
func (c *Candidate) Apply(now clock.Millis, at ident.Offset, r record.Lease) {
	valid := c.state.Apply(at, r)
	if valid || !c.state.known {
		c.lastValid = now
	}
	if !valid {
		return
	}
	if r.Node == c.node {
		c.ownSince = now
	}
	if !c.isOwn(r) {
		c.heldUntil = 0
		return
	}
	if sendTime, ok := c.sentAt[r.Seq]; ok && r.Kind != record.Release {
		c.heldUntil = max(c.heldUntil, sendTime+r.Term) // rule 4
		c.notBefore = sendTime + c.policy.RenewInterval
		delete(c.sentAt, r.Seq)
	}
}

func (c *Candidate) isOwn(r record.Lease) bool { return r.Node == c.node && r.Boot == c.incarnation }

// HeldToken returns the fencing token while this node holds the lease.
func (c *Candidate) HeldToken(now clock.Millis) (ident.Offset, bool) {
	n, token := c.state.Holder()
	if n != c.node || c.state.stopped || now >= c.heldUntil {
		return 0, false
	}
	return token, true
}

// HeldFor returns the fencing token and how much longer this node holds the lease.
func (c *Candidate) HeldFor(now clock.Millis) (ident.Offset, clock.Millis, bool) {
	token, ok := c.HeldToken(now)
	if !ok {
		return 0, 0, false
	}
	return token, c.heldUntil - now, true
}

// Next returns the record that this node should append now, if any. The node
// should have read the stream to its end shortly before. A bid based on an
// older state is harmless, since it does not win.
func (c *Candidate) Next(now clock.Millis) (record.Lease, bool) {
	if c.lastValid == 0 {
		c.lastValid = now
	}
	if c.state.stopped || now < c.notBefore {
		return record.Lease{}, false
	}
	if _, token := c.state.Holder(); token != 0 && c.isOwn(c.state.last) {
		return c.newRecord(now, record.Renew, token), true
	}
	if now < c.earliestBid() {
		return record.Lease{}, false
	}
	return c.newRecord(now, record.Bid, 0), true
}

// earliestBid returns the time from which this node may bid. For a free lease
// it does not wait for a term to end.
func (c *Candidate) earliestBid() clock.Millis {
	term := max(c.policy.Term, c.state.last.Term)
	free := c.state.known && (c.state.released || c.state.token == 0)
	if !free {
		return c.lastValid + term + c.policy.Margin + c.jitter // rule 5
	}
	if c.policy.StayOut && c.ownSince > 0 {
		return max(c.lastValid, c.ownSince+2*term+c.policy.Margin) + c.jitter // rule 7
	}
	return c.lastValid + c.jitter
}

func (c *Candidate) newRecord(now clock.Millis, k record.LeaseKind, token ident.Offset) record.Lease {
	c.seq++
	c.notBefore = now + c.policy.RetryDelay
	c.sentAt[c.seq] = now
	delete(c.sentAt, c.seq-maxTrackedRecords)
	return record.Lease{
		Kind:         k,
		Node:         c.node,
		Boot:         c.incarnation,
		Seq:          c.seq,
		LastRead:     c.state.lastRead,
		FencingToken: token,
		Term:         c.policy.Term,
	}
}

// Release gives up the lease at once and returns the record to append, if this
// node held the lease.
func (c *Candidate) Release(now clock.Millis) (record.Lease, bool) {
	token, ok := c.HeldToken(now)
	c.heldUntil = 0
	clear(c.sentAt) // A renewal that is read back later does not count any more.
	if !ok {
		return record.Lease{}, false
	}
	r := c.newRecord(now, record.Release, token)
	c.notBefore = clock.Never // A node that released the lease does not bid again.
	return r, true
}

// Yield is Release for a node that may bid again after a pause.
func (c *Candidate) Yield(now, pause clock.Millis) (record.Lease, bool) {
	r, ok := c.Release(now)
	if ok {
		c.notBefore = now + pause
	}
	return r, ok
}
