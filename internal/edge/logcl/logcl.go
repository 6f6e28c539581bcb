// Package logcl bounds what one node asks of the platform's log, so that all
// nodes together stay below the log's limit at any number of them.
//
// Appends to one stream that arrive while an earlier one waits go out as one.
// Each node takes an equal share of the limit. After a failure a node lets one
// append through at a time, after a wait that doubles and is spread by jitter,
// so that the log is not overrun when it comes back; reads are spread likewise.
// While reads succeed the wait stays short: then the log is up, and only the
// answers to appends are lost. The share bounds the appends all the same.
//
// # Usage
//
//	log := logcl.New(client.NewLog(url), logcl.Params{Limit: 300, Nodes: live, Clock: clk})
//	off, err := log.Append(ctx, "config", [][]byte{rec})
//
// An append that was never sent fails with the kind [fault.LogDown], which is
// proven as not run. After any other error the records may have been added.
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

// Params are the bounds of one node.
type Params struct {
	Limit float64    // appends a second of all nodes together
	Nodes func() int // nodes that append
	Clock clock.Clock
}

const (
	maxBatch  = 256             // records
	sendFor   = 3 * time.Second // one append
	firstWait = 100 * time.Millisecond
	lastWait  = 5 * time.Second
	upWait    = 200 * time.Millisecond // the longest while reads succeed
	burstFor  = 0.25                   // s of a share that may be sent at once
)

// batch is the appends to one stream that go out as one.
type batch struct {
	data   [][]byte
	sent   bool
	gone   int // records whose caller has left before the batch was sent
	done   chan struct{}
	offset ident.Offset
	err    error
}

// backoff spaces calls after failures.
type backoff struct {
	wait  time.Duration
	until time.Time
}

func (b *backoff) failed() {
	b.wait = min(max(firstWait, 2*b.wait), lastWait)
	b.until = time.Now().Add(b.wait/2 + rand.N(b.wait)) //nolint:gosec // spreads the nodes.
}

// shorten bounds the wait once there is a sign that the log is up.
func (b *backoff) shorten() {
	if b.wait <= upWait {
		return
	}
	b.wait = upWait
	if b.left() > upWait {
		b.until = time.Now().Add(b.wait/2 + rand.N(b.wait/2)) //nolint:gosec // spreads the nodes.
	}
}

func (b *backoff) left() time.Duration { return max(0, time.Until(b.until)) }

// Log implements [plat.Log] within the bounds.
type Log struct {
	plat.Log
	p Params

	mu     sync.Mutex
	queue  map[string]*batch
	append backoff
	read   backoff
	busy   bool // a try after a failure is under way
	tokens float64
	filled clock.Millis
}

// New returns a bounded client over another one.
func New(l plat.Log, p Params) *Log {
	return &Log{Log: l, p: p, queue: make(map[string]*batch), filled: p.Clock.Now(), tokens: rand.Float64()} //nolint:gosec // spreads the nodes.
}

// Append implements [plat.Log].
func (l *Log) Append(ctx context.Context, stream string, data [][]byte) (ident.Offset, error) {
	b, first, err := l.join(stream, data)
	if err != nil {
		return 0, err
	}
	select {
	case <-b.done:
		if b.err != nil {
			return 0, b.err
		}
		return b.offset + ident.Offset(first), nil
	case <-ctx.Done():
		return 0, l.quit(ctx, b, first, len(data))
	}
}

// join adds records to the batch of a stream, and opens one if there is none.
func (l *Log) join(stream string, data [][]byte) (b *batch, first int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if left := l.append.left(); left > 0 || l.busy {
		return nil, 0, fault.New(fault.LogUnavailable, "the platform's log failed shortly before").WithRetryAfter(clock.FromDuration(left) + 1)
	}
	b = l.queue[stream]
	if b == nil || len(b.data)+len(data) > maxBatch {
		b = &batch{done: make(chan struct{})}
		l.queue[stream] = b
		go l.send(stream, b)
	}
	b.data = append(b.data, data...)
	return b, len(b.data) - len(data), nil
}

// quit takes the records of a caller that leaves out of a batch that was not
// sent yet.
func (l *Log) quit(ctx context.Context, b *batch, first, n int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.sent {
		return fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the platform's log did not confirm an append")
	}
	for i := first; i < first+n; i++ {
		b.data[i] = nil
	}
	b.gone += n
	return fault.Wrap(fault.LogUnavailable, ctx.Err(), "the append waited for its share of the log's limit")
}

// send waits for the node's share and sends a batch.
func (l *Log) send(stream string, b *batch) {
	for {
		wait := l.take(stream, b)
		if wait == 0 {
			break
		}
		time.Sleep(wait)
	}
	data := make([][]byte, 0, len(b.data))
	for _, d := range b.data {
		if d != nil {
			data = append(data, d)
		}
	}
	if len(data) > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), sendFor)
		b.offset, b.err = l.Log.Append(ctx, stream, data)
		cancel()
	}
	l.settle(b)
}

// take takes one append out of the node's share, or returns how long to wait.
func (l *Log) take(stream string, b *batch) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if left := l.append.left(); left > 0 {
		return left
	}
	if l.append.wait > 0 && l.busy {
		return firstWait
	}
	rate := l.p.Limit / float64(max(1, l.p.Nodes()))
	now := l.p.Clock.Now()
	l.tokens = min(max(1, rate*burstFor), l.tokens+(now-l.filled).Seconds()*rate)
	l.filled = now
	if l.tokens < 1 {
		return time.Duration((1-l.tokens)/rate*float64(time.Second)) + time.Millisecond
	}
	l.tokens--
	l.busy = l.append.wait > 0
	b.sent = true
	if l.queue[stream] == b {
		delete(l.queue, stream)
	}
	return 0
}

func (l *Log) settle(b *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = false
	if b.err != nil {
		l.append.failed()
	} else {
		l.append = backoff{}
	}
	close(b.done)
}

// ResetBackoff tells that an append took effect although its answer was lost, as its
// writer has read back: the log is up, so the next append need not wait.
func (l *Log) ResetBackoff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.append = backoff{}
}

// Read implements [plat.Log]. After a failure it waits before it asks again.
func (l *Log) Read(ctx context.Context, stream string, from ident.Offset, limit int, wait clock.Millis) (plat.Batch, error) {
	l.mu.Lock()
	left := l.read.left()
	l.mu.Unlock()
	if left > 0 && !clock.Sleep(ctx, clock.FromDuration(left)+1) {
		return plat.Batch{}, fault.Wrap(fault.LogUnavailable, ctx.Err(), "the platform's log failed shortly before")
	}
	b, err := l.Log.Read(ctx, stream, from, limit, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.read = backoff{}
		l.append.shorten()
	case ctx.Err() == nil && l.read.left() == 0:
		l.read.failed()
	}
	return b, err
}
