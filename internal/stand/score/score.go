// Package score is a stand-in scoring service.
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

// ErrDown is returned while the service fails.
var ErrDown = errors.New("scorer: failed")

// Scorer is the stand-in.
type Scorer struct {
	took clock.Millis
	down atomic.Bool
}

// New returns a scorer whose calls take a fixed time.
func New(took clock.Millis) *Scorer { return &Scorer{took: took} }

// SetDown makes each call fail, or not.
func (s *Scorer) SetDown(on bool) { s.down.Store(on) }

// Score implements [plat.Scorer].
func (s *Scorer) Score(ctx context.Context, prompt []byte, tokens []uint32) (float64, error) {
	select {
	case <-ctx.Done():
		return 0, errors.Wrap(ctx.Err(), "score")
	case <-time.After(s.took.Duration()):
	}
	if s.down.Load() {
		return 0, ErrDown
	}
	return Value(prompt, tokens), nil
}

// Value is the score that the stand-in gives; an observer compares with it.
func Value(prompt []byte, tokens []uint32) float64 {
	sum := uint64(len(prompt))
	for _, t := range tokens {
		sum = sum*31 + uint64(t)
	}
	return float64(sum%1000) / 1000
}
