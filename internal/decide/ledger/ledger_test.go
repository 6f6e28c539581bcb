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

func lookup(n ident.Class, lateness int) class.Class {
	return class.NewUnchecked(class.Params{Name: n, Kind: class.Lookup, Service: "s", Lateness: clock.Millis(lateness), Waiting: 1})
}

// kind tells how a record of the test's log can be read.
type kind int

const (
	plain kind = iota
	broken
	newer // needs the newer program
)

type logged struct {
	kind kind
	rec  record.Record
}

// member is one node: its reader is lost at a restart.
type member struct {
	reader *Reader
	boot   ident.Incarnation
	seq    uint64
	old    bool // runs the older program
	top    ident.Offset
}

// bench is a log with its readers, and one reader that saw every record.
type bench struct {
	recs   []logged
	late   []logged
	first  ident.Offset
	nodes  []*member
	oracle *State
	at     []string // what the oracle said after each offset
}

func newBench() *bench {
	b := &bench{first: 1, oracle: New()}
	b.at = []string{show(b.oracle)}
	for i := range 4 {
		b.nodes = append(b.nodes, &member{reader: NewReader(), boot: 1, old: i == 3})
	}
	return b
}

func show(s *State) string { return fmt.Sprintf("%+v", s.Snapshot()) }

func (b *bench) end() ident.Offset { return ident.Offset(len(b.recs)) }

// append adds a record and checks by itself that the oracle sets a class only
// over the revision that the change names.
func (b *bench) append(t *rapid.T, l logged) {
	b.recs = append(b.recs, l)
	at := b.end()
	if l.kind == broken {
		b.oracle.Skip(at)
		b.at = append(b.at, show(b.oracle))
		return
	}
	before := b.oracle.Clone()
	b.oracle.Apply(at, l.rec)
	for _, e := range edits(l.rec) {
		was, is := before.Revision(e.Name), b.oracle.Revision(e.Name)
		if is != was && (is != at || e.Base != was) {
			t.Fatalf("class %s went from %d to %d by a change at %d over %d", e.Name, was, is, at, e.Base)
		}
	}
	b.at = append(b.at, show(b.oracle))
}

func edits(r record.Record) []record.Edit {
	if r.Change == nil {
		return nil
	}
	return r.Change.Edits
}

// read lets a node read up to n records.
func (b *bench) read(m *member, n int) {
	m.reader.Truncated(b.first)
	for range n {
		at := m.reader.Position()
		if at > b.end() {
			return
		}
		switch l := b.recs[at-1]; {
		case l.kind == broken:
			m.reader.Skip(at)
		case l.kind == newer && m.old:
			m.reader.Stop(at)
		default:
			m.reader.Apply(at, l.rec)
		}
	}
}

func (b *bench) change(t *rapid.T, i int) logged {
	m := b.nodes[i]
	m.seq++
	c := &record.Change{Author: "op"}
	for range rapid.IntRange(1, 2).Draw(t, "edits") {
		n := rapid.SampledFrom([]ident.Class{"a", "b", "c"}).Draw(t, "class")
		e := record.Edit{Name: n, Base: m.reader.State().Revision(n), Removed: rapid.IntRange(0, 4).Draw(t, "remove") == 0}
		if !e.Removed {
			e.Class = lookup(n, rapid.IntRange(1, 3).Draw(t, "lateness"))
		}
		c.Edits = append(c.Edits, e)
	}
	k := plain
	if rapid.IntRange(0, 15).Draw(t, "newer") == 0 {
		k = newer
	}
	return logged{k, record.Record{Writer: record.Writer{Node: ident.Node(fmt.Sprint(i)), Boot: m.boot, Seq: m.seq}, Change: c}}
}

func (b *bench) step(t *rapid.T) {
	i := rapid.IntRange(0, len(b.nodes)-1).Draw(t, "node")
	m := b.nodes[i]
	switch rapid.SampledFrom([]string{
		"read", "read", "read", "change", "change", "repeat", "late", "arrive", "broken", "snapshot", "expire", "restart", "learn",
	}).Draw(t, "event") {
	case "read":
		b.read(m, rapid.IntRange(1, 8).Draw(t, "records"))
	case "change":
		b.append(t, b.change(t, i))
	case "repeat": // the answer was lost and the writer tried again
		l := b.change(t, i)
		b.append(t, l)
		b.append(t, l)
	case "late":
		b.late = append(b.late, b.change(t, i))
	case "arrive":
		for _, l := range b.late {
			b.append(t, l)
		}
	case "broken":
		b.append(t, logged{kind: broken})
	case "snapshot": // also of a node that is slow, and of two at once
		sn := m.reader.State().Snapshot()
		b.append(t, logged{rec: record.Record{Snapshot: &sn}})
	case "expire":
		b.first += ident.Offset(rapid.IntRange(0, int(b.end()+1-b.first)).Draw(t, "expired"))
	case "restart":
		*m = member{reader: NewReader(), boot: m.boot + 1, old: m.old}
	case "learn":
		m.reader.ApplySnapshot(b.nodes[rapid.IntRange(0, len(b.nodes)-1).Draw(t, "peer")].reader.State().Snapshot())
	}
}

// TestReaders checks the promise of the log over any interleaving: every
// node's state is that of a reader that saw all records up to its offset, so
// nothing accepted is lost or reverted; and no node's offset falls.
func TestReaders(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		b := newBench()
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			b.step(t)
			for i, m := range b.nodes {
				st := m.reader.State()
				if got, want := show(st), b.at[st.Offset()]; got != want {
					t.Fatalf("node %d at %d:\n%s\nwant\n%s", i, st.Offset(), got, want)
				}
				if st.Offset() < m.top {
					t.Fatalf("node %d fell from %d to %d", i, m.top, st.Offset())
				}
				m.top = st.Offset()
				if m.reader.IsComplete() && st.Offset() != m.reader.read {
					t.Fatalf("node %d says it is whole at %d and has read %d", i, st.Offset(), m.reader.read)
				}
			}
		}
		// A node with the whole state publishes it again, and all catch up.
		b.first = b.end() + 1
		sn := b.oracle.Snapshot()
		b.append(t, logged{rec: record.Record{Snapshot: &sn}})
		for i, m := range b.nodes {
			b.read(m, len(b.recs))
			if got := m.reader.State().Offset(); got != b.end() || !m.reader.IsComplete() {
				t.Fatalf("node %d is at %d of %d after the snapshot", i, got, b.end())
			}
		}
	})
}

// TestRepeat appends a refused change once more after another change made it
// acceptable: who was told "conflict" must not win later.
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

// TestForget keeps the tables bounded, the same way in a restored state.
func TestForget(t *testing.T) {
	c := qt.New(t)
	whole := New()
	part := New()
	for i := range 3 * maxRemoved {
		at := ident.Offset(i + 1)
		n := ident.Class(fmt.Sprint(i / 2))
		e := record.Edit{Name: n, Class: lookup(n, 1)}
		if i%2 == 1 {
			e = record.Edit{Name: n, Base: at - 1, Removed: true}
		}
		r := record.Record{Writer: record.Writer{Node: "n", Boot: ident.Incarnation(at), Seq: 1}, Change: &record.Change{Edits: []record.Edit{e}}}
		c.Assert(whole.Apply(at, r).Verdict, qt.Equals, Accepted)
		part.Apply(at, r)
		if i%500 == 0 {
			part = Restore(part.Snapshot())
		}
	}
	c.Assert(len(whole.writers), qt.Equals, maxWriters)
	c.Assert(len(whole.classes) <= maxRemoved+1, qt.IsTrue)
	c.Assert(show(part), qt.Equals, show(whole))
}
