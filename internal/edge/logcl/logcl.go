// Package logcl limits the rate at which one node calls the platform's log, so that
// all nodes together stay below the log's limit, however many nodes there are.
//
// Each node gets an equal share of the limit. Appends to one stream that arrive while
// an earlier append waits for the share are sent as one batch.
//
// After a failure a node sends one append at a time, after a backoff that doubles and
// has jitter, so that the nodes don't overload the log when it recovers. Reads have a
// backoff of their own. While reads succeed, the backoff of appends stays short: the
// log is up, and only the answers to appends are lost. The node's share still limits
// the appends.
//
// # Usage
//
//	log := logcl.New(client.NewLog(url), logcl.Params{Limit: 300, Nodes: live, Clock: clk})
//	off, err := log.Append(ctx, "config", [][]byte{rec})
//
// An append that was never sent fails with the kind [fault.LogUnavailable], which
// proves that it was not executed. After any other error the records may have been
// added.
package logcl

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// Params configures a [Log].
type Params struct {
	Limit float64    // appends per second of all nodes together
	Nodes func() int // number of nodes that append
	Clock clock.Clock
}

const (
	maxBatchRecords   = 256
	appendTimeout     = 3 * time.Second
	minBackoff        = 100 * time.Millisecond
	maxBackoff        = 5 * time.Second
	maxBackoffWhileUp = 200 * time.Millisecond // limit for appends while reads succeed
	burstSeconds      = 0.25                   // size of the token bucket, as seconds of the node's share
)

// batch collects the records of several calls of [Log.Append] for one stream that are
// sent as one append.
type batch struct {
	records  [][]byte // nil where a record was canceled
	sent     bool
	canceled int // records whose callers gave up before the batch was sent
	done     chan struct{}
	offset   ident.Offset
	err      error
}

// sentBefore returns how many records before index i were sent. It is called after
// the batch was sent, when its records no longer change.
func (b *batch) sentBefore(i int) int {
	n := 0
	for _, r := range b.records[:i] {
		if r != nil {
			n++
		}
	}
	return n
}

// backoff delays calls after failures. The zero value means no delay.
type backoff struct {
	delay time.Duration // before jitter; 0 for none
	until time.Time     // time of the next allowed call
}

// grow doubles the delay after a failure and starts it.
func (b *backoff) grow() {
	b.delay = min(max(minBackoff, 2*b.delay), maxBackoff)
	b.until = time.Now().Add(b.delay/2 + rand.N(b.delay)) //nolint:gosec // spreads out the calls of the nodes
}

// shorten limits the delay to maxBackoffWhileUp, once the log is known to be up.
func (b *backoff) shorten() {
	if b.delay <= maxBackoffWhileUp {
		return
	}
	b.delay = maxBackoffWhileUp
	if b.remaining() > maxBackoffWhileUp {
		b.until = time.Now().Add(b.delay/2 + rand.N(b.delay/2)) //nolint:gosec // spreads out the calls of the nodes
	}
}

// remaining returns the time until the next call is allowed.
func (b *backoff) remaining() time.Duration { return max(0, time.Until(b.until)) }

// Log is a [plat.Log] that limits the rate of calls to the log that it wraps. It is
// safe for concurrent use.
type Log struct {
	plat.Log
	params Params

	mu            sync.Mutex
	pending       map[string]*batch // by stream; batches that still accept records
	appendBackoff backoff
	readBackoff   backoff
	retryInFlight bool    // the first append after a failure was sent and has not ended
	tokens        float64 // appends that may be sent now
	refilledAt    clock.Millis
}

// New returns a client that limits the rate of calls to l.
func New(l plat.Log, params Params) *Log {
	return &Log{
		Log:        l,
		params:     params,
		pending:    make(map[string]*batch),
		refilledAt: params.Clock.Now(),
		tokens:     rand.Float64(), //nolint:gosec // spreads out the calls of the nodes
	}
}

// Append implements [plat.Log].
func (l *Log) Append(ctx context.Context, stream string, data [][]byte) (ident.Offset, error) {
	b, first, err := l.enqueue(stream, data)
	if err != nil {
		return 0, err
	}
	select {
	case <-b.done:
		if b.err != nil {
			return 0, b.err
		}
		return b.offset + ident.Offset(b.sentBefore(first)), nil
	case <-ctx.Done():
		return 0, l.cancelRecords(ctx, b, first, len(data))
	}
}

// enqueue adds records to the pending batch of a stream, or to a new one. first is
// the index of the first of these records in the batch.
func (l *Log) enqueue(stream string, data [][]byte) (b *batch, first int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if left := l.appendBackoff.remaining(); left > 0 || l.retryInFlight {
		return nil, 0, fault.New(fault.LogUnavailable, "the platform's log failed shortly before").WithRetryAfter(clock.FromDuration(left) + 1)
	}
	b = l.pending[stream]
	if b == nil || len(b.records)+len(data) > maxBatchRecords {
		b = &batch{done: make(chan struct{})}
		l.pending[stream] = b
		go l.send(stream, b)
	}
	b.records = append(b.records, data...)
	return b, len(b.records) - len(data), nil
}

// cancelRecords removes the records of a caller whose context has ended from a batch,
// unless the batch was sent already. It returns the error for the caller.
func (l *Log) cancelRecords(ctx context.Context, b *batch, first, n int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.sent {
		return fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the platform's log did not confirm an append")
	}
	for i := first; i < first+n; i++ {
		b.records[i] = nil
	}
	b.canceled += n
	return fault.Wrap(fault.LogUnavailable, ctx.Err(), "the append waited for its share of the log's limit")
}

// send waits until the node's share allows an append and sends a batch.
func (l *Log) send(stream string, b *batch) {
	for {
		wait := l.withdraw(stream, b)
		if wait == 0 {
			break
		}
		time.Sleep(wait)
	}
	data := make([][]byte, 0, len(b.records))
	for _, d := range b.records {
		if d != nil {
			data = append(data, d)
		}
	}
	if len(data) > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
		b.offset, b.err = l.Log.Append(ctx, stream, data)
		cancel()
	}
	l.finish(b)
}

// withdraw takes the token for one append from the bucket and returns 0, or returns
// how long to wait before the next attempt. With the token taken, the batch accepts
// no more records.
func (l *Log) withdraw(stream string, b *batch) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if left := l.appendBackoff.remaining(); left > 0 {
		return left
	}
	if l.appendBackoff.delay > 0 && l.retryInFlight {
		return minBackoff
	}
	rate := l.params.Limit / float64(max(1, l.params.Nodes()))
	now := l.params.Clock.Now()
	l.tokens = min(max(1, rate*burstSeconds), l.tokens+(now-l.refilledAt).Seconds()*rate)
	l.refilledAt = now
	if l.tokens < 1 {
		return time.Duration((1-l.tokens)/rate*float64(time.Second)) + time.Millisecond
	}
	l.tokens--
	l.retryInFlight = l.appendBackoff.delay > 0
	b.sent = true
	if l.pending[stream] == b {
		delete(l.pending, stream)
	}
	return 0
}

// finish updates the backoff after an append and reports the result to the callers of
// a batch.
func (l *Log) finish(b *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retryInFlight = false
	if b.err != nil {
		l.appendBackoff.grow()
	} else {
		l.appendBackoff = backoff{}
	}
	close(b.done)
}

// ResetBackoff ends the backoff of appends. A writer calls it after it has read back
// a record whose append had failed: the log is up, and only the answer was lost.
func (l *Log) ResetBackoff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendBackoff = backoff{}
}

// Read implements [plat.Log]. After a failed read it waits until the backoff is over.
func (l *Log) Read(ctx context.Context, stream string, from ident.Offset, limit int, wait clock.Millis) (plat.Batch, error) {
	l.mu.Lock()
	left := l.readBackoff.remaining()
	l.mu.Unlock()
	if left > 0 && !clock.Sleep(ctx, clock.FromDuration(left)+1) {
		return plat.Batch{}, fault.Wrap(fault.LogUnavailable, ctx.Err(), "the platform's log failed shortly before")
	}
	b, err := l.Log.Read(ctx, stream, from, limit, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.readBackoff = backoff{}
		l.appendBackoff.shorten()
	case ctx.Err() == nil && l.readBackoff.remaining() == 0:
		l.readBackoff.grow()
	}
	return b, err
}
