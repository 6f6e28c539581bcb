package ledger

import (
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// maxBuffered bounds the records that are buffered after a gap.
const maxBuffered = 8192

// Applied is a record that was applied to the state, with the result.
type Applied struct {
	Offset ident.Offset
	Record record.Record
	Result Result
}

type bufferedRecord struct {
	offset ident.Offset
	rec    record.Record
}

// Reader computes the configuration of one node from the records that it reads.
// It is not safe for concurrent use.
type Reader struct {
	state       *State
	lastRead    ident.Offset     // last offset that was applied, buffered or skipped
	gapEnd      ident.Offset     // last offset of the gap that follows the state's offset, 0 for none
	buffered    []bufferedRecord // records read after the gap, which wait for a snapshot
	unsupported ident.Offset     // offset of a record that needs a newer program version, 0 for none
}

// NewReader returns a reader at the start of the stream.
func NewReader() *Reader { return &Reader{state: New()} }

// State returns the state, not a copy. The reader keeps changing it, so callers
// publish a clone.
func (r *Reader) State() *State { return r.state }

// NextOffset returns the offset to read from next.
func (r *Reader) NextOffset() ident.Offset { return r.lastRead + 1 }

// IsComplete reports whether the state includes all records up to the last one
// that was read.
func (r *Reader) IsComplete() bool { return r.gapEnd == 0 && r.unsupported == 0 }

// UnsupportedOffset returns the offset of the record that needs a newer program
// version, 0 for none.
func (r *Reader) UnsupportedOffset() ident.Offset { return r.unsupported }

// Truncated takes the first retained offset of the log. If records were removed
// before they were read, it notes a gap that ends before that offset (rule 7).
func (r *Reader) Truncated(first ident.Offset) {
	if first <= r.lastRead+1 {
		return
	}
	r.gapEnd = first - 1 // rule 7
	r.buffered = nil
	r.lastRead = r.gapEnd
}

// Skip advances past a record that can't be decoded.
func (r *Reader) Skip(at ident.Offset) {
	if at <= r.lastRead {
		return
	}
	r.lastRead = at
	if r.gapEnd == 0 {
		r.state.Skip(at)
		return
	}
	r.buffer(at, record.Record{})
}

// Stop treats a record that needs a newer program version as a gap (rule 8).
func (r *Reader) Stop(at ident.Offset) {
	if at <= r.lastRead {
		return
	}
	r.unsupported = at // rule 8
	r.Truncated(at + 1)
}

// Apply applies the record at an offset. It returns the records that were
// applied to the state; after a gap these may be none or many.
func (r *Reader) Apply(at ident.Offset, rec record.Record) []Applied {
	if at <= r.lastRead {
		return nil
	}
	r.lastRead = at
	if r.gapEnd == 0 {
		return []Applied{r.applyRecord(at, rec)}
	}
	r.buffer(at, rec)
	if rec.Snapshot == nil {
		return nil
	}
	return r.ApplySnapshot(*rec.Snapshot)
}

// buffer keeps a record that follows a gap. If there are too many, the first one
// is dropped and becomes part of the gap.
func (r *Reader) buffer(at ident.Offset, rec record.Record) {
	r.buffered = append(r.buffered, bufferedRecord{at, rec})
	if len(r.buffered) > maxBuffered {
		r.gapEnd = r.buffered[0].offset
		r.buffered = r.buffered[1:]
	}
}

// applyRecord applies a record to the state, which includes all records before it.
// The empty record is one that can't be decoded.
func (r *Reader) applyRecord(at ident.Offset, rec record.Record) Applied {
	if rec.Change == nil && rec.Snapshot == nil {
		r.state.Skip(at)
		return Applied{Offset: at, Result: Result{Verdict: Ignored}}
	}
	return Applied{Offset: at, Record: rec, Result: r.state.Apply(at, rec)}
}

// ApplySnapshot applies a snapshot from the stream or from a peer. A snapshot
// that covers no more than the state is ignored (rule 6).
func (r *Reader) ApplySnapshot(sn record.Snapshot) []Applied {
	if sn.Covers <= r.state.Offset() {
		return nil
	}
	r.state = Restore(sn) // rule 5
	r.lastRead = max(r.lastRead, sn.Covers)
	if sn.Covers >= r.unsupported {
		r.unsupported = 0 // rule 8
	}
	if sn.Covers < r.gapEnd {
		return nil // rule 7: the state is newer, but the gap remains
	}
	r.gapEnd = 0
	var out []Applied
	for _, b := range r.buffered {
		if b.offset > sn.Covers {
			out = append(out, r.applyRecord(b.offset, b.rec))
		}
	}
	r.buffered = nil
	return out
}
