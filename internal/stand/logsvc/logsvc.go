// Package logsvc is a fake of the platform's append-only log, with offsets, a rate
// limit, retention, outages, and answers that are lost after the append took
// effect.
//
// # Usage
//
//	l := logsvc.New(clk, logsvc.Params{Rate: 400, MaxRecords: 10000})
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

// ErrDown is returned during an outage. Nothing was appended.
var ErrDown = errors.New("log: not available")

// ErrReplyLost is returned if the answer to an append is lost. The append took effect.
var ErrReplyLost = errors.New("log: answer lost")

// Params configures a log.
type Params struct {
	Rate       float64 // appends per second to all streams together, 0 for no limit
	MaxRecords int     // retained records per stream, 0 for no limit
	Seed       uint64
}

// stream is one named sequence of records.
type stream struct {
	first    ident.Offset // first retained offset
	records  []plat.Record
	appended chan struct{} // closed and replaced by each append
}

// Log is the fake log. A token bucket limits the appends.
type Log struct {
	p     Params
	clock clock.Clock

	mu            sync.Mutex
	streams       map[string]*stream
	down          bool
	replyLossRate float64
	rng           *rand.Rand
	tokens        float64
	refilledAt    clock.Millis
	appends       int
}

// New returns an empty log.
func New(c clock.Clock, p Params) *Log {
	return &Log{
		p:          p,
		clock:      c,
		streams:    make(map[string]*stream),
		rng:        rand.New(rand.NewPCG(p.Seed, 1)),
		tokens:     p.Rate,
		refilledAt: c.Now(),
	}
}

// SetDown starts or ends an outage.
func (l *Log) SetDown(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = on
}

// SetReplyLossRate sets the share of appends whose answer is lost after the append
// took effect.
func (l *Log) SetReplyLossRate(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replyLossRate = share
}

// Appends returns the number of append calls that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Expire removes all records of a stream before an offset.
func (l *Log) Expire(name string, before ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).expire(before)
}

// stream returns a stream and creates it if necessary.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) nextOffset() ident.Offset { return s.first + ident.Offset(len(s.records)) }

func (s *stream) expire(before ident.Offset) {
	n := min(max(0, int(before-s.first)), len(s.records))
	s.records = s.records[n:]
	s.first += ident.Offset(n)
}

// Append implements [plat.Log].
func (l *Log) Append(_ context.Context, name string, data [][]byte) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, ErrDown
	}
	if !l.takeToken() {
		return 0, fault.New(fault.Overloaded, "log: append limit reached").WithRetryAfter(clock.Second)
	}
	s := l.stream(name)
	first := s.nextOffset()
	for _, d := range data {
		s.records = append(s.records, plat.Record{Offset: s.nextOffset(), Data: append([]byte(nil), d...)})
	}
	if l.p.MaxRecords > 0 && len(s.records) > l.p.MaxRecords {
		s.expire(s.nextOffset() - ident.Offset(l.p.MaxRecords))
	}
	close(s.appended)
	s.appended = make(chan struct{})
	l.appends++
	if l.rng.Float64() < l.replyLossRate {
		return 0, ErrReplyLost
	}
	return first, nil
}

// takeToken withdraws a token for one append from the bucket, and reports whether
// there was one.
func (l *Log) takeToken() bool {
	if l.p.Rate == 0 {
		return true
	}
	now := l.clock.Now()
	l.tokens = min(l.p.Rate, l.tokens+(now-l.refilledAt).Seconds()*l.p.Rate)
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Read implements [plat.Log].
func (l *Log) Read(ctx context.Context, name string, from ident.Offset, limit int, wait clock.Millis) (plat.Batch, error) {
	b, appended, err := l.readNow(name, from, limit)
	if err != nil || len(b.Records) > 0 || wait <= 0 {
		return b, err
	}
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return b, errors.Wrap(ctx.Err(), "read")
	case <-t.C:
	case <-appended:
	}
	b, _, err = l.readNow(name, from, limit)
	return b, err
}

// readNow reads without waiting. The channel is closed by the next append to the
// stream.
func (l *Log) readNow(name string, from ident.Offset, limit int) (plat.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return plat.Batch{}, nil, ErrDown
	}
	s := l.stream(name)
	from = max(from, s.first)
	lo := min(int(from-s.first), len(s.records))
	hi := min(lo+limit, len(s.records))
	b := plat.Batch{First: s.first, Next: s.first + ident.Offset(hi)}
	b.Records = append(b.Records, s.records[lo:hi]...)
	return b, s.appended, nil
}
