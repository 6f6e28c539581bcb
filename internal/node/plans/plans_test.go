package plans

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/place"
)

// fakeLease returns the listed answers one after another, and then repeats the last
// one.
type fakeLease struct {
	mu      sync.Mutex
	answers []ident.Offset // fencing tokens; 0 for a lease that is not held
}

func (l *fakeLease) Held() (ident.Offset, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.answers[0]
	if len(l.answers) > 1 {
		l.answers = l.answers[1:]
	}
	return a, a > 0
}

// TestOrders checks which orders are sent, with which fencing token, while the lease
// is held, not held, or lost.
func TestOrders(t *testing.T) {
	tests := map[string]struct {
		answers []ident.Offset
		version ident.Version
		fails   int // orders that fail before one succeeds
		want    []Order
		moves   int64
	}{
		"holder moves an engine":            {answers: []ident.Offset{7}, version: 3, want: []Order{{"n1", "b", 3, 7}}, moves: 1},
		"lease not held":                    {answers: []ident.Offset{0}, version: 3},
		"lease lost before sending":         {answers: []ident.Offset{7, 0}, version: 3},
		"fencing token read before sending": {answers: []ident.Offset{7, 9}, version: 3, want: []Order{{"n1", "b", 3, 9}}, moves: 1},
		"no version known":                  {answers: []ident.Offset{7}, version: 0},
		"failed order retried":              {answers: []ident.Offset{7}, version: 3, fails: 1, want: []Order{{"n1", "b", 3, 7}, {"n1", "b", 3, 7}}, moves: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, stop := context.WithCancel(t.Context())
				engines := []place.Engine{{Node: "n1", Model: "a"}, {Node: "n2", Model: "a"}}
				var sent []Order
				var mu sync.Mutex
				s := New(Params{
					Policy: place.DefaultPolicy(),
					Lease:  &fakeLease{answers: tc.answers},
					Observe: func() View {
						mu.Lock()
						defer mu.Unlock()
						return View{Engines: engines, Demands: []place.Demand{{Model: "a", Load: 1}, {Model: "b", Load: 1}}}
					},
					Newest: func(ident.Service) ident.Version { return tc.version },
					Send: func(_ context.Context, o Order) error {
						mu.Lock()
						defer mu.Unlock()
						sent = append(sent, o)
						if len(sent) <= tc.fails {
							return fault.New(fault.OutcomeUnknown, "no answer")
						}
						engines[0].Model = o.Model
						return nil
					},
					Clock: clock.NewSystem(),
					Log:   zerolog.Nop(),
				})
				go s.Run(ctx)
				time.Sleep(30 * time.Second)
				stop()
				synctest.Wait()
				c.Assert(sent, qt.DeepEquals, tc.want)
				c.Assert(s.Moves(), qt.Equals, tc.moves)
			})
		})
	}
}
