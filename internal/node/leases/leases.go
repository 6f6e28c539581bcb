// Package leases acquires and renews a lease for this node through the platform's
// log. Package lease defines the rules.
//
// # Usage
//
//	l := leases.New(leases.Params{Name: "placement", Node: n, Boot: boot, Source: log, ...})
//	go l.Run(ctx)
//	if fence, ok := l.Held(); ok {
//		send(order, fence) // the receiver checks it with its lease.Fence
//	}
//	l.Release(ctx) // on shutdown
//
// Call Held immediately before each order, since the lease expires when it can't be
// renewed. If the holder is paused between the call and the order, the receivers
// protect themselves: they refuse a fencing token lower than one they have seen.
package leases

import (
	"context"
	"hash/fnv"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/lease"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// Params configures a [Lease].
type Params struct {
	Name     string // of the lease; each lease has its own stream
	Node     ident.Node
	Boot     ident.Incarnation
	Policy   lease.Policy
	Eligible func() bool // whether this node may bid; nil for always
	// Idle is how long a node that is not eligible and doesn't hold the lease waits before
	// it asks Eligible again, without reading the stream; 0 if it reads all the time.
	Idle   clock.Millis
	Source plat.Log
	Clock  clock.Clock
	Log    zerolog.Logger
}

const (
	maxReadRecords = 64
	readTimeout    = 500 * clock.Milli // long poll of the log; bounds the delay of a renewal
	retryDelay     = 500 * clock.Milli
	appendTimeout  = 2 * clock.Second
)

// Lease acquires and renews one lease for this node. It is safe for concurrent use.
type Lease struct {
	params Params
	stream string

	mu        sync.Mutex
	candidate *lease.Candidate
}

// New returns a lease that this node does not hold yet.
func New(params Params) *Lease {
	return &Lease{
		params:    params,
		stream:    record.LeaseStream(params.Name),
		candidate: lease.NewCandidate(params.Policy, params.Node, params.Boot, bidJitter(params)),
	}
}

// bidJitter returns this node's delay before a bid. It spreads the bids of different
// nodes over a third of the term.
func bidJitter(p Params) clock.Millis {
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.Name + "/" + string(p.Node)))
	return clock.Millis(h.Sum32()) % (p.Policy.Term/3 + 1)
}

// Held returns the fencing token, and whether this node holds the lease now.
func (l *Lease) Held() (ident.Offset, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.HeldToken(l.params.Clock.Now())
}

// HeldFor returns the fencing token and how much longer this node holds the lease, if it
// is not renewed.
func (l *Lease) HeldFor() (ident.Offset, clock.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.HeldFor(l.params.Clock.Now())
}

// Holder returns the holder and its fencing token according to the records that this
// node has read. The token is 0 if there is no holder.
func (l *Lease) Holder() (ident.Node, ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.Holder()
}

// Run reads the stream, and bids for or renews the lease, until the context ends.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.isIdle() {
			clock.Sleep(ctx, l.params.Idle)
			continue
		}
		if err := l.step(ctx); err != nil {
			l.params.Log.Debug().Err(err).Msg("leases: lease stream can't be read or written")
			clock.Sleep(ctx, retryDelay)
		}
	}
}

// isIdle reports whether this node has no reason to read the stream.
func (l *Lease) isIdle() bool {
	if l.params.Idle == 0 || l.params.Eligible == nil || l.params.Eligible() {
		return false
	}
	_, held := l.Held()
	return !held
}

// step reads new records and, once it has reached the end of the stream, appends the
// bid or renewal that is due.
func (l *Lease) step(ctx context.Context) error {
	b, err := l.params.Source.Read(ctx, l.stream, l.nextOffset(), maxReadRecords, readTimeout)
	if err != nil {
		return errors.Wrap(err, "read lease stream")
	}
	r, ok := l.applyBatch(b)
	if !ok {
		return nil
	}
	return l.appendRecord(ctx, r)
}

func (l *Lease) nextOffset() ident.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.NextOffset()
}

// applyBatch applies a batch of records. It returns the record to append next, if
// any.
func (l *Lease) applyBatch(b plat.Batch) (record.Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.params.Clock.Now()
	l.candidate.Truncated(now, b.First)
	for _, r := range b.Records {
		l.applyRecord(now, r)
	}
	if len(b.Records) == maxReadRecords {
		return record.Lease{}, false
	}
	if _, held := l.candidate.HeldToken(now); !held && l.params.Eligible != nil && !l.params.Eligible() {
		return record.Lease{}, false
	}
	return l.candidate.Next(now)
}

func (l *Lease) applyRecord(now clock.Millis, r plat.Record) {
	rec, err := record.DecodeLease(r.Data)
	switch {
	case errors.Is(err, record.ErrNewer):
		l.params.Log.Error().Int64("offset", int64(r.Offset)).Msg("leases: record needs a newer program version, update this node")
		l.candidate.Stop()
	case err != nil:
		l.params.Log.Error().Err(err).Int64("offset", int64(r.Offset)).Msg("leases: unreadable record skipped")
		l.candidate.Skip(r.Offset)
	default:
		l.candidate.Apply(now, r.Offset, rec)
	}
}

// appendRecord appends a record to the stream. Only reading the record back shows
// whether it took effect.
func (l *Lease) appendRecord(ctx context.Context, r record.Lease) error {
	data, err := record.EncodeLease(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	_, err = l.params.Source.Append(ctx, l.stream, [][]byte{data})
	return errors.Wrap(err, "append to lease stream")
}

// Release releases the lease if this node holds it, so that another node need not
// wait until it expires.
func (l *Lease) Release(ctx context.Context) {
	l.release(ctx, func(now clock.Millis) (record.Lease, bool) { return l.candidate.Release(now) })
}

// Yield releases the lease if this node holds it, and bids again only after a pause.
func (l *Lease) Yield(ctx context.Context, pause clock.Millis) {
	l.release(ctx, func(now clock.Millis) (record.Lease, bool) { return l.candidate.Yield(now, pause) })
}

func (l *Lease) release(ctx context.Context, end func(now clock.Millis) (record.Lease, bool)) {
	l.mu.Lock()
	r, ok := end(l.params.Clock.Now())
	l.mu.Unlock()
	if !ok {
		return
	}
	if err := l.appendRecord(ctx, r); err != nil {
		l.params.Log.Warn().Err(err).Msg("leases: release failed, the lease will expire")
	}
}
