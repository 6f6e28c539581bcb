// Package leases holds one lease of this node on the platform's log. See
// package lease for the rules.
//
// # Usage
//
//	l := leases.New(leases.Params{Name: "placement", Node: n, Boot: boot, Source: log, ...})
//	go l.Run(ctx)
//	if fence, ok := l.Held(); ok {
//		send(order, fence) // the receiver asks its lease.Gate
//	}
//	l.Release(ctx) // at a shutdown
//
// Held must be asked right before each order, since the lease ends on its own
// when the log can't be reached. A holder that is paused after it asked is
// stopped by the receivers, which refuse a lower fencing number.
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

// Params are what a lease needs to run.
type Params struct {
	Name     string // of the lease, one stream each
	Node     ident.Node
	Boot     ident.Incarnation
	Policy   lease.Policy
	Eligible func() bool // whether this node may bid; nil for always
	Source   plat.Log
	Clock    clock.Clock
	Log      zerolog.Logger
}

const (
	readLimit = 64
	readWait  = 500 * clock.Milli // bounds how late a renewal is written
	retryWait = 500 * clock.Milli
	appendFor = 2 * clock.Second
)

// Lease is this node's part in one lease. It is safe for concurrent use.
type Lease struct {
	p      Params
	stream string

	mu   sync.Mutex
	seat *lease.Candidate
}

// New returns a lease that this node does not hold.
func New(p Params) *Lease {
	return &Lease{
		p:      p,
		stream: record.LeaseStream(p.Name),
		seat:   lease.NewCandidate(p.Policy, p.Node, p.Boot, jitter(p)),
	}
}

// jitter spreads the bids of different nodes over a part of the term.
func jitter(p Params) clock.Millis {
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.Name + "/" + string(p.Node)))
	return clock.Millis(h.Sum32()) % (p.Policy.Term/3 + 1)
}

// Held returns the fencing number while this node holds the lease.
func (l *Lease) Held() (ident.Offset, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seat.Held(l.p.Clock.Now())
}

// Holder returns who holds the lease as far as this node has read, and the
// fencing number, 0 if nobody does.
func (l *Lease) Holder() (ident.Node, ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seat.Holder()
}

// Run reads the stream, bids and renews until the context ends.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.step(ctx); err != nil {
			l.p.Log.Debug().Err(err).Msg("Lease stream not reached.")
			clock.Sleep(ctx, retryWait)
		}
	}
}

// step reads what is new, and writes what is due once the end was reached.
func (l *Lease) step(ctx context.Context) error {
	b, err := l.p.Source.Read(ctx, l.stream, l.position(), readLimit, readWait)
	if err != nil {
		return errors.Wrap(err, "read lease")
	}
	r, ok := l.take(b)
	if !ok {
		return nil
	}
	return l.append(ctx, r)
}

func (l *Lease) position() ident.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seat.Position()
}

func (l *Lease) take(b plat.Batch) (record.Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.p.Clock.Now()
	l.seat.Truncated(now, b.First)
	for _, r := range b.Records {
		l.read(now, r)
	}
	if len(b.Records) == readLimit {
		return record.Lease{}, false
	}
	if _, held := l.seat.Held(now); !held && l.p.Eligible != nil && !l.p.Eligible() {
		return record.Lease{}, false
	}
	return l.seat.Next(now)
}

func (l *Lease) read(now clock.Millis, r plat.Record) {
	rec, err := record.DecodeLease(r.Data)
	switch {
	case errors.Is(err, record.ErrNewer):
		l.p.Log.Error().Int64("offset", int64(r.Offset)).Msg("Lease record needs a newer program version, update this node.")
		l.seat.Stop()
	case err != nil:
		l.p.Log.Error().Err(err).Int64("offset", int64(r.Offset)).Msg("Lease record skipped.")
		l.seat.Skip(r.Offset)
	default:
		l.seat.Apply(now, r.Offset, rec)
	}
}

// append writes a record. Whether it took effect is learned by reading.
func (l *Lease) append(ctx context.Context, r record.Lease) error {
	data, err := record.EncodeLease(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendFor.Duration())
	defer cancel()
	_, err = l.p.Source.Append(ctx, l.stream, [][]byte{data})
	return errors.Wrap(err, "write lease")
}

// Release gives the lease up, so that another node need not wait for its end.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	r, ok := l.seat.Release(l.p.Clock.Now())
	l.mu.Unlock()
	if !ok {
		return
	}
	if err := l.append(ctx, r); err != nil {
		l.p.Log.Warn().Err(err).Msg("Release of a lease failed, it ends by itself.")
	}
}
