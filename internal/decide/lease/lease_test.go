package lease

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/proof/prop"
)

func TestApply(t *testing.T) {
	bid := func(read ident.Offset) record.Lease { return record.Lease{Kind: record.Bid, Node: "a", LastRead: read} }
	renew := func(read, fence ident.Offset) record.Lease {
		return record.Lease{Kind: record.Renew, Node: "b", LastRead: read, FencingToken: fence}
	}
	tests := map[string]struct {
		expired ident.Offset
		recs    []record.Lease // from offset 1 or the first kept on
		fence   ident.Offset
	}{
		"first bid wins":              {recs: []record.Lease{bid(0), bid(0)}, fence: 1},
		"bid repeated":                {recs: []record.Lease{bid(0), renew(1, 1), bid(0)}, fence: 1},
		"bid over a renewal not read": {recs: []record.Lease{bid(0), renew(1, 1), bid(1)}, fence: 1},
		"bid over what was read":      {recs: []record.Lease{bid(0), renew(1, 1), bid(2)}, fence: 3},
		"renewal of an old holder":    {recs: []record.Lease{bid(0), bid(1), renew(1, 1)}, fence: 2},
		"expired, old renewal":        {expired: 50, recs: []record.Lease{renew(40, 30)}, fence: 0},
		"expired, renewal":            {expired: 50, recs: []record.Lease{renew(49, 30)}, fence: 30},
		"expired, bid behind old one": {expired: 50, recs: []record.Lease{bid(40), bid(50)}, fence: 51},
		"released":                    {recs: []record.Lease{bid(0), {Kind: record.Release, Node: "a", FencingToken: 1}}, fence: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			s.Truncated(max(tc.expired, 1))
			for i, r := range tc.recs {
				s.Apply(max(tc.expired, 1)+ident.Offset(i), r)
			}
			_, fence := s.Holder()
			qt.Assert(t, fence, qt.Equals, tc.fence)
		})
	}
}

// node is a seat with a clock of its own and its place in the stream.
type node struct {
	seat  *Candidate
	ahead clock.Millis
	boots int
}

type world struct {
	now   clock.Millis
	recs  []record.Lease
	first ident.Offset // oldest record kept
	late  []record.Lease
	nodes []*node
	gate  Fence
	agree map[ident.Offset]string // what the readers of a prefix say
}

func (w *world) read(n *node) {
	n.seat.Truncated(w.now+n.ahead, w.first)
	for at := n.seat.Position(); at <= ident.Offset(len(w.recs)); at++ {
		n.seat.Apply(w.now+n.ahead, at, w.recs[at-1])
	}
}

func (w *world) start(i int) {
	n := w.nodes[i]
	n.boots++
	name := ident.Node(fmt.Sprintf("n%d", i))
	n.seat = NewCandidate(DefaultPolicy(), name, ident.Incarnation(n.boots), clock.Millis(i)*100)
}

// TestOneHolder lets nodes pause, restart, lose answers and find late
// appends: at no moment two of them hold the lease, fencing numbers rise, and
// all that have read the same prefix agree.
func TestOneHolder(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		w := &world{now: clock.Hour, first: 1, agree: make(map[ident.Offset]string)}
		for i := range 3 {
			w.nodes = append(w.nodes, &node{ahead: clock.Millis(i) * clock.Hour})
			w.start(i)
		}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			w.now += clock.Millis(rapid.IntRange(0, 4000).Draw(t, "pass"))
			i := rapid.IntRange(0, 2).Draw(t, "node")
			n := w.nodes[i]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				w.start(i)
			case 1:
				w.now += 30 * clock.Second // everyone is paused
			case 2:
				w.first += ident.Offset(rapid.IntRange(0, len(w.recs)+1-int(w.first)).Draw(t, "expire"))
			case 3:
				w.recs, w.late = append(w.recs, w.late...), nil
			case 4:
				if r, ok := n.seat.Release(w.now + n.ahead); ok {
					w.recs = append(w.recs, r)
				}
			default:
				w.act(t, n)
			}
			w.check(t)
		}
	})
}

func (w *world) act(t *rapid.T, n *node) {
	w.read(n)
	r, ok := n.seat.Next(w.now + n.ahead)
	if !ok {
		return
	}
	switch rapid.IntRange(0, 3).Draw(t, "append") {
	case 0:
		w.late = append(w.late, r)
	case 1:
		w.recs = append(w.recs, r, r) // repeated after a lost answer
	default:
		w.recs = append(w.recs, r)
	}
	w.read(n)
}

func (w *world) check(t *rapid.T) {
	held := 0
	for _, n := range w.nodes {
		if f, ok := n.seat.Held(w.now + n.ahead); ok {
			held++
			if !w.gate.Admit(f) {
				t.Fatalf("holder with the number %d after %d", f, w.gate.Highest())
			}
		}
		if !n.seat.state.known {
			continue
		}
		who, f := n.seat.Holder()
		says := fmt.Sprint(who, f)
		at := n.seat.Position()
		if was, ok := w.agree[at]; ok && was != says {
			t.Fatalf("before offset %d one says %s, another %s", at, was, says)
		}
		w.agree[at] = says
	}
	if held > 1 {
		t.Fatalf("%d nodes hold the lease", held)
	}
}

// TestTakeover shows the times of a lease whose holder is paused for 30 s.
func TestTakeover(t *testing.T) {
	c := qt.New(t)
	w := &world{now: clock.Hour, first: 1, agree: make(map[ident.Offset]string)}
	for i := range 2 {
		w.nodes = append(w.nodes, &node{})
		w.start(i)
	}
	step := func(n *node) {
		w.read(n)
		if r, ok := n.seat.Next(w.now); ok {
			w.recs = append(w.recs, r)
			w.read(n)
		}
	}
	old, other := w.nodes[0], w.nodes[1]
	step(old)
	fence, ok := old.seat.Held(w.now)
	c.Assert(ok, qt.IsTrue)
	for range 30 { // the old holder is paused, the other runs on
		w.now += clock.Second
		step(other)
	}
	next, ok := other.seat.Held(w.now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next > fence, qt.IsTrue)
	_, ok = old.seat.Held(w.now)
	c.Assert(ok, qt.IsFalse)
	w.gate.Admit(next)
	c.Assert(w.gate.Admit(fence), qt.IsFalse, qt.Commentf("an order that was sent after the pause"))
}

// TestLateReading lets a holder read its own bid long after others did: its
// right runs from the sending.
func TestLateReading(t *testing.T) {
	c := qt.New(t)
	w := &world{now: clock.Hour, first: 1, agree: make(map[ident.Offset]string)}
	for i := range 2 {
		w.nodes = append(w.nodes, &node{})
		w.start(i)
	}
	a, b := w.nodes[0], w.nodes[1]
	bid, ok := a.seat.Next(w.now)
	c.Assert(ok, qt.IsTrue)
	w.recs = append(w.recs, bid)
	w.read(b)
	w.now += 8 * clock.Second
	w.read(a)
	_, ok = a.seat.Held(w.now)
	c.Assert(ok, qt.IsTrue)
	w.now += 3 * clock.Second
	bid, ok = b.seat.Next(w.now)
	c.Assert(ok, qt.IsTrue)
	w.recs = append(w.recs, bid)
	w.read(b)
	_, ok = b.seat.Held(w.now)
	c.Assert(ok, qt.IsTrue)
	_, ok = a.seat.Held(w.now)
	c.Assert(ok, qt.IsFalse)
}

// TestUnjudged lets a node that missed records read a renewal that it can't
// judge: it must wait as if the renewal were valid.
func TestUnjudged(t *testing.T) {
	c := qt.New(t)
	b := NewCandidate(DefaultPolicy(), "b", 1, 0)
	now := clock.Hour
	b.Truncated(now, 50)
	_, ok := b.Next(now)
	c.Assert(ok, qt.IsFalse)
	now += 9 * clock.Second
	b.Apply(now, 50, record.Lease{Kind: record.Renew, Node: "a", LastRead: 45, FencingToken: 40, Term: DefaultPolicy().Term})
	now += 2 * clock.Second
	_, ok = b.Next(now)
	c.Assert(ok, qt.IsFalse, qt.Commentf("the holder's right may last"))
	now += 9 * clock.Second
	_, ok = b.Next(now)
	c.Assert(ok, qt.IsTrue)
}
