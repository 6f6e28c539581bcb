package follow

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Freshness tells how far a node's configuration can be relied on.
type Freshness struct {
	Offset            ident.Offset // in force on this node
	Age               clock.Millis // since it was last known to be the newest; [clock.Never] for never
	Behind            clock.Millis // since it is known that there is a newer one; 0 if none is
	UnsupportedOffset ident.Offset // the record that needs a newer program version, 0 for none
}

// age keeps when the configuration was known to be the newest one, and since
// when it is known not to be.
type age struct {
	fresh  clock.Millis // instant; 0 for never
	behind clock.Millis // instant; 0 if no newer one is known
	inGap  bool
	higher ident.Offset // highest offset that a peer named
}

// confirm notes that the state at an offset was the newest one at an instant.
func (a *age) confirm(at clock.Millis, offset ident.Offset) {
	a.fresh = max(a.fresh, at)
	a.settle(offset)
}

func (a *age) settle(offset ident.Offset) {
	if offset >= a.higher && !a.inGap {
		a.behind = 0
	}
}

func (a *age) note(now clock.Millis) {
	if a.behind == 0 {
		a.behind = now
	}
}

func (a *age) gap(now clock.Millis, on bool) {
	a.inGap = on
	if on {
		a.note(now)
	}
}

// FreshAt returns the instant at which the configuration was last known to be
// the newest one, 0 for never.
func (f *Follower) FreshAt() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age.fresh
}

// Freshness returns how far the configuration can be relied on.
func (f *Follower) Freshness() Freshness {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.p.Clock.Now()
	s := Freshness{Offset: f.State().Offset(), Age: clock.Never, UnsupportedOffset: f.reader.UnsupportedOffset()}
	if f.age.fresh != 0 {
		s.Age = now - f.age.fresh
	}
	if f.age.behind != 0 {
		s.Behind = max(1, now-f.age.behind)
	}
	return s
}

// RecordOffset takes in what another node says: the offset that is in force there,
// and the instant at which that was known to be the newest, 0 for never. The
// instant is on this node's clock: the moment of asking, less the age that the
// answer names.
func (f *Follower) RecordOffset(offset ident.Offset, fresh clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mine := f.State().Offset()
	f.age.higher = max(f.age.higher, offset)
	if offset > mine {
		f.age.note(f.p.Clock.Now())
		return
	}
	f.age.settle(mine)
	if offset == mine && fresh > 0 && f.reader.IsComplete() {
		f.age.confirm(fresh, mine)
	}
}
