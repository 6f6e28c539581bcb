// Package follow keeps the configuration of one entry: it reads the log,
// publishes the state by an atomic pointer, and writes changes for operators.
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
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/ledger"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/proof/trace"
)

// Params are what the follower needs to run.
type Params struct {
	Node   ident.Node
	Boot   ident.Incarnation
	Source plat.Log
	Clock  clock.Clock
	Log    zerolog.Logger
	Trace  *trace.Recorder // nil for none
}

// Follower keeps the configuration of one entry.
type Follower struct {
	p     Params
	state atomic.Pointer[ledger.State]
	fresh atomic.Int64 // instant of the last read to the end of the log, ms
	wire  atomic.Pointer[wire.Snapshot]

	mu      sync.Mutex
	next    ident.Offset
	seq     uint64
	waiting map[uint64]chan applied
	audit   []Audit
}

type applied struct {
	at  ident.Offset
	res ledger.Result
}

// Audit is one line of the trail of changes.
type Audit struct {
	Offset  ident.Offset
	Author  ident.Caller
	Comment string
	Edits   []record.Edit
	Verdict ledger.Verdict
}

const (
	readLimit = 256
	readWait  = 5 * clock.Second
	retryWait = 200 * clock.Milli
	appendFor = 3 * clock.Second // one try at an append
	maxAudit  = 1000
)

// New returns a follower that has read nothing.
func New(p Params) *Follower {
	f := &Follower{p: p, next: 1, waiting: make(map[uint64]chan applied)}
	f.state.Store(ledger.New())
	f.wire.Store(&wire.Snapshot{})
	return f
}

// State returns the configuration in force on this node. It must not be
// changed.
func (f *Follower) State() *ledger.State { return f.state.Load() }

// Wire returns the configuration in the form that other nodes take.
func (f *Follower) Wire() wire.Snapshot { return *f.wire.Load() }

// Fresh returns the instant at which the log was last read to its end, 0 for
// never.
func (f *Follower) Fresh() clock.Millis { return clock.Millis(f.fresh.Load()) }

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b, err := f.p.Source.Read(ctx, record.Stream, f.position(), readLimit, readWait)
		if err != nil {
			f.p.Log.Debug().Err(err).Msg("Read of the log failed.")
			pause(ctx, retryWait)
			continue
		}
		f.take(b)
	}
}

func pause(ctx context.Context, d clock.Millis) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (f *Follower) position() ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// take applies a batch and publishes the state after it.
func (f *Follower) take(b plat.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(b.Records) > 0 {
		st := f.state.Load().Clone()
		for _, r := range b.Records {
			f.apply(st, r)
		}
		f.publish(st)
	}
	f.next = b.Next
	if len(b.Records) < readLimit {
		f.fresh.Store(int64(f.p.Clock.Now()))
	}
}

func (f *Follower) apply(st *ledger.State, r plat.Record) {
	f.p.Trace.Record(trace.Event{At: f.p.Clock.Now(), Kind: trace.Config, Offset: r.Offset, Data: r.Data})
	rec, err := record.Decode(r.Data)
	if err != nil {
		f.p.Log.Error().Err(err).Int64("offset", int64(r.Offset)).Msg("Record skipped.")
		st.Skip(r.Offset)
		return
	}
	res := st.Apply(r.Offset, rec)
	if rec.Change != nil && res.Verdict != ledger.Repeated {
		f.note(r.Offset, rec, res)
	}
}

// note adds to the audit trail and wakes the writer of the change.
func (f *Follower) note(at ident.Offset, rec record.Record, res ledger.Result) {
	f.audit = append(f.audit, Audit{at, rec.Change.Author, rec.Change.Comment, rec.Change.Edits, res.Verdict})
	if len(f.audit) > maxAudit {
		f.audit = f.audit[1:]
	}
	if rec.Writer.Node != f.p.Node || rec.Writer.Boot != f.p.Boot {
		return
	}
	if ch, ok := f.waiting[rec.Writer.Seq]; ok {
		ch <- applied{at, res}
		delete(f.waiting, rec.Writer.Seq)
	}
}

func (f *Follower) publish(st *ledger.State) {
	sn := st.Snapshot()
	data, err := record.Encode(record.Record{Snapshot: &sn})
	if err != nil {
		f.p.Log.Error().Err(err).Msg("Snapshot can't be encoded.")
		return
	}
	f.state.Store(st)
	f.wire.Store(&wire.Snapshot{Offset: int64(st.Offset()), Data: data})
}

// Audit returns the newest lines of the trail of changes, oldest first.
func (f *Follower) Audit() []Audit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Audit(nil), f.audit...)
}

// Change appends a change and waits until it was read back in order. It tries
// again with the same identity while the context lasts, so that an append
// whose answer was lost takes effect once.
func (f *Follower) Change(ctx context.Context, c record.Change) (ident.Offset, error) {
	seq, ch := f.expect()
	defer f.drop(seq)
	data, err := record.Encode(record.Record{
		Writer: record.Writer{Node: f.p.Node, Boot: f.p.Boot, Seq: seq},
		Change: &c,
	})
	if err != nil {
		return 0, err
	}
	sent := false
	for {
		ok := f.append(ctx, data)
		sent = sent || ok
		select {
		case a := <-ch:
			return verdict(a)
		case <-ctx.Done():
			return 0, undecided(ctx.Err(), sent)
		case <-time.After(waitFor(ok)):
		}
	}
}

// waitFor is how long to wait for the read-back before the append is tried
// again.
func waitFor(appended bool) time.Duration {
	if appended {
		return readWait.Duration()
	}
	return retryWait.Duration()
}

func (f *Follower) append(ctx context.Context, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, appendFor.Duration())
	defer cancel()
	_, err := f.p.Source.Append(ctx, record.Stream, [][]byte{data})
	if err != nil {
		f.p.Log.Warn().Err(err).Msg("Append of a change failed, trying again.")
	}
	return err == nil
}

func undecided(err error, sent bool) error {
	if sent {
		return fault.Wrap(fault.Lost, err, "the change was written but not read back")
	}
	return fault.Wrap(fault.Lost, err, "the log did not confirm the change")
}

func verdict(a applied) (ident.Offset, error) {
	if a.res.Verdict != ledger.Conflict {
		return a.at, nil
	}
	return 0, fault.New(fault.Conflict, errors.Errorf("class %s was changed by %s at revision %d",
		a.res.Class, a.res.Winner, a.res.InForce).Error())
}

func (f *Follower) expect() (uint64, chan applied) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	ch := make(chan applied, 1)
	f.waiting[f.seq] = ch
	return f.seq, ch
}

func (f *Follower) drop(seq uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, seq)
}
