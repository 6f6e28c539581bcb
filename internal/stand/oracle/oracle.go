// Package oracle defines the answers of the fake engine and the fake plain
// service, so that tests can check the answers of the whole service.
//
// An answer depends only on the prompt, the seed and the limit on tokens, not on
// the engine, the version or the batch.
//
// # Usage
//
//	want := oracle.Answer(prompt, seed, maxTokens)
package oracle

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/hash"
)

// The length of answers is log-normally distributed. A small share of answers is
// longer by a constant factor.
const (
	medianTokens = 24
	lengthSigma  = 0.35
	longShare    = 0.01
	longFactor   = 30
)

// digest returns the pseudo-random number with index i for a prompt and a seed.
// Indices from 0 are for tokens, negative ones for the length.
func digest(prompt []byte, seed int64, i int) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(prompt)
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(seed))
	binary.BigEndian.PutUint64(b[8:], uint64(i))
	_, _ = h.Write(b[:])
	return hash.Mix(h.Sum64())
}

// uniform maps x to a number between 0 and 1, both excluded.
func uniform(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// Length returns the number of tokens of an answer, at least 1 and at most
// maxTokens.
func Length(prompt []byte, seed int64, maxTokens int) int {
	u := uniform(digest(prompt, seed, -1))
	v := uniform(digest(prompt, seed, -2))
	normal := math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*v)
	n := medianTokens * math.Exp(lengthSigma*normal)
	if uniform(digest(prompt, seed, -3)) < longShare {
		n *= longFactor
	}
	return max(1, min(int(n), maxTokens))
}

// Token returns the token at index i of an answer.
func Token(prompt []byte, seed int64, i int) uint32 { return uint32(digest(prompt, seed, i)) }

// Answer returns all tokens of an answer.
func Answer(prompt []byte, seed int64, maxTokens int) []uint32 {
	out := make([]uint32, Length(prompt, seed, maxTokens))
	for i := range out {
		out[i] = Token(prompt, seed, i)
	}
	return out
}

// Reply returns the answer of the fake plain service to a body.
func Reply(body []byte) []byte { return append([]byte("page:"), body...) }
