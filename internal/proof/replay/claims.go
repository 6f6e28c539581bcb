package replay

import (
	"fmt"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

// stream is one stream of claims with what this package knows of it itself.
type stream struct {
	state Claims
	read  ident.Offset
	won   map[string]ident.Offset // the last claim of a key that may run
	done  map[string]bool         // keys whose request ran
}

// claimed is one claim that may run.
type claimed struct {
	at    clock.Millis
	key   string
	bad   bool // beside another one, or after the request ran
	other ident.Offset
}

// claim plays a record of a stream of claims; each entry that reads the stream
// writes it.
func (w *world) claim(e trace.Event) {
	s, ok := w.streams[e.Service]
	if !ok {
		s = &stream{state: w.o.Decisions.Claim(), won: make(map[string]ident.Offset), done: make(map[string]bool)}
		w.streams[e.Service] = s
	}
	ev, err := record.DecodeClaimRecord(e.Data)
	if err != nil || e.Offset <= s.read {
		return
	}
	s.read = e.Offset
	if o := ev.Outcome; o != nil {
		s.state.Outcome(*o)
		s.done[o.Key] = s.done[o.Key] || (o.State == record.Done && o.ClaimOffset == s.won[o.Key])
		return
	}
	c := ev.Claim
	if !s.state.Claim(e.Offset, ev.Writer, *c) {
		return
	}
	before := s.won[c.Key]
	bad := s.done[c.Key] || (before > 0 && c.Replaces != before)
	w.res.claims = append(w.res.claims, claimed{at: e.At, key: c.Key, bad: bad, other: before})
	s.won[c.Key] = e.Offset
}

func (r *Result) claimOnce(Outcome) (int, *event) {
	for _, c := range r.claims {
		if c.bad {
			return len(r.claims), &event{c.at, fmt.Sprintf("a claim of key %s may run beside the one at offset %d", c.key, c.other)}
		}
	}
	return len(r.claims), nil
}
