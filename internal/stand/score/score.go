// Package score is a fake scoring service.
//
// # Usage
//
//	s := score.New(2 * clock.Milli)
//	v, err := s.Score(ctx, prompt, tokens)
package score

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// ErrDown is returned while the service is down.
var ErrDown = errors.New("scorer: failed")

// Scorer is the fake scoring service.
type Scorer struct {
	latency clock.Millis
	down    atomic.Bool
}

// New returns a scorer whose calls take a fixed time.
func New(latency clock.Millis) *Scorer { return &Scorer{latency: latency} }

// SetDown sets whether calls fail.
func (s *Scorer) SetDown(on bool) { s.down.Store(on) }

// Score implements [plat.Scorer].
func (s *Scorer) Score(ctx context.Context, prompt []byte, tokens []uint32) (float64, error) {
	select {
	case <-ctx.Done():
		return 0, errors.Wrap(ctx.Err(), "score")
	case <-time.After(s.latency.Duration()):
	}
	if s.down.Load() {
		return 0, ErrDown
	}
	return Value(prompt, tokens), nil
}

// Value returns the score of an answer. Tests compare scores with it.
func Value(prompt []byte, tokens []uint32) float64 {
	sum := uint64(len(prompt))
	for _, t := range tokens {
		sum = sum*31 + uint64(t)
	}
	return float64(sum%1000) / 1000
}
