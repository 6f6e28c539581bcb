package ledger

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/proof/prop"
)

func init() { prop.Cases(3000) }

func lookup(n ident.Class, lateness int) class.Class {
	return class.NewUnchecked(class.Params{Name: n, Kind: class.Lookup, Service: "s", Lateness: clock.Millis(lateness), Waiting: 1})
}

// recordKind says which programs can read a record of the log.
type recordKind int

const (
	plain recordKind = iota
	undecodable
	unsupported // readable by the newer program only
)

type logRecord struct {
	kind recordKind
	rec  record.Record
}

// testNode is one node. A restart discards its reader.
type testNode struct {
	reader      *Reader
	incarnation ident.Incarnation
	seq         uint64
	oldProgram  bool         // runs an older program, which can't read unsupported records
	highest     ident.Offset // highest offset of its state so far
}

// testLog is a log with its nodes. The oracle is the state of a reader that
// reads every record.
type testLog struct {
	recs     []logRecord
	delayed  []logRecord  // sent, and appended later, possibly more than once
	first    ident.Offset // first retained offset
	nodes    []*testNode
	oracle   *State
	expected []string // the oracle's state by offset
}

func newTestLog() *testLog {
	tl := &testLog{first: 1, oracle: New()}
	tl.expected = []string{describe(tl.oracle)}
	for i := range 4 {
		tl.nodes = append(tl.nodes, &testNode{reader: NewReader(), incarnation: 1, oldProgram: i == 3})
	}
	return tl
}

func describe(s *State) string { return fmt.Sprintf("%+v", s.Snapshot()) }

func (tl *testLog) end() ident.Offset { return ident.Offset(len(tl.recs)) }

// append adds a record. It checks independently of the rules that the oracle
// changes a class only if the edit names its revision.
func (tl *testLog) append(t *rapid.T, l logRecord) {
	tl.recs = append(tl.recs, l)
	at := tl.end()
	if l.kind == undecodable {
		tl.oracle.Skip(at)
		tl.expected = append(tl.expected, describe(tl.oracle))
		return
	}
	before := tl.oracle.Clone()
	tl.oracle.Apply(at, l.rec)
	for _, e := range edits(l.rec) {
		oldRev, newRev := before.Revision(e.Name), tl.oracle.Revision(e.Name)
		if newRev != oldRev && (newRev != at || e.Base != oldRev) {
			t.Fatalf("class %s went from %d to %d by a change at %d with base %d", e.Name, oldRev, newRev, at, e.Base)
		}
	}
	tl.expected = append(tl.expected, describe(tl.oracle))
}

func edits(r record.Record) []record.Edit {
	if r.Change == nil {
		return nil
	}
	return r.Change.Edits
}

// read lets a node read at most n records.
func (tl *testLog) read(node *testNode, n int) {
	node.reader.Truncated(tl.first)
	for range n {
		at := node.reader.NextOffset()
		if at > tl.end() {
			return
		}
		switch l := tl.recs[at-1]; {
		case l.kind == undecodable:
			node.reader.Skip(at)
		case l.kind == unsupported && node.oldProgram:
			node.reader.Stop(at)
		default:
			node.reader.Apply(at, l.rec)
		}
	}
}

// newChange returns a random change by the node with an index.
func (tl *testLog) newChange(t *rapid.T, i int) logRecord {
	node := tl.nodes[i]
	node.seq++
	c := &record.Change{Author: "op"}
	for range rapid.IntRange(1, 2).Draw(t, "edits") {
		n := rapid.SampledFrom([]ident.Class{"a", "b", "c"}).Draw(t, "class")
		e := record.Edit{Name: n, Base: node.reader.State().Revision(n), Removed: rapid.IntRange(0, 4).Draw(t, "remove") == 0}
		if !e.Removed {
			e.Class = lookup(n, rapid.IntRange(1, 3).Draw(t, "lateness"))
		}
		c.Edits = append(c.Edits, e)
	}
	k := plain
	if rapid.IntRange(0, 15).Draw(t, "newer") == 0 {
		k = unsupported
	}
	return logRecord{k, record.Record{Writer: record.Writer{Node: ident.Node(fmt.Sprint(i)), Boot: node.incarnation, Seq: node.seq}, Change: c}}
}

// step executes a random event on a random node.
func (tl *testLog) step(t *rapid.T) {
	i := rapid.IntRange(0, len(tl.nodes)-1).Draw(t, "node")
	node := tl.nodes[i]
	switch rapid.SampledFrom([]string{
		"read", "read", "read", "change", "change", "repeat", "late", "deliver", "undecodable", "snapshot", "expire", "restart", "gossip",
	}).Draw(t, "event") {
	case "read":
		tl.read(node, rapid.IntRange(1, 8).Draw(t, "records"))
	case "change":
		tl.append(t, tl.newChange(t, i))
	case "repeat": // the answer was lost and the writer retried
		l := tl.newChange(t, i)
		tl.append(t, l)
		tl.append(t, l)
	case "late":
		tl.delayed = append(tl.delayed, tl.newChange(t, i))
	case "deliver":
		for _, l := range tl.delayed {
			tl.append(t, l)
		}
	case "undecodable":
		tl.append(t, logRecord{kind: undecodable})
	case "snapshot": // possibly of a lagging node, or of two nodes at once
		sn := node.reader.State().Snapshot()
		tl.append(t, logRecord{rec: record.Record{Snapshot: &sn}})
	case "expire":
		tl.first += ident.Offset(rapid.IntRange(0, int(tl.end()+1-tl.first)).Draw(t, "expired"))
	case "restart":
		*node = testNode{reader: NewReader(), incarnation: node.incarnation + 1, oldProgram: node.oldProgram}
	case "gossip":
		node.reader.ApplySnapshot(tl.nodes[rapid.IntRange(0, len(tl.nodes)-1).Draw(t, "peer")].reader.State().Snapshot())
	}
}

// TestReaders checks the guarantee of the configuration under any interleaving:
// each node's state equals that of a reader that read all records up to the
// node's offset, so no accepted change is lost or reverted, and no node's
// offset decreases.
func TestReaders(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		tl := newTestLog()
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			tl.step(t)
			for i, node := range tl.nodes {
				st := node.reader.State()
				if got, want := describe(st), tl.expected[st.Offset()]; got != want {
					t.Fatalf("node %d at %d:\n%s\nwant\n%s", i, st.Offset(), got, want)
				}
				if st.Offset() < node.highest {
					t.Fatalf("offset of node %d decreased from %d to %d", i, node.highest, st.Offset())
				}
				node.highest = st.Offset()
				if node.reader.IsComplete() && st.Offset() != node.reader.lastRead {
					t.Fatalf("node %d reports that it is complete at %d and has read %d", i, st.Offset(), node.reader.lastRead)
				}
			}
		}
		// A node with the complete state publishes a snapshot, and all catch up.
		tl.first = tl.end() + 1
		sn := tl.oracle.Snapshot()
		tl.append(t, logRecord{rec: record.Record{Snapshot: &sn}})
		for i, node := range tl.nodes {
			tl.read(node, len(tl.recs))
			if got := node.reader.State().Offset(); got != tl.end() || !node.reader.IsComplete() {
				t.Fatalf("node %d is at %d of %d after the snapshot", i, got, tl.end())
			}
		}
	})
}

// TestRepeat appends a rejected change again after another change made it
// acceptable: a change that was answered with "conflict" must not be accepted
// later.
func TestRepeat(t *testing.T) {
	c := qt.New(t)
	edit := func(n ident.Class, base ident.Offset, lateness int) record.Edit {
		return record.Edit{Name: n, Base: base, Class: lookup(n, lateness)}
	}
	change := func(n ident.Node, seq uint64, es ...record.Edit) record.Record {
		return record.Record{Writer: record.Writer{Node: n, Boot: 1, Seq: seq}, Change: &record.Change{Edits: es}}
	}
	s := New()
	c.Assert(s.Apply(1, change("x", 1, edit("a", 0, 1), edit("b", 0, 1))).Verdict, qt.Equals, Accepted)
	c.Assert(s.Apply(2, change("x", 2, edit("a", 1, 2))).Verdict, qt.Equals, Accepted)
	both := change("y", 1, edit("a", 1, 3), edit("b", 1, 3))
	c.Assert(s.Apply(3, both).Verdict, qt.Equals, Conflict)
	c.Assert(s.Apply(4, change("x", 3, edit("a", 2, 3))).Verdict, qt.Equals, Accepted)
	c.Assert(s.Apply(5, both).Verdict, qt.Equals, Repeated)
	c.Assert(s.Revision("b"), qt.Equals, ident.Offset(1))
}

// TestPrune checks that the tables stay within their bounds, and that a state
// that was restored from snapshots prunes the same entries.
func TestPrune(t *testing.T) {
	c := qt.New(t)
	complete := New()
	restored := New()
	for i := range 3 * maxRemoved {
		at := ident.Offset(i + 1)
		n := ident.Class(fmt.Sprint(i / 2))
		e := record.Edit{Name: n, Class: lookup(n, 1)}
		if i%2 == 1 {
			e = record.Edit{Name: n, Base: at - 1, Removed: true}
		}
		r := record.Record{Writer: record.Writer{Node: "n", Boot: ident.Incarnation(at), Seq: 1}, Change: &record.Change{Edits: []record.Edit{e}}}
		c.Assert(complete.Apply(at, r).Verdict, qt.Equals, Accepted)
		restored.Apply(at, r)
		if i%500 == 0 {
			restored = Restore(restored.Snapshot())
		}
	}
	c.Assert(len(complete.writers), qt.Equals, maxWriters)
	c.Assert(len(complete.classes) <= maxRemoved+1, qt.IsTrue)
	c.Assert(describe(restored), qt.Equals, describe(complete))
}
