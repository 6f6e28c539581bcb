// Package claim decides which claim of a key may run. It holds the two pure
// halves of work that may run at most once: what a stream of claims on the log
// says, and what the agent that a claim names lets run.
//
// A stream of claims is read in offset order. Readers of the same prefix agree:
//
//  1. The first claim of a key holds it.
//  2. A claim that names the holder as the one it follows takes the key over,
//     if it is for the same request. Its writer vouches that the holder is
//     proven as not run.
//  3. Every other claim has no effect, so a repeated append has none.
//  4. An outcome counts only for the claim that holds the key.
//  5. Done and refused are final. Lost gives way to a proof.
//  6. Nothing takes over a key whose request is done.
//
// The rules of the agent stand at [Guard].
//
// # Usage
//
//	st := claim.New()
//	won := st.Claim(offset, writer, c)
//	if h, ok := st.Look(key); ok && h.Outcome.State == record.Done { ... }
//
// A reader that lost records raises a floor: it can't judge keys that are not
// newer, see [State.Raise].
//
// Not handled: a reader that has forgotten a key (see [State.Forget]) takes a
// later claim of it for the first one. Its caller refuses such keys by their
// time before it looks here.
package claim

import (
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// Holder is the claim that holds a key, and what became of it.
type Holder struct {
	Offset  ident.Offset
	Writer  record.Writer
	Claim   record.Claim
	Outcome record.Outcome
}

// State is what one stream of claims says up to an offset.
type State struct {
	keys  map[string]*Holder
	floor int64 // keys up to this time, in ms, may stand in records never read
}

// New returns the state of an empty stream.
func New() *State { return &State{keys: make(map[string]*Holder)} }

// Lookup returns the claim that holds a key.
func (s *State) Lookup(key string) (Holder, bool) {
	h, ok := s.keys[key]
	if !ok {
		return Holder{}, false
	}
	return *h, true
}

// Len returns the number of keys held.
func (s *State) Len() int { return len(s.keys) }

// Claim applies a claim and reports whether it now holds its key.
func (s *State) Claim(at ident.Offset, w record.Writer, c record.Claim) bool {
	old, ok := s.keys[c.Key]
	switch {
	case !ok: // rule 1
	case old.Writer == w: // rule 3
		return old.Offset == at
	case c.Replaces != old.Offset, c.BodyDigest != old.Claim.BodyDigest: // rules 2 and 3
		return false
	case old.Outcome.State == record.Done: // rule 6
		return false
	}
	s.keys[c.Key] = &Holder{Offset: at, Writer: w, Claim: c}
	return true
}

// Outcome applies an outcome.
func (s *State) Outcome(o record.Outcome) {
	h, ok := s.keys[o.Key]
	if !ok || h.Offset != o.ClaimOffset { // rule 4
		return
	}
	if h.Outcome.State == record.Done || h.Outcome.State == record.Refused { // rule 5
		return
	}
	h.Outcome = o
}

// RaiseHorizon notes that records expired unread that may hold keys up to a time in
// ms.
func (s *State) RaiseHorizon(to int64) { s.floor = max(s.floor, to) }

// CanDecide reports whether a key of a time in ms can't stand in records that
// expired unread.
func (s *State) CanDecide(time int64) bool { return time > s.floor }

// Prune drops the keys whose time is before an instant in ms.
func (s *State) Prune(before int64) {
	for k, h := range s.keys {
		if h.Claim.KeyTime < before {
			delete(s.keys, k)
		}
	}
}
