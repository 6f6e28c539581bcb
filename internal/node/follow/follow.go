// Package follow keeps the configuration of one entry: it reads the log,
// learns from peers while the log can't be read, publishes the state by an
// atomic pointer, writes changes for operators, and republishes the state as a
// snapshot before the records that made it expire.
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

// Params are what the follower needs to run.
type Params struct {
	Node             ident.Node
	Boot             ident.Incarnation
	SnapshotInterval clock.Millis // between snapshots on the log
	WritesSnapshots  func() bool  // whether this node writes the snapshots; nil for always
	Source           plat.Log
	Clock            clock.Clock
	Log              zerolog.Logger
	Trace            *trace.Recorder // nil for none
}

// Follower keeps the configuration of one entry.
type Follower struct {
	p     Params
	state atomic.Pointer[ledger.State]
	wire  atomic.Pointer[wire.Snapshot]
	write chan struct{} // held by the one change that is being written

	mu      sync.Mutex
	reader  *ledger.Reader
	age     age
	snap    snapshots
	seq     uint64
	waiting map[uint64]chan ledger.Applied
	audit   []AuditEntry
}

// AuditEntry is one line of the trail of changes.
type AuditEntry struct {
	Offset ident.Offset
	Change record.Change
	Result ledger.Result
}

const (
	readLimit  = 256
	readWait   = 5 * clock.Second
	retryWait  = 200 * clock.Milli
	appendFor  = 3 * clock.Second // one try at an append
	learnAfter = 2 * readWait     // the log counts as read so long after its end was seen
	maxAudit   = 1000
)

// New returns a follower that has read nothing.
func New(p Params) *Follower {
	f := &Follower{
		p:       p,
		write:   make(chan struct{}, 1),
		reader:  ledger.NewReader(),
		snap:    snapshots{seen: p.Clock.Now()},
		waiting: make(map[uint64]chan ledger.Applied),
	}
	f.state.Store(ledger.New())
	f.wire.Store(&wire.Snapshot{})
	return f
}

// State returns the configuration in force on this node. It must not be
// changed.
func (f *Follower) State() *ledger.State { return f.state.Load() }

// Wire returns the configuration in the form that other nodes take.
func (f *Follower) Wire() wire.Snapshot { return *f.wire.Load() }

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b, err := f.p.Source.Read(ctx, record.Stream, f.position(), readLimit, readWait)
		if err != nil {
			f.p.Log.Debug().Err(err).Msg("Read of the log failed.")
			clock.Sleep(ctx, retryWait)
			continue
		}
		f.take(b)
		f.republish(ctx)
	}
}

func (f *Follower) position() ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.Position()
}

// take applies a batch and publishes the state after it.
func (f *Follower) take(b plat.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.reader.State().Offset()
	f.reader.Truncated(b.First)
	f.snap.expired(b.First)
	for _, r := range b.Records {
		f.read(r)
	}
	if f.reader.State().Offset() != before {
		f.publish()
	}
	now := f.p.Clock.Now()
	f.age.gap(now, !f.reader.IsComplete())
	if len(b.Records) < readLimit && f.reader.IsComplete() {
		f.age.confirm(now, f.reader.State().Offset())
	}
}

func (f *Follower) read(r plat.Record) {
	f.p.Trace.Record(trace.Event{At: f.p.Clock.Now(), Kind: trace.Config, Offset: r.Offset, Data: r.Data})
	rec, err := record.Decode(r.Data)
	switch {
	case errors.Is(err, record.ErrNewer):
		f.p.Log.Error().Int64("offset", int64(r.Offset)).Msg("Record needs a newer program version, update this node.")
		f.reader.Stop(r.Offset)
		return
	case err != nil:
		f.p.Log.Error().Err(err).Int64("offset", int64(r.Offset)).Msg("Record skipped.")
		f.reader.Skip(r.Offset)
		return
	case rec.Snapshot != nil:
		f.snap.read(f.p.Clock.Now(), r.Offset)
	}
	f.note(f.reader.Apply(r.Offset, rec))
}

// note adds to the audit trail and wakes the writers of changes.
func (f *Follower) note(ts []ledger.Applied) {
	for _, t := range ts {
		c := t.Record.Change
		if c == nil || t.Result.Verdict == ledger.Repeated {
			continue
		}
		f.audit = append(f.audit, AuditEntry{t.Offset, *c, t.Result})
		f.wake(t)
	}
	f.audit = f.audit[max(0, len(f.audit)-maxAudit):]
}

func (f *Follower) wake(t ledger.Applied) {
	w := t.Record.Writer
	if w.Node != f.p.Node || w.Boot != f.p.Boot {
		return
	}
	if ch, ok := f.waiting[w.Seq]; ok {
		ch <- t
		delete(f.waiting, w.Seq)
	}
}

// publish shows the reader's state to the rest of the node.
func (f *Follower) publish() {
	st := f.reader.State().Clone()
	sn := st.Snapshot()
	data, err := record.Encode(record.Record{Snapshot: &sn})
	if err != nil {
		f.p.Log.Error().Err(err).Msg("Snapshot can't be encoded.")
		return
	}
	f.state.Store(st)
	f.wire.Store(&wire.Snapshot{Offset: int64(st.Offset()), Data: data})
}

// ApplySnapshot takes in the configuration of a peer. It is used only while the log
// is not read to its end, since what is learned skips the trail of changes.
func (f *Follower) ApplySnapshot(sn wire.Snapshot) {
	if len(sn.Data) == 0 || sn.Offset <= int64(f.State().Offset()) {
		return
	}
	rec, err := record.Decode(sn.Data)
	if err != nil || rec.Snapshot == nil {
		f.p.Log.Error().Err(err).Msg("Configuration of a peer can't be read, update this node.")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.p.Clock.Now()
	if f.reader.IsComplete() && now-f.age.fresh < learnAfter {
		return
	}
	before := f.reader.State().Offset()
	f.note(f.reader.ApplySnapshot(*rec.Snapshot))
	if f.reader.State().Offset() == before {
		return
	}
	f.p.Log.Info().Int64("offset", int64(f.reader.State().Offset())).Msg("Configuration learned from a peer.")
	f.publish()
	f.age.gap(now, !f.reader.IsComplete())
}
