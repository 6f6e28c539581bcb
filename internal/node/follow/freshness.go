package follow

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Freshness describes how up to date the configuration of a node is.
type Freshness struct {
	Offset            ident.Offset // offset of the configuration in force on this node
	Age               clock.Millis // time since it was last known to be the newest; [clock.Never] for never
	Behind            clock.Millis // time since a newer one was first known to exist; 0 if none is known
	UnsupportedOffset ident.Offset // offset of a record that needs a newer program version; 0 for none
}

// freshnessState records when the configuration was last known to be the newest,
// and since when a newer one is known to exist.
type freshnessState struct {
	confirmedAt       clock.Millis // last time at which it was the newest; 0 for never
	behindSince       clock.Millis // time at which a newer one became known; 0 if none is known
	inGap             bool         // the reader missed records
	highestPeerOffset ident.Offset // highest offset that a peer reported
}

// confirm records that the state at an offset was the newest one at a given time.
func (s *freshnessState) confirm(at clock.Millis, offset ident.Offset) {
	s.confirmedAt = max(s.confirmedAt, at)
	s.clearIfCaughtUp(offset)
}

// clearIfCaughtUp ends the state of being behind once offset has reached that of
// every peer and no records are missing.
func (s *freshnessState) clearIfCaughtUp(offset ident.Offset) {
	if offset >= s.highestPeerOffset && !s.inGap {
		s.behindSince = 0
	}
}

func (s *freshnessState) markBehind(now clock.Millis) {
	if s.behindSince == 0 {
		s.behindSince = now
	}
}

func (s *freshnessState) setGap(now clock.Millis, inGap bool) {
	s.inGap = inGap
	if inGap {
		s.markBehind(now)
	}
}

// FreshAt returns the time at which the configuration was last known to be the
// newest one, 0 for never.
func (f *Follower) FreshAt() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshness.confirmedAt
}

// Freshness returns how up to date the configuration of this node is.
func (f *Follower) Freshness() Freshness {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.params.Clock.Now()
	s := Freshness{Offset: f.State().Offset(), Age: clock.Never, UnsupportedOffset: f.reader.UnsupportedOffset()}
	if f.freshness.confirmedAt != 0 {
		s.Age = now - f.freshness.confirmedAt
	}
	if f.freshness.behindSince != 0 {
		s.Behind = max(1, now-f.freshness.behindSince)
	}
	return s
}

// RecordOffset records the report of another node: the offset in force there, and
// the time freshAt at which that offset was known to be the newest, 0 for never.
// freshAt is on this node's clock: the time of the call minus the age in the reply.
func (f *Follower) RecordOffset(offset ident.Offset, freshAt clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.State().Offset()
	f.freshness.highestPeerOffset = max(f.freshness.highestPeerOffset, offset)
	if offset > own {
		f.freshness.markBehind(f.params.Clock.Now())
		return
	}
	f.freshness.clearIfCaughtUp(own)
	if offset == own && freshAt > 0 && f.reader.IsComplete() {
		f.freshness.confirm(freshAt, own)
	}
}
