// Package plain is a fake plain service, some of whose calls must not be repeated.
//
// All servers of the service share one [RunCounter], which counts how often each
// body of a call that must not be repeated was run. Tests check the counts.
//
// # Usage
//
//	c := plain.NewRunCounter()
//	s := plain.New(c, 3*clock.Milli)
//	body, err := s.Do(ctx, plat.ServiceCall{Body: b, AtMostOnce: true})
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

// CrashMarker in a body crashes the server that runs the call, after the run was
// counted.
var CrashMarker = []byte("crash-the-service")

// ErrCrashed is returned by every call on a crashed server.
var ErrCrashed = errors.New("service: crashed")

// RunCounter counts the runs of at-most-once calls on all servers of one service.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int // by body
}

// NewRunCounter returns an empty counter.
func NewRunCounter() *RunCounter { return &RunCounter{runs: make(map[string]int)} }

// Runs returns the number of runs of a body.
func (c *RunCounter) Runs(body string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[body]
}

// Max returns the largest number of runs of one body, and the number of distinct
// bodies.
func (c *RunCounter) Max() (maxRuns, bodies int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.runs {
		maxRuns = max(maxRuns, n)
	}
	return maxRuns, len(c.runs)
}

func (c *RunCounter) add(body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[body]++
}

// Service is one server of the fake plain service.
type Service struct {
	counter *RunCounter
	latency clock.Millis

	mu          sync.Mutex
	incarnation ident.Incarnation
	down        bool

	starts atomic.Int64
}

// New returns a server whose calls take a fixed time.
func New(c *RunCounter, latency clock.Millis) *Service {
	return &Service{counter: c, latency: latency, incarnation: ident.NewIncarnation()}
}

// Do implements [plat.PlainServer].
func (s *Service) Do(ctx context.Context, c plat.ServiceCall) ([]byte, error) {
	if s.isDown() {
		return nil, ErrCrashed
	}
	s.starts.Add(1)
	if c.AtMostOnce {
		s.counter.add(string(c.Body))
	}
	if bytes.Contains(c.Body, CrashMarker) {
		s.Crash()
		return nil, ErrCrashed
	}
	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "call")
	case <-time.After(s.latency.Duration()):
	}
	if s.isDown() {
		return nil, ErrCrashed
	}
	return oracle.Reply(c.Body), nil
}

// Starts returns the number of calls that the server has started.
func (s *Service) Starts() int { return int(s.starts.Load()) }

// Incarnation implements [plat.PlainServer].
func (s *Service) Incarnation(context.Context) (ident.Incarnation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, ErrCrashed
	}
	return s.incarnation, nil
}

func (s *Service) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Crash makes all calls fail until Restart.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

// Restart starts the server again, as a new incarnation.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.incarnation = ident.NewIncarnation()
}
