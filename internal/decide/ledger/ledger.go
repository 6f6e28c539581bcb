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
//  5. A snapshot is the exact state after all records up to the offset that it
//     covers. It replaces the state only if it covers more; the changes that
//     were read beyond it are applied over it.
//  6. The offset in force only ever rises.
//  7. A reader that missed records, because they had expired, keeps the state
//     that it has and holds back what it reads after them, until a snapshot
//     covers the gap. Nothing is skipped silently.
//  8. A record that needs a newer program version is a gap: skipping it would
//     break rule 1. The reader keeps the state before it until it can read a
//     snapshot that covers it.
//  9. What is remembered of writers and of removed classes is bounded, and
//     what is forgotten follows from the records alone (rule 1). A change that
//     was accepted can't be accepted again even then, by rule 3.
//
// # Usage
//
//	r := ledger.NewReader()
//	r.Expired(batch.First)
//	done := r.Read(offset, rec)
//	if e, ok := r.State().Find("live-draft"); ok { ... }
package ledger

import (
	"cmp"
	"fmt"
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
	Verdict  Verdict
	Class    ident.Class          // the class in conflict
	Winner   ident.Caller         // who set the revision in force
	InForce  ident.Offset         // that revision
	Previous []record.ActiveClass // what was in force before each edit; empty for none
}

type writerKey struct {
	node ident.Node
	boot ident.Incarnation
}

type slot struct {
	entry   record.ActiveClass
	removed bool
}

// State is the configuration up to an offset.
type State struct {
	offset  ident.Offset
	classes map[ident.Class]slot
	writers map[writerKey]seen
}

// seen is the last change of a writer.
type seen struct {
	seq uint64
	at  ident.Offset
}

// Bounds of what is remembered (rule 9).
const (
	maxWriters = 128
	maxRemoved = 1024
)

// New returns the empty state before the first record.
func New() *State {
	return &State{classes: make(map[ident.Class]slot), writers: make(map[writerKey]seen)}
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
func (s *State) Find(n ident.Class) (record.ActiveClass, bool) {
	sl, ok := s.classes[n]
	return sl.entry, ok && !sl.removed
}

// Revision returns the revision of the last change of a class, also of one
// that was removed; 0 if there was none.
func (s *State) Revision(n ident.Class) ident.Offset { return s.classes[n].entry.Revision }

// Entries returns all classes in force by name.
func (s *State) Entries() []record.ActiveClass {
	var out []record.ActiveClass
	for _, sl := range s.classes {
		if !sl.removed {
			out = append(out, sl.entry)
		}
	}
	slices.SortFunc(out, func(a, b record.ActiveClass) int { return cmp.Compare(a.Class.Name(), b.Class.Name()) })
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
	if r.Change == nil {
		return Result{Verdict: Ignored} // rule 5: all it covers was read
	}
	k := writerKey{r.Writer.Node, r.Writer.Boot}
	if r.Writer.Seq <= s.writers[k].seq {
		return Result{Verdict: Repeated} // rule 2
	}
	s.writers[k] = seen{r.Writer.Seq, at}
	res := s.change(at, *r.Change)
	s.forget()
	return res
}

// forget keeps the tables within their bounds, oldest first (rule 9).
func (s *State) forget() {
	for len(s.writers) > maxWriters {
		delete(s.writers, oldest(s.writers, func(w seen) ident.Offset { return w.at }))
	}
	removed := make(map[ident.Class]slot)
	for n, sl := range s.classes {
		if sl.removed {
			removed[n] = sl
		}
	}
	for len(removed) > maxRemoved {
		n := oldest(removed, func(sl slot) ident.Offset { return sl.entry.Revision })
		delete(removed, n)
		delete(s.classes, n)
	}
}

// oldest returns the key of the value with the lowest offset. Two classes that
// one change removed have the same; then the lower name is the older one.
func oldest[K comparable, V any](m map[K]V, at func(V) ident.Offset) K {
	var first K
	low := ident.Offset(0)
	for k, v := range m {
		o := at(v)
		if low == 0 || o < low || o == low && fmt.Sprint(k) < fmt.Sprint(first) {
			first, low = k, o
		}
	}
	return first
}

// HasApplied reports whether a change of a writer was taken in.
func (s *State) HasApplied(w record.Writer) bool {
	return w.Seq <= s.writers[writerKey{w.Node, w.Boot}].seq
}

func (s *State) change(at ident.Offset, c record.Change) Result {
	differs := false
	for _, e := range c.Edits {
		if s.IsInForce(e) { // rule 4
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
	res := Result{Verdict: Accepted}
	for _, e := range c.Edits {
		was, _ := s.Find(e.Name)
		res.Previous = append(res.Previous, was)
		if s.IsInForce(e) {
			continue
		}
		s.classes[e.Name] = slot{
			entry:   record.ActiveClass{Class: e.Class, Revision: at, Author: c.Author},
			removed: e.Removed,
		}
	}
	return res
}

// IsInForce reports whether an edit sets what is already in force.
func (s *State) IsInForce(e record.Edit) bool {
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
	for k, v := range s.writers {
		out.Writers = append(out.Writers, record.Seen{Writer: record.Writer{Node: k.node, Boot: k.boot, Seq: v.seq}, At: v.at})
	}
	slices.SortFunc(out.Writers, func(a, b record.Seen) int { return cmp.Compare(a.At, b.At) })
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
		s.classes[t.Name] = slot{entry: record.ActiveClass{Revision: t.Revision, Author: t.Author}, removed: true}
	}
	for _, w := range sn.Writers {
		s.writers[writerKey{w.Writer.Node, w.Writer.Boot}] = seen{w.Writer.Seq, w.At}
	}
	return s
}
