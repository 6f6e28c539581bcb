package logs

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

const (
	// poll is how long a read waits for a record. A connection that went
	// silent is noticed after it, so it is well below the span in which a
	// configuration must be in force.
	poll = 500 * clock.Milli
	// again is between two tries after a failed read.
	again = 100 * clock.Milli
	// pageKB bounds one read.
	pageKB = 512
)

// Subscription is the receiver of a keyed topic.
type Subscription struct {
	Topic string
	// Split parses a record that lies at an offset.
	DecodeKeyed func(offset int64, rec []byte) (plat.Keyed, error)
	// All takes the newest record of each key, after a start or a gap.
	OnSnapshot func([]plat.Keyed)
	// One takes a later record; a nil value means the key was dropped.
	OnRecord func(plat.Keyed)
	// State takes whether the store answers, at each change.
	OnAvailability func(ok bool)
}

// Each returns a function that gives all records to fn, one after the other.
func Each(fn func(plat.Keyed)) func([]plat.Keyed) {
	return func(ks []plat.Keyed) {
		for _, k := range ks {
			fn(k)
		}
	}
}

// FollowKeyed follows a keyed topic until the context ends. A key's record is
// never replaced by one with a lower offset, also when the store answers from
// a stale copy.
func FollowKeyed(ctx context.Context, store plat.Store, k Subscription, log zerolog.Logger) {
	f := keyedFollower{Subscription: k, seen: make(map[string]int64), newest: -1, log: log.With().Str("topic", k.Topic).Logger(), ok: true}
	next := int64(-1)
	for ctx.Err() == nil {
		var err error
		if next < 0 {
			next, err = f.list(ctx, store)
		} else {
			next, err = f.read(ctx, store, next)
		}
		f.note(err)
		if err != nil && !clock.Sleep(ctx, again) {
			return
		}
	}
}

type keyedFollower struct {
	Subscription
	seen   map[string]int64 // offset of each key's record
	newest int64            // highest offset seen
	log    zerolog.Logger
	ok     bool
}

func (f *keyedFollower) see(k plat.Keyed) {
	f.seen[k.Key] = k.Offset
	f.newest = max(f.newest, k.Offset)
}

func (f *keyedFollower) note(err error) {
	if ok := err == nil; ok != f.ok {
		f.ok = ok
		f.log.Info().Err(err).Bool("answers", ok).Msg("logs: the store changed")
		if f.OnAvailability != nil {
			f.OnAvailability(ok)
		}
	}
}

func (f *keyedFollower) list(ctx context.Context, store plat.Store) (int64, error) {
	ks, end, err := store.Newest(ctx, f.Topic)
	if err != nil {
		return -1, err
	}
	if end <= f.newest {
		return -1, errors.Errorf("the list ends at %d, record %d was seen; it is stale and read again", end, f.newest)
	}
	fresh := ks[:0]
	for _, k := range ks {
		if k.Offset >= f.seen[k.Key] {
			f.see(k)
			fresh = append(fresh, k)
		}
	}
	f.OnSnapshot(fresh)
	return end, nil
}

func (f *keyedFollower) read(ctx context.Context, store plat.Store, from int64) (int64, error) {
	p, err := store.Read(ctx, f.Topic, 0, from, pageKB, poll)
	var gone *plat.GoneError
	if errors.As(err, &gone) {
		f.log.Info().Int64("from", from).Int64("first", gone.First).Msg("logs: history is gone, reading the newest of each key")
		return -1, nil
	}
	if err != nil {
		return from, err
	}
	for i, rec := range p.Records {
		k, err := f.DecodeKeyed(from+int64(i), rec)
		if err != nil {
			f.log.Warn().Err(err).Msg("logs: record passed over")
			continue
		}
		if k.Offset < f.seen[k.Key] {
			continue
		}
		f.see(k)
		f.OnRecord(k)
	}
	return from + int64(len(p.Records)), nil
}
