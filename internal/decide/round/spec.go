package round

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
)

// Spec is what the trainer asked for.
type Spec struct {
	ID                 ident.Round
	Class              ident.Class
	Model              ident.Service
	Version            ident.Version // the version for which the trainer asks
	Staleness          ident.Version // versions a sample may be behind
	Prompts            [][]byte      // one a group
	SamplesPerGroup    int           // a group
	Seed               int64
	MaxTokens          int // of a sample
	RequestedMaxTokens int // bound of tokens that the trainer gave, 0 for the class's
}

// Digest names what the trainer gave, without what its class adds. Two rounds
// of one name with different digests are different rounds.
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

// Total returns the number of samples.
func (s Spec) Total() int { return len(s.Prompts) * s.SamplesPerGroup }

// Group returns the group of an ordinal.
func (s Spec) Group(ordinal int) int { return ordinal / s.SamplesPerGroup }

// Prompt returns the prompt of an ordinal.
func (s Spec) Prompt(ordinal int) []byte { return s.Prompts[s.Group(ordinal)] }

// SeedOf returns the seed of an ordinal; the same on each try.
func (s Spec) SeedOf(ordinal int) int64 { return s.Seed + int64(ordinal) }

// MinVersion returns the oldest version within the bound of a version.
func (s Spec) MinVersion(asked ident.Version) ident.Version {
	if asked <= s.Staleness {
		return 0
	}
	return asked - s.Staleness
}

// Sample is a whole sample.
type Sample struct {
	Ordinal int
	Group   int
	Attempt ident.Attempt
	Node    ident.Node // the agent that holds it
	Tokens  []uint32
	Spans   []model.Span
	Score   float64
	Refused string // why it can't be made; empty for a sample that was made
}

// OldestVersion returns the oldest version that made a token of the sample.
func (s Sample) OldestVersion() ident.Version { return oldest(s.Spans) }

// Partial is the beginning of a sample.
type Partial struct {
	Tokens []uint32
	Spans  []model.Span
}

// OldestVersion returns the oldest version that made a token of the part, the highest
// number if it is empty.
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
