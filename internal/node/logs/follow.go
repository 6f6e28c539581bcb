package logs

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

const (
	// readWait is how long a read waits for a new record. A dead connection is
	// detected after this time, so it is well below the time within which a
	// configuration must be in force.
	readWait = 500 * clock.Milli
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 100 * clock.Milli
	// maxPageKB is the maximum size of one read.
	maxPageKB = 512
)

// Subscription names a keyed topic and the functions that receive its records.
type Subscription struct {
	Topic string
	// DecodeKeyed decodes the record at an offset.
	DecodeKeyed func(offset int64, rec []byte) (plat.Keyed, error)
	// OnSnapshot receives the latest record of each key, at the start and after
	// records were missed.
	OnSnapshot func([]plat.Keyed)
	// OnRecord receives each later record; a nil value means that the key was
	// deleted.
	OnRecord func(plat.Keyed)
	// OnRead is called after each successful read that reached the end of the topic,
	// after the functions above. Nil ignores it.
	OnRead func()
	// ReadInterval is the minimum time between two reads that return records. It bounds
	// the reads of a topic that changes all the time.
	ReadInterval clock.Millis
	// OnAvailability is called when the store becomes unavailable or available
	// again. Nil ignores it.
	OnAvailability func(available bool)
}

// ForEach returns an OnSnapshot function that calls fn for each record in order.
func ForEach(fn func(plat.Keyed)) func([]plat.Keyed) {
	return func(ks []plat.Keyed) {
		for _, k := range ks {
			fn(k)
		}
	}
}

// FollowKeyed follows a keyed topic until the context ends. It never replaces a
// key's record by one with a lower offset, even if the store answers from a
// stale replica.
func FollowKeyed(ctx context.Context, store plat.Store, sub Subscription, log zerolog.Logger) {
	f := keyedFollower{
		Subscription: sub,
		offsets:      make(map[string]int64),
		maxOffset:    -1,
		log:          log.With().Str("topic", sub.Topic).Logger(),
		available:    true,
	}
	next := int64(-1) // offset of the next record to read, -1 to read a snapshot
	for ctx.Err() == nil {
		var err error
		previous := next
		if next < 0 {
			next, err = f.readSnapshot(ctx, store)
		} else {
			next, err = f.readRecords(ctx, store, next)
		}
		f.recordAvailability(err)
		delay := clock.Millis(0)
		switch {
		case err != nil:
			delay = readRetryDelay
		case previous >= 0 && next != previous:
			delay = f.ReadInterval
		}
		if delay > 0 && !clock.Sleep(ctx, delay) {
			return
		}
	}
}

type keyedFollower struct {
	Subscription
	offsets   map[string]int64 // offset of each key's latest record
	maxOffset int64            // highest offset that was read
	log       zerolog.Logger
	available bool
}

func (f *keyedFollower) recordOffset(k plat.Keyed) {
	f.offsets[k.Key] = k.Offset
	f.maxOffset = max(f.maxOffset, k.Offset)
}

func (f *keyedFollower) recordAvailability(err error) {
	if ok := err == nil; ok != f.available {
		f.available = ok
		f.log.Info().Err(err).Bool("answers", ok).Msg("logs: store availability changed")
		if f.OnAvailability != nil {
			f.OnAvailability(ok)
		}
	}
}

func (f *keyedFollower) readSnapshot(ctx context.Context, store plat.Store) (int64, error) {
	ks, end, err := store.Newest(ctx, f.Topic)
	if err != nil {
		return -1, err
	}
	if end <= f.maxOffset {
		return -1, errors.Errorf("stale snapshot: it ends at offset %d, but the record at offset %d was already read",
			end, f.maxOffset)
	}
	fresh := ks[:0]
	for _, k := range ks {
		if k.Offset >= f.offsets[k.Key] {
			f.recordOffset(k)
			fresh = append(fresh, k)
		}
	}
	f.OnSnapshot(fresh)
	return end, nil // A read of the records after the snapshot follows.
}

func (f *keyedFollower) readRecords(ctx context.Context, store plat.Store, from int64) (int64, error) {
	p, err := store.Read(ctx, f.Topic, 0, from, maxPageKB, readWait)
	var gone *plat.GoneError
	if errors.As(err, &gone) {
		f.log.Info().Int64("from", from).Int64("first", gone.First).Msg("logs: log truncated, reading a snapshot")
		return -1, nil
	}
	if err != nil {
		return from, err
	}
	for i, rec := range p.Records {
		k, err := f.DecodeKeyed(from+int64(i), rec)
		if err != nil {
			f.log.Warn().Err(err).Msg("logs: record skipped")
			continue
		}
		if k.Offset < f.offsets[k.Key] {
			continue
		}
		f.recordOffset(k)
		f.OnRecord(k)
	}
	if f.OnRead != nil && from+int64(len(p.Records)) >= p.End {
		f.OnRead()
	}
	return from + int64(len(p.Records)), nil
}
