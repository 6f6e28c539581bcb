package duties

import (
	"context"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// leasePageKB limits a read of lease records, each of which has some 120 bytes.
const leasePageKB = 16

// leaseLog is the platform's store as the log of a lease. Offsets of the store begin at 0,
// those of a lease at 1.
type leaseLog struct{ store plat.Store }

// Append implements [plat.Log]. It names no producer: a record that takes effect late or
// twice wins nothing.
func (l leaseLog) Append(ctx context.Context, stream string, data [][]byte) (ident.Offset, error) {
	off, err := l.store.Append(ctx, plat.Append{Topic: stream, Records: data})
	return ident.Offset(off) + 1, err
}

// Read implements [plat.Log].
func (l leaseLog) Read(ctx context.Context, stream string, from ident.Offset, limit int, wait clock.Millis) (plat.Batch, error) {
	p, err := l.store.Read(ctx, stream, 0, int64(from)-1, leasePageKB, wait)
	var gone *plat.GoneError
	if errors.As(err, &gone) {
		first := ident.Offset(gone.First) + 1
		return plat.Batch{First: first, Next: first}, nil
	}
	if err != nil {
		return plat.Batch{}, err
	}
	b := plat.Batch{First: ident.Offset(p.First) + 1, Next: from}
	for _, raw := range p.Records[:min(limit, len(p.Records))] {
		b.Records = append(b.Records, plat.Record{Offset: b.Next, Data: raw})
		b.Next++
	}
	return b, nil
}
