package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/ledger"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// Audit returns the newest lines of the trail of changes, oldest first.
func (f *Follower) Audit() []AuditEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]AuditEntry(nil), f.audit...)
}

// Change appends a change and waits until it was read back in order. It tries
// again with the same identity while the context lasts, so that an append
// whose answer was lost takes effect once.
//
// One change is written at a time: readers drop a lower number behind a higher
// one, so a second change in between would make the first one void.
func (f *Follower) Change(ctx context.Context, c record.Change) (ident.Offset, error) {
	select {
	case f.write <- struct{}{}:
		defer func() { <-f.write }()
	case <-ctx.Done():
		return 0, fault.New(fault.Overloaded, "another change is being written").WithRetryAfter(retryWait)
	}
	seq, ch := f.expect()
	defer f.drop(seq)
	w := record.Writer{Node: f.p.Node, Boot: f.p.Boot, Seq: seq}
	data, err := record.Encode(record.Record{Writer: w, Change: &c})
	if err != nil {
		return 0, err
	}
	for {
		ok := f.append(ctx, data)
		select {
		case t := <-ch:
			return verdict(t)
		case <-ctx.Done():
			return 0, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the change was not read back from the log; run plan to see whether it is in force, and apply again")
		case <-time.After(waitFor(ok)):
		}
		if st := f.State(); st.HasApplied(w) {
			return f.passed(st, c)
		}
	}
}

// passed judges a change that the node took in as a part of a peer's state,
// without reading the record itself.
func (f *Follower) passed(st *ledger.State, c record.Change) (ident.Offset, error) {
	var rev ident.Offset
	for _, e := range c.Edits {
		if !st.IsInForce(e) {
			return 0, fault.New(fault.OutcomeUnknown, "class "+string(e.Name)+" is not as the change sets it; run plan to see what is in force")
		}
		rev = max(rev, st.Revision(e.Name))
	}
	return rev, nil
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
		f.p.Log.Warn().Err(err).Msg("Append to the log failed.")
	}
	return err == nil
}

func verdict(t ledger.Applied) (ident.Offset, error) {
	if t.Result.Verdict != ledger.Conflict {
		return t.Offset, nil
	}
	return 0, fault.New(fault.Conflict, errors.Errorf("class %s was changed by %s at revision %d",
		t.Result.Class, t.Result.Winner, t.Result.InForce).Error())
}

func (f *Follower) expect() (uint64, chan ledger.Applied) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	ch := make(chan ledger.Applied, 1)
	f.waiting[f.seq] = ch
	return f.seq, ch
}

func (f *Follower) drop(seq uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, seq)
}
