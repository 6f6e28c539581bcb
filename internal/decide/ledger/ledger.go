// Package ledger is the state machine of the configuration: it turns the
// records of one stream, in offset order, into the classes in force.
//
// Rules:
//
//  1. Nodes that read the same prefix of the stream hold the same state.
//  2. A record whose writer and number were seen before is dropped.
//  3. A change is accepted if each edit names the revision in force as its
//     base; otherwise none of its edits is, and the result names the winner.
//  4. An edit that sets what is already in force is accepted as unchanged,
//     whatever its base, so that an interrupted apply can be repeated.
//  5. A snapshot replaces the state only if it covers more than was read; the
//     changes that were read beyond what it covers are applied over it.
//  6. The offset in force only ever rises.
//
// # Usage
//
//	st := ledger.New()
//	res := st.Apply(offset, rec)
//	if e, ok := st.Find("live-draft"); ok { ... }
package ledger

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// Verdict tells what became of a record.
type Verdict uint8

// The verdicts.
const (
	Accepted  Verdict = iota
	Unchanged         // accepted, and nothing differed
	Conflict
	Repeated
	Ignored // a snapshot that brought nothing new
)

var verdictNames = [...]string{
	Accepted:  "accepted",
	Unchanged: "unchanged",
	Conflict:  "conflict",
	Repeated:  "repeated",
	Ignored:   "ignored",
}

// String returns the name used in the trail of changes.
func (v Verdict) String() string { return verdictNames[v] }

// Result is the verdict with the winner of a conflict.
type Result struct {
	Verdict Verdict
	Class   ident.Class  // the class in conflict
	Winner  ident.Caller // who set the revision in force
	InForce ident.Offset // that revision
}

type writerKey struct {
	node ident.Node
	boot ident.Incarnation
}

type slot struct {
	entry   record.Entry
	removed bool
}

// State is the configuration up to an offset.
type State struct {
	offset  ident.Offset
	classes map[ident.Class]slot
	writers map[writerKey]uint64
}

// New returns the empty state before the first record.
func New() *State {
	return &State{classes: make(map[ident.Class]slot), writers: make(map[writerKey]uint64)}
}

// Offset returns the offset of the last record taken in.
func (s *State) Offset() ident.Offset { return s.offset }

// Clone returns a copy that may be published to readers.
func (s *State) Clone() *State {
	c := New()
	c.offset = s.offset
	for k, v := range s.classes {
		c.classes[k] = v
	}
	for k, v := range s.writers {
		c.writers[k] = v
	}
	return c
}

// Find returns a class in force.
func (s *State) Find(n ident.Class) (record.Entry, bool) {
	sl, ok := s.classes[n]
	return sl.entry, ok && !sl.removed
}

// Revision returns the revision of the last change of a class, also of one
// that was removed; 0 if there was none.
func (s *State) Revision(n ident.Class) ident.Offset { return s.classes[n].entry.Revision }

// Entries returns all classes in force by name.
func (s *State) Entries() []record.Entry {
	var out []record.Entry
	for _, sl := range s.classes {
		if !sl.removed {
			out = append(out, sl.entry)
		}
	}
	slices.SortFunc(out, func(a, b record.Entry) int { return cmp.Compare(a.Class.Name(), b.Class.Name()) })
	return out
}

// Skip moves past a record that can't be read.
func (s *State) Skip(at ident.Offset) { s.offset = max(s.offset, at) }

// Apply takes in the record at an offset.
func (s *State) Apply(at ident.Offset, r record.Record) Result {
	if at <= s.offset {
		return Result{Verdict: Repeated}
	}
	s.offset = at // rule 6
	k := writerKey{r.Writer.Node, r.Writer.Boot}
	if r.Writer.Seq <= s.writers[k] {
		return Result{Verdict: Repeated} // rule 2
	}
	s.writers[k] = r.Writer.Seq
	if r.Snapshot != nil {
		return Result{Verdict: Ignored} // rule 5: all it covers was read
	}
	return s.change(at, *r.Change)
}

func (s *State) change(at ident.Offset, c record.Change) Result {
	differs := false
	for _, e := range c.Edits {
		if s.holds(e) { // rule 4
			continue
		}
		differs = true
		if e.Base != s.Revision(e.Name) { // rule 3
			in := s.classes[e.Name].entry
			return Result{Verdict: Conflict, Class: e.Name, Winner: in.Author, InForce: in.Revision}
		}
	}
	if !differs {
		return Result{Verdict: Unchanged}
	}
	for _, e := range c.Edits {
		if s.holds(e) {
			continue
		}
		s.classes[e.Name] = slot{
			entry:   record.Entry{Class: e.Class, Revision: at, Author: c.Author},
			removed: e.Removed,
		}
	}
	return Result{Verdict: Accepted}
}

// holds reports whether an edit sets what is already in force.
func (s *State) holds(e record.Edit) bool {
	in, ok := s.Find(e.Name)
	if e.Removed {
		return !ok
	}
	return ok && in.Class == e.Class
}

// Snapshot returns the state as a record part.
func (s *State) Snapshot() record.Snapshot {
	out := record.Snapshot{Covers: s.offset, Entries: s.Entries()}
	for n, sl := range s.classes {
		if sl.removed {
			out.Removed = append(out.Removed, record.Tombstone{Name: n, Revision: sl.entry.Revision, Author: sl.entry.Author})
		}
	}
	slices.SortFunc(out.Removed, func(a, b record.Tombstone) int { return cmp.Compare(a.Name, b.Name) })
	for k, seq := range s.writers {
		out.Writers = append(out.Writers, record.Writer{Node: k.node, Boot: k.boot, Seq: seq})
	}
	slices.SortFunc(out.Writers, func(a, b record.Writer) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Boot, b.Boot))
	})
	return out
}

// Restore returns the state that a snapshot describes.
func Restore(sn record.Snapshot) *State {
	s := New()
	s.offset = sn.Covers
	for _, e := range sn.Entries {
		s.classes[e.Class.Name()] = slot{entry: e}
	}
	for _, t := range sn.Removed {
		s.classes[t.Name] = slot{entry: record.Entry{Revision: t.Revision, Author: t.Author}, removed: true}
	}
	for _, w := range sn.Writers {
		s.writers[writerKey{w.Node, w.Boot}] = w.Seq
	}
	return s
}
