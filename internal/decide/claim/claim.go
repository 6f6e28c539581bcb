// Package claim implements at-most-once execution of keyed requests. [State]
// computes from a stream of claims on the log which claim owns a key. [Guard]
// decides at an agent whether a claim that names the agent may be executed.
// Both are pure: they do no I/O.
//
// Claims are applied in offset order. Readers of the same prefix of the stream
// compute the same state:
//
//  1. The first claim of a key owns it.
//  2. A claim that names the owning claim as the one it replaces takes over
//     the key, if both are for the same request. Its writer guarantees that
//     the replaced claim was proven as not executed.
//  3. Every other claim has no effect, so repeated appends are harmless.
//  4. An outcome is recorded only for the claim that owns the key.
//  5. The outcomes done and refused are final. An unknown outcome is replaced
//     by one that is proven later.
//  6. A key whose request is done can't be taken over.
//  7. A claim that refuses the key has the outcome refused. Sends of the key that
//     were in progress before it must not replace it; see [Holder.RefusesSince].
//     Once a send that began later has replaced it, the caller wants the key to be
//     executed, and any send may replace that send's claim by rule 2.
//
// The rules for agents are listed at [Guard].
//
// # Usage
//
//	st := claim.New()
//	owns := st.Claim(offset, writer, c)
//	if h, ok := st.Lookup(key); ok && h.Outcome.State == record.Done { ... }
//
// Each key contains the time at which its caller created it. Records that a
// reader missed may hold claims of any key that existed then, so the reader can't
// decide which claim owns such a key. The horizon is the latest creation time of
// these keys, see [State.RaiseHorizon].
//
// Not handled: after a key was pruned (see [State.Prune]), a later claim of it
// counts as the first one. Callers must reject keys of that age before they
// look them up.
package claim

import (
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// Holder is the claim that owns a key, with its outcome.
type Holder struct {
	Offset  ident.Offset
	Writer  record.Writer
	Claim   record.Claim
	Outcome record.Outcome
}

// RefusesSince reports whether the holder refuses all sends of the key that were in
// progress when the stream ended before the given offset (rule 7).
func (h *Holder) RefusesSince(start ident.Offset) bool { return h.Claim.Refuses && h.Offset >= start }

// State is the result of applying one stream of claims up to an offset.
type State struct {
	keys    map[string]*Holder
	horizon int64 // Unix time in ms; missed records may hold claims of keys created up to this time
}

// New returns the state of an empty stream.
func New() *State { return &State{keys: make(map[string]*Holder)} }

// Lookup returns the claim that owns a key.
func (s *State) Lookup(key string) (Holder, bool) {
	h, ok := s.keys[key]
	if !ok {
		return Holder{}, false
	}
	return *h, true
}

// Len returns the number of keys in the state.
func (s *State) Len() int { return len(s.keys) }

// Claim applies a claim and reports whether it now owns its key.
func (s *State) Claim(at ident.Offset, w record.Writer, c record.Claim) bool {
	current, ok := s.keys[c.Key]
	switch {
	case !ok: // rule 1
	case current.Writer == w: // rule 3
		return current.Offset == at
	case c.Replaces != current.Offset, c.BodyDigest != current.Claim.BodyDigest: // rules 2 and 3
		return false
	case current.Outcome.State == record.Done: // rule 6
		return false
	}
	h := &Holder{Offset: at, Writer: w, Claim: c}
	if c.Refuses { // rule 7
		h.Outcome = record.Outcome{Key: c.Key, ClaimOffset: at, State: record.Refused}
	}
	s.keys[c.Key] = h
	return true
}

// Outcome applies the outcome of a claim.
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

// RaiseHorizon is called when records expired before they were read. They may
// hold claims of keys created up to the given Unix time in ms.
func (s *State) RaiseHorizon(to int64) { s.horizon = max(s.horizon, to) }

// CanDecide reports whether a key created at the given Unix time in ms is too new to
// be in records that expired before they were read.
func (s *State) CanDecide(time int64) bool { return time > s.horizon }

// Prune removes the keys that were created before the given Unix time in ms.
func (s *State) Prune(before int64) {
	for k, h := range s.keys {
		if h.Claim.KeyTime < before {
			delete(s.keys, k)
		}
	}
}
