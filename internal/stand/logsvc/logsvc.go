// Package logsvc is a stand-in for the platform's append-only log, with
// offsets, a rate limit, retention, outages and answers that are lost after
// the append took effect.
//
// # Usage
//
//	l := logsvc.New(clk, logsvc.Params{Rate: 400, Keep: 10000})
//	off, err := l.Append(ctx, "config", [][]byte{rec})
//	l.SetDown(true)
package logsvc

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// ErrDown is returned during an outage; nothing was appended.
var ErrDown = errors.New("log: not available")

// ErrLost is returned when the answer to an append is lost.
var ErrLost = errors.New("log: answer lost")

// Params describe the log.
type Params struct {
	Rate       float64 // appends/s over all streams, 0 for no limit
	MaxRecords int     // records kept of each stream, 0 for all
	Seed       uint64
}

type stream struct {
	first ident.Offset
	recs  []plat.Record
	grown chan struct{}
}

// Log is the stand-in.
type Log struct {
	p     Params
	clock clock.Clock

	mu      sync.Mutex
	streams map[string]*stream
	down    bool
	lose    float64
	rng     *rand.Rand
	tokens  float64
	filled  clock.Millis
	appends int
}

// New returns an empty log.
func New(c clock.Clock, p Params) *Log {
	return &Log{
		p:       p,
		clock:   c,
		streams: make(map[string]*stream),
		rng:     rand.New(rand.NewPCG(p.Seed, 1)),
		tokens:  p.Rate,
		filled:  c.Now(),
	}
}

// SetDown begins or ends an outage.
func (l *Log) SetDown(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = on
}

// SetReplyLossRate sets the share of appends whose answer is lost after the effect.
func (l *Log) SetReplyLossRate(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = share
}

// Appends returns how many append calls took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Expire drops all records of a stream before an offset.
func (l *Log) Expire(name string, before ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).expire(before)
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() ident.Offset { return s.first + ident.Offset(len(s.recs)) }

func (s *stream) expire(before ident.Offset) {
	n := min(max(0, int(before-s.first)), len(s.recs))
	s.recs = s.recs[n:]
	s.first += ident.Offset(n)
}

// Append implements [plat.Log].
func (l *Log) Append(_ context.Context, name string, data [][]byte) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, ErrDown
	}
	if !l.take() {
		return 0, fault.New(fault.Overloaded, "log: append limit reached").WithRetryAfter(clock.Second)
	}
	s := l.stream(name)
	first := s.next()
	for _, d := range data {
		s.recs = append(s.recs, plat.Record{Offset: s.next(), Data: append([]byte(nil), d...)})
	}
	if l.p.MaxRecords > 0 && len(s.recs) > l.p.MaxRecords {
		s.expire(s.next() - ident.Offset(l.p.MaxRecords))
	}
	close(s.grown)
	s.grown = make(chan struct{})
	l.appends++
	if l.rng.Float64() < l.lose {
		return 0, ErrLost
	}
	return first, nil
}

func (l *Log) take() bool {
	if l.p.Rate == 0 {
		return true
	}
	now := l.clock.Now()
	l.tokens = min(l.p.Rate, l.tokens+(now-l.filled).Seconds()*l.p.Rate)
	l.filled = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Read implements [plat.Log].
func (l *Log) Read(ctx context.Context, name string, from ident.Offset, limit int, wait clock.Millis) (plat.Batch, error) {
	b, grown, err := l.read(name, from, limit)
	if err != nil || len(b.Records) > 0 || wait <= 0 {
		return b, err
	}
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return b, errors.Wrap(ctx.Err(), "read")
	case <-t.C:
	case <-grown:
	}
	b, _, err = l.read(name, from, limit)
	return b, err
}

func (l *Log) read(name string, from ident.Offset, limit int) (plat.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return plat.Batch{}, nil, ErrDown
	}
	s := l.stream(name)
	from = max(from, s.first)
	lo := min(int(from-s.first), len(s.recs))
	hi := min(lo+limit, len(s.recs))
	b := plat.Batch{First: s.first, Next: s.first + ident.Offset(hi)}
	b.Records = append(b.Records, s.recs[lo:hi]...)
	return b, s.grown, nil
}
