// Package follow keeps the configuration of one entry up to date. It reads the
// configuration records from the platform's log and applies snapshots of peers
// while the log can't be read. It publishes the state through an atomic pointer and
// appends the changes of operators. It also appends the state as a snapshot before
// the records that it was built from expire.
//
// # Usage
//
//	f := follow.New(follow.Params{Node: "entry-1", Boot: boot, Source: log, ...})
//	go f.Run(ctx)
//	if e, ok := f.State().Find("live-draft"); ok { ... }
//	rev, err := f.Change(ctx, change)
package follow

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/ledger"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// Params configures a [Follower].
type Params struct {
	Node             ident.Node
	Boot             ident.Incarnation
	SnapshotInterval clock.Millis // time between snapshots in the log
	WritesSnapshots  func() bool  // whether this node is the regular writer of snapshots; nil for always
	Source           plat.Log
	Clock            clock.Clock
	Log              zerolog.Logger
	Trace            *trace.Recorder // nil for no trace
}

// Follower keeps the configuration of one entry up to date. It is safe for
// concurrent use.
type Follower struct {
	params    Params
	state     atomic.Pointer[ledger.State]
	wire      atomic.Pointer[wire.Snapshot]
	writeLock chan struct{} // held by the change that is being written

	mu        sync.Mutex
	reader    *ledger.Reader
	freshness freshnessState
	schedule  snapshotSchedule
	lastSeq   uint64
	waiters   map[uint64]chan ledger.Applied // by sequence number of the change
	audit     []AuditEntry
}

// AuditEntry is one change in the audit trail, with its result.
type AuditEntry struct {
	Offset ident.Offset
	Change record.Change
	Result ledger.Result
}

const (
	maxReadRecords  = 256
	readTimeout     = 5 * clock.Second // long poll of the log
	retryDelay      = 200 * clock.Milli
	appendTimeout   = 3 * clock.Second // for one attempt
	caughtUpTTL     = 2 * readTimeout  // how long after reaching the end of the log a reader counts as caught up
	maxAuditEntries = 1000
)

// New returns a follower that has read nothing yet.
func New(params Params) *Follower {
	f := &Follower{
		params:    params,
		writeLock: make(chan struct{}, 1),
		reader:    ledger.NewReader(),
		schedule:  snapshotSchedule{lastAt: params.Clock.Now()},
		waiters:   make(map[uint64]chan ledger.Applied),
	}
	f.state.Store(ledger.New())
	f.wire.Store(&wire.Snapshot{})
	return f
}

// State returns the configuration in force on this node. The caller must not
// modify it.
func (f *Follower) State() *ledger.State { return f.state.Load() }

// Wire returns a snapshot of the configuration in its wire form.
func (f *Follower) Wire() wire.Snapshot { return *f.wire.Load() }

// Run reads the log and appends snapshots until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b, err := f.params.Source.Read(ctx, record.ConfigStream, f.nextOffset(), maxReadRecords, readTimeout)
		if err != nil {
			f.params.Log.Debug().Err(err).Msg("follow: read of the log failed")
			clock.Sleep(ctx, retryDelay)
			continue
		}
		f.applyBatch(b)
		f.republish(ctx)
	}
}

func (f *Follower) nextOffset() ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.NextOffset()
}

// applyBatch applies a batch of records and publishes the resulting state.
func (f *Follower) applyBatch(b plat.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.reader.State().Offset()
	f.reader.Truncated(b.First)
	f.schedule.recordFirstRetained(b.First)
	for _, r := range b.Records {
		f.applyRecord(r)
	}
	if f.reader.State().Offset() != before {
		f.publish()
	}
	now := f.params.Clock.Now()
	f.freshness.setGap(now, !f.reader.IsComplete())
	if len(b.Records) < maxReadRecords && f.reader.IsComplete() {
		f.freshness.confirm(now, f.reader.State().Offset())
	}
}

func (f *Follower) applyRecord(r plat.Record) {
	f.params.Trace.Record(trace.Event{
		At: f.params.Clock.Now(), Kind: trace.Config, Offset: r.Offset, Data: r.Data,
	})
	rec, err := record.Decode(r.Data)
	switch {
	case errors.Is(err, record.ErrNewer):
		f.params.Log.Error().Int64("offset", int64(r.Offset)).
			Msg("follow: record needs a newer program version, update this node")
		f.reader.Stop(r.Offset)
		return
	case err != nil:
		f.params.Log.Error().Err(err).Int64("offset", int64(r.Offset)).Msg("follow: unreadable record skipped")
		f.reader.Skip(r.Offset)
		return
	case rec.Snapshot != nil:
		f.schedule.recordSnapshot(f.params.Clock.Now(), r.Offset)
	}
	f.recordApplied(f.reader.Apply(r.Offset, rec))
}

// recordApplied adds applied changes to the audit trail and notifies the calls of
// [Follower.Change] that wait for them.
func (f *Follower) recordApplied(applied []ledger.Applied) {
	for _, a := range applied {
		c := a.Record.Change
		if c == nil || a.Result.Verdict == ledger.Repeated {
			continue
		}
		f.audit = append(f.audit, AuditEntry{a.Offset, *c, a.Result})
		f.notifyWaiter(a)
	}
	f.audit = f.audit[max(0, len(f.audit)-maxAuditEntries):]
}

func (f *Follower) notifyWaiter(a ledger.Applied) {
	w := a.Record.Writer
	if w.Node != f.params.Node || w.Boot != f.params.Boot {
		return
	}
	if ch, ok := f.waiters[w.Seq]; ok {
		ch <- a
		delete(f.waiters, w.Seq)
	}
}

// publish makes the reader's state visible to the rest of the node.
func (f *Follower) publish() {
	st := f.reader.State().Clone()
	sn := st.Snapshot()
	data, err := record.Encode(record.Record{Snapshot: &sn})
	if err != nil {
		f.params.Log.Error().Err(err).Msg("follow: snapshot can't be encoded")
		return
	}
	f.state.Store(st)
	f.wire.Store(&wire.Snapshot{Offset: int64(st.Offset()), Data: data})
}

// ApplySnapshot applies the configuration of a peer if it is newer. It does nothing
// while this node is caught up with the log, since changes that arrive within a
// snapshot are missing from the audit trail.
func (f *Follower) ApplySnapshot(sn wire.Snapshot) {
	if len(sn.Data) == 0 || sn.Offset <= int64(f.State().Offset()) {
		return
	}
	rec, err := record.Decode(sn.Data)
	if err != nil || rec.Snapshot == nil {
		f.params.Log.Error().Err(err).Msg("follow: configuration of a peer can't be read, update this node")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.params.Clock.Now()
	if f.reader.IsComplete() && now-f.freshness.confirmedAt < caughtUpTTL {
		return
	}
	before := f.reader.State().Offset()
	f.recordApplied(f.reader.ApplySnapshot(*rec.Snapshot))
	if f.reader.State().Offset() == before {
		return
	}
	f.params.Log.Info().Int64("offset", int64(f.reader.State().Offset())).Msg("follow: configuration of a peer applied")
	f.publish()
	f.freshness.setGap(now, !f.reader.IsComplete())
}
