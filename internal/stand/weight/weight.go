// Package weight is a fake of the platform's weight store, which limits the rate
// of transfers.
//
// # Usage
//
//	s := weight.New(clk, 4) // transfers per second
//	err := s.AcquireTransfer(ctx, "notice-model", 7)
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

// Store is the fake weight store. A token bucket limits the transfers.
type Store struct {
	clock clock.Clock
	rate  float64 // transfers per second

	mu         sync.Mutex
	tokens     float64
	refilledAt clock.Millis
	down       bool
}

// New returns a store that grants rate transfers per second.
func New(c clock.Clock, rate float64) *Store {
	return &Store{clock: c, rate: rate, tokens: rate, refilledAt: c.Now()}
}

// SetDown starts or ends an outage.
func (s *Store) SetDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
}

// AcquireTransfer implements [plat.WeightStore].
func (s *Store) AcquireTransfer(_ context.Context, m ident.Service, _ ident.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return ErrDown
	}
	now := s.clock.Now()
	s.tokens = min(s.rate, s.tokens+(now-s.refilledAt).Seconds()*s.rate)
	s.refilledAt = now
	if s.tokens < 1 {
		retryAfter := clock.Millis((1 - s.tokens) / s.rate * float64(clock.Second))
		return fault.New(fault.Overloaded, "weight store: no transfer of "+string(m)+" is free").WithRetryAfter(retryAfter + 1)
	}
	s.tokens--
	return nil
}
