// Package oracle defines the answers of the stand-in engine and the stand-in
// plain service, so that an observer outside the system can tell a right
// answer from a wrong one.
//
// An answer depends only on the prompt and the seed, never on the engine, the
// version or the batch it ran in.
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

// Shape of the length distribution: log-normal around a median, and a share
// of answers many times as long.
const (
	medianTokens = 24
	sigma        = 0.35
	longShare    = 0.01
	longFactor   = 30
)

func sum(prompt []byte, seed int64, i int) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(prompt)
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(seed))
	binary.BigEndian.PutUint64(b[8:], uint64(i))
	_, _ = h.Write(b[:])
	return hash.Mix(h.Sum64())
}

func uniform(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// Length returns the number of tokens of an answer.
func Length(prompt []byte, seed int64, maxTokens int) int {
	u := uniform(sum(prompt, seed, -1))
	v := uniform(sum(prompt, seed, -2))
	normal := math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*v)
	n := medianTokens * math.Exp(sigma*normal)
	if uniform(sum(prompt, seed, -3)) < longShare {
		n *= longFactor
	}
	return max(1, min(int(n), maxTokens))
}

// Token returns the token at a position of an answer.
func Token(prompt []byte, seed int64, i int) uint32 { return uint32(sum(prompt, seed, i)) }

// Answer returns all tokens of an answer.
func Answer(prompt []byte, seed int64, maxTokens int) []uint32 {
	out := make([]uint32, Length(prompt, seed, maxTokens))
	for i := range out {
		out[i] = Token(prompt, seed, i)
	}
	return out
}

// Reply returns the answer of the stand-in plain service to a body.
func Reply(body []byte) []byte { return append([]byte("page:"), body...) }
