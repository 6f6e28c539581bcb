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

// Audit returns the newest entries of the audit trail, oldest first.
func (f *Follower) Audit() []AuditEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]AuditEntry(nil), f.audit...)
}

// Change appends a change to the log and waits until this node has read the change
// back. It retries with the same writer identity and sequence number until the
// context ends, so that an append whose answer was lost takes effect only once.
//
// Only one change is written at a time. Readers drop a record whose sequence number
// is lower than one they have seen, so a concurrent second change could cause the
// first one to be dropped.
func (f *Follower) Change(ctx context.Context, c record.Change) (ident.Offset, error) {
	select {
	case f.writeLock <- struct{}{}:
		defer func() { <-f.writeLock }()
	case <-ctx.Done():
		return 0, fault.New(fault.Overloaded, "another change is being written").WithRetryAfter(retryDelay)
	}
	seq, ch := f.addWaiter()
	defer f.removeWaiter(seq)
	w := record.Writer{Node: f.params.Node, Boot: f.params.Boot, Seq: seq}
	data, err := record.Encode(record.Record{Writer: w, Change: &c})
	if err != nil {
		return 0, err
	}
	for {
		ok := f.appendRecord(ctx, data)
		select {
		case applied := <-ch:
			return changeResult(applied)
		case <-ctx.Done():
			return 0, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the change was not read back from the log; run plan to see whether it is in force, and apply again")
		case <-time.After(readBackTimeout(ok)):
		}
		if st := f.State(); st.HasApplied(w) {
			return f.verifyInForce(st, c)
		}
	}
}

// verifyInForce determines the result of a change that reached this node within a
// snapshot, so that the node did not read the record itself.
func (f *Follower) verifyInForce(st *ledger.State, c record.Change) (ident.Offset, error) {
	var rev ident.Offset
	for _, e := range c.Edits {
		if !st.IsInForce(e) {
			return 0, fault.New(fault.OutcomeUnknown, "class "+string(e.Name)+" is not as the change sets it; run plan to see what is in force")
		}
		rev = max(rev, st.Revision(e.Name))
	}
	return rev, nil
}

// readBackTimeout returns how long to wait for a change to be read back before the
// append is retried.
func readBackTimeout(appended bool) time.Duration {
	if appended {
		return readTimeout.Duration()
	}
	return retryDelay.Duration()
}

// appendRecord appends a record to the log and reports whether the log confirmed
// it. An unconfirmed record may still have been added.
func (f *Follower) appendRecord(ctx context.Context, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	_, err := f.params.Source.Append(ctx, record.ConfigStream, [][]byte{data})
	if err != nil {
		f.params.Log.Warn().Err(err).Msg("follow: append to the log failed")
	}
	return err == nil
}

// changeResult returns the revision that a change created, or a conflict.
func changeResult(a ledger.Applied) (ident.Offset, error) {
	if a.Result.Verdict != ledger.Conflict {
		return a.Offset, nil
	}
	return 0, fault.New(fault.Conflict, errors.Errorf("class %s was changed by %s at revision %d",
		a.Result.Class, a.Result.Winner, a.Result.InForce).Error())
}

// addWaiter allocates the sequence number of a change and a channel that receives
// the change once it has been read back.
func (f *Follower) addWaiter() (uint64, chan ledger.Applied) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSeq++
	ch := make(chan ledger.Applied, 1)
	f.waiters[f.lastSeq] = ch
	return f.lastSeq, ch
}

func (f *Follower) removeWaiter(seq uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, seq)
}
