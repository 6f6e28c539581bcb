// Package plain is a stand-in plain service with calls that may not be
// repeated.
//
// It counts how often each body that may not be repeated was run, over all
// servers that share one [Ledger]; an observer reads the count.
//
// # Usage
//
//	l := plain.NewLedger()
//	s := plain.New(l, 3*clock.Milli)
//	body, err := s.Do(ctx, plat.Call{Body: b, Once: true})
package plain

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
)

// CrashMarker in a body crashes the server that runs it, after the effect.
var CrashMarker = []byte("crash-the-service")

// ErrCrashed is returned by every call on a crashed server.
var ErrCrashed = errors.New("service: crashed")

// RunCounter holds the lasting effects of all servers of one service.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns an empty ledger.
func NewRunCounter() *RunCounter { return &RunCounter{runs: make(map[string]int)} }

// Runs returns how often a body was run.
func (l *RunCounter) Runs(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[body]
}

// Max returns the largest count and the number of distinct bodies.
func (l *RunCounter) Max() (most, bodies int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.runs {
		most = max(most, n)
	}
	return most, len(l.runs)
}

func (l *RunCounter) add(body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[body]++
}

// Service is one server.
type Service struct {
	ledger *RunCounter
	took   clock.Millis

	mu   sync.Mutex
	boot ident.Incarnation
	down bool

	starts atomic.Int64
}

// New returns a server whose calls take a fixed time.
func New(l *RunCounter, took clock.Millis) *Service {
	return &Service{ledger: l, took: took, boot: ident.NewIncarnation()}
}

// Do implements [plat.Plain].
func (s *Service) Do(ctx context.Context, c plat.ServiceCall) ([]byte, error) {
	if s.isDown() {
		return nil, ErrCrashed
	}
	s.starts.Add(1)
	if c.AtMostOnce {
		s.ledger.add(string(c.Body))
	}
	if bytes.Contains(c.Body, CrashMarker) {
		s.Crash()
		return nil, ErrCrashed
	}
	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "call")
	case <-time.After(s.took.Duration()):
	}
	if s.isDown() {
		return nil, ErrCrashed
	}
	return oracle.Reply(c.Body), nil
}

// Starts returns how many calls the server has begun.
func (s *Service) Starts() int { return int(s.starts.Load()) }

// Incarnation implements [plat.Plain].
func (s *Service) Incarnation(context.Context) (ident.Incarnation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, ErrCrashed
	}
	return s.boot, nil
}

func (s *Service) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Crash takes the server down until Restart.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

// Restart brings the server back under a new incarnation.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.boot = ident.NewIncarnation()
}
