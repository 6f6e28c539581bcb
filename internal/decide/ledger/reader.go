package ledger

import (
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// maxHeld bounds the records that are held back behind a gap.
const maxHeld = 8192

// Applied is one record that was taken into the state.
type Applied struct {
	Offset ident.Offset
	Record record.Record
	Result Result
}

type held struct {
	at  ident.Offset
	rec record.Record
}

// Reader is the configuration of one node with its place in the stream. It is
// not safe for concurrent use.
type Reader struct {
	state *State
	read  ident.Offset // last offset read, taken in or held back
	gap   ident.Offset // last offset that was missed, 0 for none
	held  []held       // read behind the gap
	newer ident.Offset // the record that needs a newer program, 0 for none
}

// NewReader returns a reader at the start of the stream.
func NewReader() *Reader { return &Reader{state: New()} }

// State returns the state. The reader goes on changing it: publish a clone.
func (r *Reader) State() *State { return r.state }

// Position returns the offset to read from next.
func (r *Reader) Position() ident.Offset { return r.read + 1 }

// IsComplete reports whether the state holds all that was read.
func (r *Reader) IsComplete() bool { return r.gap == 0 && r.newer == 0 }

// UnsupportedOffset returns the offset of the record that needs a newer program version,
// 0 for none.
func (r *Reader) UnsupportedOffset() ident.Offset { return r.newer }

// Truncated tells that the oldest record still kept is at an offset.
func (r *Reader) Truncated(first ident.Offset) {
	if first <= r.read+1 {
		return
	}
	r.gap = first - 1 // rule 7
	r.held = nil
	r.read = r.gap
}

// Skip moves past a record that can't be read.
func (r *Reader) Skip(at ident.Offset) {
	if at <= r.read {
		return
	}
	r.read = at
	if r.gap == 0 {
		r.state.Skip(at)
		return
	}
	r.hold(at, record.Record{})
}

// Stop holds the state before a record that needs a newer program version.
func (r *Reader) Stop(at ident.Offset) {
	if at <= r.read {
		return
	}
	r.newer = at // rule 8
	r.Truncated(at + 1)
}

// Apply takes in the record at an offset. It returns what became part of the
// state, which after a gap may be many records or none.
func (r *Reader) Apply(at ident.Offset, rec record.Record) []Applied {
	if at <= r.read {
		return nil
	}
	r.read = at
	if r.gap == 0 {
		return []Applied{r.take(at, rec)}
	}
	r.hold(at, rec)
	if rec.Snapshot == nil {
		return nil
	}
	return r.ApplySnapshot(*rec.Snapshot)
}

func (r *Reader) hold(at ident.Offset, rec record.Record) {
	r.held = append(r.held, held{at, rec})
	if len(r.held) > maxHeld {
		r.gap = r.held[0].at
		r.held = r.held[1:]
	}
}

func (r *Reader) take(at ident.Offset, rec record.Record) Applied {
	if rec.Change == nil && rec.Snapshot == nil {
		r.state.Skip(at)
		return Applied{Offset: at, Result: Result{Verdict: Ignored}}
	}
	return Applied{Offset: at, Record: rec, Result: r.state.Apply(at, rec)}
}

// ApplySnapshot takes in a snapshot, from the stream or from a peer. One that covers
// less than the state is dropped (rule 6).
func (r *Reader) ApplySnapshot(sn record.Snapshot) []Applied {
	if sn.Covers <= r.state.Offset() {
		return nil
	}
	r.state = Restore(sn) // rule 5
	r.read = max(r.read, sn.Covers)
	if sn.Covers >= r.newer {
		r.newer = 0 // rule 8
	}
	if sn.Covers < r.gap {
		return nil // rule 7: newer than before, and still not whole
	}
	r.gap = 0
	var out []Applied
	for _, h := range r.held {
		if h.at > sn.Covers {
			out = append(out, r.take(h.at, h.rec))
		}
	}
	r.held = nil
	return out
}
