// Package round decides which samples of a round are made, kept, made anew
// and handed over.
//
// Rules:
//
//  1. Each ordinal of the round has at most one finished sample here.
//  2. A reader gets no ordinal that its cursor holds.
//  3. A sample is handed over only if its oldest version is within the bound
//     of the version for which the trainer asks; otherwise it is made anew.
//  4. A sample whose versions are not proven is made anew.
//  5. An ordinal is not started on a version that is already too old.
//
// # Usage
//
//	st := round.New(spec)
//	for _, o := range st.Start() { submit(o) }
//	st.Finished(ordinal, sample)
//	out, remade := st.Read(cursor, version, limit)
package round

import (
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
)

// Spec is what the trainer asked for.
type Spec struct {
	ID        ident.Round
	Class     ident.Class
	Model     ident.Service
	Version   ident.Version // the version for which the trainer asks
	Staleness ident.Version // versions a sample may be behind
	Prompts   [][]byte      // one a group
	Samples   int           // a group
	Seed      int64
	MaxTokens int
}

// Total returns the number of samples.
func (s Spec) Total() int { return len(s.Prompts) * s.Samples }

// Group returns the group of an ordinal.
func (s Spec) Group(ordinal int) int { return ordinal / s.Samples }

// Prompt returns the prompt of an ordinal.
func (s Spec) Prompt(ordinal int) []byte { return s.Prompts[s.Group(ordinal)] }

// SeedOf returns the seed of an ordinal; the same on each try.
func (s Spec) SeedOf(ordinal int) int64 { return s.Seed + int64(ordinal) }

// Floor returns the oldest version within the bound of a version.
func (s Spec) Floor(asked ident.Version) ident.Version {
	if asked <= s.Staleness {
		return 0
	}
	return asked - s.Staleness
}

// Sample is a finished sample.
type Sample struct {
	Ordinal int
	Group   int
	Attempt ident.Attempt
	Node    ident.Node // the agent that holds it
	Tokens  []uint32
	Spans   []model.Span
	Score   float64
}

// Oldest returns the oldest version that made a token of the sample.
func (s Sample) Oldest() ident.Version {
	var v ident.Version
	for i, sp := range s.Spans {
		if i == 0 || sp.Version < v {
			v = sp.Version
		}
	}
	return v
}

type phase uint8

const (
	idle phase = iota
	running
	finished
)

type place struct {
	phase  phase
	sample Sample
}

// Reason tells why a sample is made anew.
type Reason string

// The reasons.
const (
	Stale    Reason = "stale"
	Unproven Reason = "unproven"
	Failed   Reason = "failed"
)

// State is a round at its owner.
type State struct {
	spec   Spec
	asked  ident.Version
	places []place
	remade map[Reason]int
}

// New returns the state of a round of which nothing is made.
func New(s Spec) *State {
	return &State{spec: s, asked: s.Version, places: make([]place, s.Total()), remade: make(map[Reason]int)}
}

// Spec returns what the trainer asked for.
func (st *State) Spec() Spec { return st.spec }

// Floor returns the oldest version on which samples may be started now.
func (st *State) Floor() ident.Version { return st.spec.Floor(st.asked) }

// Start returns the ordinals to start and marks them as running.
func (st *State) Start(held Cursor) []int {
	var out []int
	for i := range st.places {
		if st.places[i].phase == idle && !held.Has(i) {
			st.places[i].phase = running
			out = append(out, i)
		}
	}
	return out
}

// Finished takes in a finished sample and reports whether it is kept.
func (st *State) Finished(s Sample) bool {
	p := &st.places[s.Ordinal]
	if p.phase == finished { // rule 1
		return false
	}
	if s.Oldest() < st.Floor() { // rule 3
		st.again(s.Ordinal, Stale)
		return false
	}
	s.Group = st.spec.Group(s.Ordinal)
	*p = place{phase: finished, sample: s}
	return true
}

// Failed notes that an ordinal has to be made anew.
func (st *State) Failed(ordinal int, why Reason) {
	if st.places[ordinal].phase == running {
		st.again(ordinal, why)
	}
}

func (st *State) again(ordinal int, why Reason) {
	st.places[ordinal] = place{}
	st.remade[why]++
}

// Read returns up to limit finished samples that the cursor does not hold,
// for the version for which the trainer asks now.
func (st *State) Read(held Cursor, asked ident.Version, limit int) []Sample {
	st.asked = max(st.asked, asked)
	var out []Sample
	for i := range st.places {
		p := st.places[i]
		if p.phase != finished || held.Has(i) { // rule 2
			continue
		}
		if p.sample.Oldest() < st.Floor() { // rule 3
			st.again(i, Stale)
			continue
		}
		if len(out) < limit {
			out = append(out, p.sample)
		}
	}
	return out
}

// Remade returns how many samples were made anew, by reason.
func (st *State) Remade() map[Reason]int { return st.remade }

// Count returns how many ordinals are idle, running and finished.
func (st *State) Count() (idles, runs, ends int) {
	for _, p := range st.places {
		switch p.phase {
		case idle:
			idles++
		case running:
			runs++
		case finished:
			ends++
		}
	}
	return idles, runs, ends
}
