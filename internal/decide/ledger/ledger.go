// Package ledger implements the replicated state machine of the configuration,
// which is a set of classes of work (see package class). It applies the records
// of one stream in offset order and computes the classes in force.
//
// Rules:
//
//  1. Nodes that read the same prefix of the stream hold the same state.
//  2. A record is ignored if its writer has already written a change with the
//     same or a higher sequence number.
//  3. A change is accepted if each of its edits names the revision in force as
//     its base. Otherwise the whole change is rejected, and the result names
//     the author of the revision in force.
//  4. An edit that sets what is already in force is accepted as unchanged,
//     whatever its base, so that a client that was interrupted can repeat it.
//  5. A snapshot is the exact state after all records up to the offset that it
//     covers. It replaces the state only if it covers a higher offset; records
//     after that offset that were already read are then applied to it.
//  6. The offset of the state never decreases.
//  7. A reader that missed records of a truncated log keeps its state and
//     buffers later records until a snapshot covers the gap. No record is
//     skipped silently.
//  8. A record that needs a newer program version is a gap: skipping it would
//     violate rule 1. The reader keeps the state before it until it reads a
//     snapshot that covers it.
//  9. The tables of writers and of removed classes are bounded. Which rows are
//     pruned depends on the records alone (rule 1). A repeated change whose
//     writer was pruned is still not accepted twice, because of rule 3.
//
// # Usage
//
//	r := ledger.NewReader()
//	r.Truncated(batch.First)
//	applied := r.Apply(offset, rec)
//	if e, ok := r.State().Find("live-draft"); ok { ... }
package ledger

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// Verdict is the result of applying a record.
type Verdict uint8

// The verdicts.
const (
	Accepted  Verdict = iota
	Unchanged         // accepted, but all edits were already in force
	Conflict          // rejected (rule 3)
	Repeated          // ignored, was applied before (rule 2)
	Ignored           // not a change: a snapshot or an undecodable record
)

var verdictNames = [...]string{
	Accepted:  "accepted",
	Unchanged: "unchanged",
	Conflict:  "conflict",
	Repeated:  "repeated",
	Ignored:   "ignored",
}

// String returns the name that the audit trail uses.
func (v Verdict) String() string { return verdictNames[v] }

// Result is a verdict with the details of a conflict.
type Result struct {
	Verdict  Verdict
	Class    ident.Class          // the class in conflict
	Winner   ident.Caller         // author of the revision in force
	InForce  ident.Offset         // the revision in force
	Previous []record.ActiveClass // by edit: the class before the edit, empty if it didn't exist
}

// writerKey identifies a writer of records: one incarnation of a node.
type writerKey struct {
	node        ident.Node
	incarnation ident.Incarnation
}

// classState is the last revision of a class, which may be its removal.
type classState struct {
	active  record.ActiveClass
	removed bool
}

// State is the configuration after the records up to an offset.
type State struct {
	offset  ident.Offset
	classes map[ident.Class]classState
	writers map[writerKey]lastChange
}

// lastChange identifies the last change of a writer.
type lastChange struct {
	seq    uint64
	offset ident.Offset
}

// Bounds of the tables (rule 9).
const (
	maxWriters = 128
	maxRemoved = 1024
)

// New returns the empty state before the first record.
func New() *State {
	return &State{classes: make(map[ident.Class]classState), writers: make(map[writerKey]lastChange)}
}

// Offset returns the offset of the last record that was applied or skipped.
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

// Find returns a class and whether it is in force.
func (s *State) Find(n ident.Class) (record.ActiveClass, bool) {
	cs, ok := s.classes[n]
	return cs.active, ok && !cs.removed
}

// Revision returns the revision of the last change of a class, including its
// removal, or 0 if the class was never set.
func (s *State) Revision(n ident.Class) ident.Offset { return s.classes[n].active.Revision }

// ActiveClasses returns all classes in force, sorted by name.
func (s *State) ActiveClasses() []record.ActiveClass {
	var out []record.ActiveClass
	for _, cs := range s.classes {
		if !cs.removed {
			out = append(out, cs.active)
		}
	}
	slices.SortFunc(out, func(a, b record.ActiveClass) int { return cmp.Compare(a.Class.Name(), b.Class.Name()) })
	return out
}

// Skip advances past a record that can't be decoded.
func (s *State) Skip(at ident.Offset) { s.offset = max(s.offset, at) }

// Apply applies the record at an offset.
func (s *State) Apply(at ident.Offset, r record.Record) Result {
	if at <= s.offset {
		return Result{Verdict: Repeated}
	}
	s.offset = at // rule 6
	if r.Change == nil {
		return Result{Verdict: Ignored} // rule 5: the state includes all records that the snapshot covers
	}
	k := writerKey{r.Writer.Node, r.Writer.Boot}
	if r.Writer.Seq <= s.writers[k].seq {
		return Result{Verdict: Repeated} // rule 2
	}
	s.writers[k] = lastChange{r.Writer.Seq, at}
	res := s.applyChange(at, *r.Change)
	s.prune()
	return res
}

// prune removes the oldest rows of tables that exceed their bounds (rule 9).
func (s *State) prune() {
	for len(s.writers) > maxWriters {
		delete(s.writers, oldest(s.writers, func(w lastChange) ident.Offset { return w.offset }))
	}
	removed := make(map[ident.Class]classState)
	for n, cs := range s.classes {
		if cs.removed {
			removed[n] = cs
		}
	}
	for len(removed) > maxRemoved {
		n := oldest(removed, func(cs classState) ident.Offset { return cs.active.Revision })
		delete(removed, n)
		delete(s.classes, n)
	}
}

// oldest returns the key of the value with the lowest offset. Classes that were
// removed by the same change have equal offsets; of these it returns the one
// whose name sorts first.
func oldest[K comparable, V any](m map[K]V, at func(V) ident.Offset) K {
	var first K
	lowest := ident.Offset(0)
	for k, v := range m {
		o := at(v)
		if lowest == 0 || o < lowest || o == lowest && fmt.Sprint(k) < fmt.Sprint(first) {
			first, lowest = k, o
		}
	}
	return first
}

// HasApplied reports whether a writer's change was applied, whether or not it
// was accepted.
func (s *State) HasApplied(w record.Writer) bool {
	return w.Seq <= s.writers[writerKey{w.Node, w.Boot}].seq
}

// applyChange applies a change by rules 3 and 4.
func (s *State) applyChange(at ident.Offset, c record.Change) Result {
	differs := false
	for _, e := range c.Edits {
		if s.IsInForce(e) { // rule 4
			continue
		}
		differs = true
		if e.Base != s.Revision(e.Name) { // rule 3
			current := s.classes[e.Name].active
			return Result{Verdict: Conflict, Class: e.Name, Winner: current.Author, InForce: current.Revision}
		}
	}
	if !differs {
		return Result{Verdict: Unchanged}
	}
	res := Result{Verdict: Accepted}
	for _, e := range c.Edits {
		previous, _ := s.Find(e.Name)
		res.Previous = append(res.Previous, previous)
		if s.IsInForce(e) {
			continue
		}
		s.classes[e.Name] = classState{
			active:  record.ActiveClass{Class: e.Class, Revision: at, Author: c.Author},
			removed: e.Removed,
		}
	}
	return res
}

// IsInForce reports whether an edit would change nothing.
func (s *State) IsInForce(e record.Edit) bool {
	current, ok := s.Find(e.Name)
	if e.Removed {
		return !ok
	}
	return ok && current.Class == e.Class
}

// Snapshot returns the state as the content of a snapshot record.
func (s *State) Snapshot() record.Snapshot {
	out := record.Snapshot{Covers: s.offset, Classes: s.ActiveClasses()}
	for n, cs := range s.classes {
		if cs.removed {
			out.Removed = append(out.Removed, record.Tombstone{Name: n, Revision: cs.active.Revision, Author: cs.active.Author})
		}
	}
	slices.SortFunc(out.Removed, func(a, b record.Tombstone) int { return cmp.Compare(a.Name, b.Name) })
	for k, v := range s.writers {
		out.Writers = append(out.Writers, record.LastChange{
			Writer: record.Writer{Node: k.node, Boot: k.incarnation, Seq: v.seq}, Offset: v.offset,
		})
	}
	slices.SortFunc(out.Writers, func(a, b record.LastChange) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}

// Restore returns the state that a snapshot describes.
func Restore(sn record.Snapshot) *State {
	s := New()
	s.offset = sn.Covers
	for _, e := range sn.Classes {
		s.classes[e.Class.Name()] = classState{active: e}
	}
	for _, t := range sn.Removed {
		s.classes[t.Name] = classState{active: record.ActiveClass{Revision: t.Revision, Author: t.Author}, removed: true}
	}
	for _, w := range sn.Writers {
		s.writers[writerKey{w.Writer.Node, w.Writer.Boot}] = lastChange{w.Writer.Seq, w.Offset}
	}
	return s
}
