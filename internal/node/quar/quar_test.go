package quar

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
)

// TestSampleWhoseServersCrashedIsStillOwed guards against a sample of a round that is refused
// for good because several servers crashed while they ran it. It still runs apart from other
// suspects. A caller's request with the same crashes is refused.
func TestSampleWhoseServersCrashedIsStillOwed(t *testing.T) {
	tests := map[string]struct {
		sample wire.Sample
		kind   fault.Kind // of the refusal
	}{
		"request": {wire.Sample{}, fault.Quarantined},
		"sample":  {wire.Sample{Round: "round-1"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := New(Params{Policy: crash.DefaultPolicy(), Clock: clock.NewSystem(), Log: zerolog.Nop()})
			w := calls.Work{Body: []byte("x"), Sample: test.sample}
			for i := range 5 {
				q.RecordCrash(crash.Crash{ID: fmt.Sprintf("agent-%d/boot", i), Requests: []string{crash.Fingerprint(w.Class.Name(), w.Body)}})
			}
			suspect, err := q.Admit(t.Context(), w, 0)
			c.Check(suspect, qt.IsTrue)
			c.Check(fault.KindOf(err), qt.Equals, test.kind)
		})
	}
}
