package ledger

import (
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// maxHeld bounds the records that are held back behind a gap.
const maxHeld = 8192

// Taken is one record that was taken into the state.
type Taken struct {
	At     ident.Offset
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

// IsWhole reports whether the state holds all that was read.
func (r *Reader) IsWhole() bool { return r.gap == 0 && r.newer == 0 }

// Newer returns the offset of the record that needs a newer program version,
// 0 for none.
func (r *Reader) Newer() ident.Offset { return r.newer }

// Expired tells that the oldest record still kept is at an offset.
func (r *Reader) Expired(first ident.Offset) {
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
	r.Expired(at + 1)
}

// Read takes in the record at an offset. It returns what became part of the
// state, which after a gap may be many records or none.
func (r *Reader) Read(at ident.Offset, rec record.Record) []Taken {
	if at <= r.read {
		return nil
	}
	r.read = at
	if r.gap == 0 {
		return []Taken{r.take(at, rec)}
	}
	r.hold(at, rec)
	if rec.Snapshot == nil {
		return nil
	}
	return r.Learn(*rec.Snapshot)
}

func (r *Reader) hold(at ident.Offset, rec record.Record) {
	r.held = append(r.held, held{at, rec})
	if len(r.held) > maxHeld {
		r.gap = r.held[0].at
		r.held = r.held[1:]
	}
}

func (r *Reader) take(at ident.Offset, rec record.Record) Taken {
	if rec.Change == nil && rec.Snapshot == nil {
		r.state.Skip(at)
		return Taken{At: at, Result: Result{Verdict: Ignored}}
	}
	return Taken{At: at, Record: rec, Result: r.state.Apply(at, rec)}
}

// Learn takes in a snapshot, from the stream or from a peer. One that covers
// less than the state is dropped (rule 6).
func (r *Reader) Learn(sn record.Snapshot) []Taken {
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
	var out []Taken
	for _, h := range r.held {
		if h.at > sn.Covers {
			out = append(out, r.take(h.at, h.rec))
		}
	}
	r.held = nil
	return out
}
