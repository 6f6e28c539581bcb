package round

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
)

// Spec is the specification of a round, as requested by a trainer.
type Spec struct {
	ID                 ident.Round
	Class              ident.Class
	Model              ident.Service
	Version            ident.Version // requested version of the model
	Staleness          ident.Version // number of versions that a sample may be behind
	Prompts            [][]byte      // one per group
	SamplesPerGroup    int
	Seed               int64
	MaxTokens          int // per sample
	RequestedMaxTokens int // MaxTokens as given by the trainer, 0 for the bound of the class
}

// Digest returns a hash of what the trainer specified, without values that come
// from the class. Rounds with the same ID and different digests are different
// rounds.
func (s Spec) Digest() string {
	h := sha256.New()
	put := func(b []byte) {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(b))))
		h.Write(b)
	}
	put([]byte(s.ID))
	put([]byte(s.Class))
	for _, n := range []int64{int64(s.Version), int64(s.SamplesPerGroup), s.Seed, int64(s.RequestedMaxTokens)} {
		put(binary.BigEndian.AppendUint64(nil, uint64(n)))
	}
	for _, p := range s.Prompts {
		put(p)
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:12])
}

// Total returns the number of samples of the round.
func (s Spec) Total() int { return len(s.Prompts) * s.SamplesPerGroup }

// Group returns the group of an ordinal.
func (s Spec) Group(ordinal int) int { return ordinal / s.SamplesPerGroup }

// Prompt returns the prompt of an ordinal.
func (s Spec) Prompt(ordinal int) []byte { return s.Prompts[s.Group(ordinal)] }

// SeedOf returns the seed of an ordinal, which is the same for each attempt.
func (s Spec) SeedOf(ordinal int) int64 { return s.Seed + int64(ordinal) }

// MinVersion returns the oldest version that is within the staleness bound of
// the requested version.
func (s Spec) MinVersion(requested ident.Version) ident.Version {
	if requested <= s.Staleness {
		return 0
	}
	return requested - s.Staleness
}

// Sample is a complete sample, or the refusal of one.
type Sample struct {
	Ordinal int
	Group   int
	Attempt ident.Attempt
	Node    ident.Node // the agent that has stored it
	Tokens  []uint32
	Spans   []model.Span
	Score   float64
	Refused string // why the sample can't be generated, empty for a generated sample
}

// OldestVersion returns the oldest version that generated a token of the
// sample.
func (s Sample) OldestVersion() ident.Version { return oldest(s.Spans) }

// Partial holds the first tokens of a sample.
type Partial struct {
	Tokens []uint32
	Spans  []model.Span
}

// OldestVersion returns the oldest version that generated a token of the
// partial sample, or the highest possible version if there are no spans.
func (p Partial) OldestVersion() ident.Version {
	if len(p.Spans) == 0 {
		return ^ident.Version(0)
	}
	return oldest(p.Spans)
}

func oldest(ss []model.Span) ident.Version {
	var v ident.Version
	for i, sp := range ss {
		if i == 0 || sp.Version < v {
			v = sp.Version
		}
	}
	return v
}
