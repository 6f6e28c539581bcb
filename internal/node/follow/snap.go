package follow

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// snapshots tells when a snapshot is due. One node writes them; another one
// writes if none was seen for twice as long. Two at once do no harm.
type snapshots struct {
	seen clock.Millis // instant of the last one read, tried, or of the start
	at   ident.Offset // where the last one stands
	gone bool         // none is left on the log, and older records are not either
}

func (s *snapshots) read(now clock.Millis, at ident.Offset) {
	s.seen, s.at, s.gone = now, at, false
}

// expired notes that a node that starts now would find no whole state.
func (s *snapshots) expired(first ident.Offset) { s.gone = first > 1 && s.at < first }

// isDue reports whether this node should write a snapshot.
func (s *snapshots) isDue(now, every clock.Millis, writes bool) bool {
	wait := every
	if s.gone {
		wait = goneWait
	}
	if !writes {
		wait *= 2
	}
	return now-s.seen >= wait
}

// goneWait is the time between tries while no snapshot is on the log.
const goneWait = 2 * clock.Second

// republish writes the state to the log if that is due.
func (f *Follower) republish(ctx context.Context) {
	writes := f.p.WritesSnapshots == nil || f.p.WritesSnapshots()
	f.mu.Lock()
	now := f.p.Clock.Now()
	st := f.reader.State()
	due := f.reader.IsComplete() && st.Offset() > 0 && f.snap.isDue(now, f.p.SnapshotInterval, writes)
	if due {
		f.snap.seen = now
	}
	f.mu.Unlock()
	if due {
		f.append(ctx, f.Wire().Data)
	}
}
