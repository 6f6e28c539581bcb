package follow

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// snapshotSchedule decides when this node should append a snapshot to the log. One
// node is the regular writer. Any other node writes one if it has seen none for
// twice the interval. Concurrent snapshots are harmless.
type snapshotSchedule struct {
	lastAt     clock.Millis // when a snapshot was last read or an append attempted; initially the start time
	lastOffset ident.Offset // offset of the last snapshot read
	missing    bool         // the log has lost its first records and retains no snapshot that replaces them
}

func (s *snapshotSchedule) recordSnapshot(now clock.Millis, offset ident.Offset) {
	s.lastAt, s.lastOffset, s.missing = now, offset, false
}

// recordFirstRetained records the first retained offset of the log. Without a
// snapshot at or after it, a node that starts now can't rebuild the state.
func (s *snapshotSchedule) recordFirstRetained(first ident.Offset) {
	s.missing = first > 1 && s.lastOffset < first
}

// isDue reports whether this node should write a snapshot now. isWriter is
// true if this node is the regular writer.
func (s *snapshotSchedule) isDue(now, interval clock.Millis, isWriter bool) bool {
	wait := interval
	if s.missing {
		wait = missingInterval
	}
	if !isWriter {
		wait *= 2
	}
	return now-s.lastAt >= wait
}

// missingInterval is the time between attempts to append a snapshot while the log
// retains none.
const missingInterval = 2 * clock.Second

// republish appends a snapshot of the state to the log if one is due.
func (f *Follower) republish(ctx context.Context) {
	isWriter := f.params.WritesSnapshots == nil || f.params.WritesSnapshots()
	f.mu.Lock()
	now := f.params.Clock.Now()
	st := f.reader.State()
	due := f.reader.IsComplete() && st.Offset() > 0 && f.schedule.isDue(now, f.params.SnapshotInterval, isWriter)
	if due {
		f.schedule.lastAt = now
	}
	f.mu.Unlock()
	if due {
		f.appendRecord(ctx, f.Wire().Data)
	}
}
