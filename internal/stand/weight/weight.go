// Package weight is a stand-in for the platform's rate-limited weight store.
//
// # Usage
//
//	s := weight.New(clk, 4) // transfers a second
//	err := s.Fetch(ctx, "notice-model", 7)
package weight

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// ErrDown is returned during an outage.
var ErrDown = errors.New("weight store: not available")

// Store is the stand-in.
type Store struct {
	clock clock.Clock
	rate  float64

	mu     sync.Mutex
	tokens float64
	filled clock.Millis
	down   bool
}

// New returns a store that grants some transfers a second.
func New(c clock.Clock, rate float64) *Store {
	return &Store{clock: c, rate: rate, tokens: rate, filled: c.Now()}
}

// SetDown begins or ends an outage.
func (s *Store) SetDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
}

// AcquireTransfer implements [plat.Weights].
func (s *Store) AcquireTransfer(_ context.Context, m ident.Service, _ ident.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return ErrDown
	}
	now := s.clock.Now()
	s.tokens = min(s.rate, s.tokens+(now-s.filled).Seconds()*s.rate)
	s.filled = now
	if s.tokens < 1 {
		wait := clock.Millis((1 - s.tokens) / s.rate * float64(clock.Second))
		return fault.New(fault.Overloaded, "weight store: no transfer of "+string(m)+" is free").WithRetryAfter(wait + 1)
	}
	s.tokens--
	return nil
}
