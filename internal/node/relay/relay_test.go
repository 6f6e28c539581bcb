package relay

import (
	"context"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// gate is one VM's way to the store.
type gate struct {
	*topic.Store
	err error
}

func (g *gate) Append(ctx context.Context, a plat.Append) (int64, error) {
	if g.err != nil {
		return 0, g.err
	}
	return g.Store.Append(ctx, a)
}

func (g *gate) Read(ctx context.Context, t string, p int, from int64, kb int, wait clock.Millis) (plat.Page, error) {
	if g.err != nil {
		return plat.Page{}, g.err
	}
	return g.Store.Read(ctx, t, p, from, kb, wait)
}

func (g *gate) Newest(ctx context.Context, t string) ([]plat.Keyed, int64, error) {
	if g.err != nil {
		return nil, 0, g.err
	}
	return g.Store.Newest(ctx, t)
}

var errCut = errors.New("no answer")

func TestRelay(t *testing.T) {
	tests := map[string]struct {
		own, peer error
		want      error // nil: done
		proven    bool  // that nothing was done
	}{
		"direct":                         {},
		"refused here, served there":     {own: plat.ErrNotApplied},
		"cut here, served there":         {own: errCut},
		"refused on each way":            {own: plat.ErrNotApplied, peer: plat.ErrNotApplied, want: plat.ErrNotApplied, proven: true},
		"no answer here, refused there":  {own: errCut, peer: plat.ErrNotApplied, want: errCut},
		"refused here, no answer there":  {own: plat.ErrNotApplied, peer: errCut, want: errCut},
		"the call's own result, no peer": {own: &plat.GoneError{First: 9}, want: &plat.GoneError{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			shared := topic.New()
			srv := httptest.NewServer(Handler(&gate{shared, test.peer}, zerolog.Nop()))
			defer srv.Close()
			s := New(&gate{shared, test.own}, func() []string { return []string{srv.Listener.Addr().String()} },
				srv.Client().Transport, clock.NewManual(clock.Second), zerolog.Nop())
			ctx := context.Background()
			_, err := s.Append(ctx, plat.Append{Topic: "t", Records: [][]byte{[]byte("r")}})
			c.Assert(err == nil, qt.Equals, test.want == nil, qt.Commentf("%v", err))
			c.Check(errors.Is(err, plat.ErrNotApplied), qt.Equals, test.proven)
			if test.want != nil {
				return
			}
			p, err := s.Read(ctx, "t", 0, 0, 10, 0)
			c.Assert(err, qt.IsNil)
			c.Check(p.Records, qt.HasLen, 1)
			shared.Write("newest", "k", []byte("v"))
			ks, end, err := s.Newest(ctx, "newest")
			c.Assert(err, qt.IsNil)
			c.Check(ks, qt.HasLen, 1)
			c.Check(end, qt.Equals, int64(1))
		})
	}
}

func TestErrorsCross(t *testing.T) {
	for name, want := range map[string]error{
		"gone": &plat.GoneError{First: 40}, "sequence": &plat.SequenceError{Want: 7}, "fenced": &plat.SequenceError{Fenced: true}, "zero": &plat.GoneError{},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			srv := httptest.NewServer(Handler(&gate{topic.New(), want}, zerolog.Nop()))
			defer srv.Close()
			s := New(&gate{topic.New(), errCut}, func() []string { return []string{srv.Listener.Addr().String()} },
				srv.Client().Transport, clock.NewManual(clock.Second), zerolog.Nop())
			_, err := s.Read(context.Background(), "t", 0, 0, 1, 0)
			c.Check(err, qt.DeepEquals, want)
		})
	}
}

func TestNoPeer(t *testing.T) {
	c := qt.New(t)
	cl := clock.NewManual(clock.Second)
	g := &gate{topic.New(), plat.ErrNotApplied}
	s := New(g, func() []string { return nil }, nil, cl, zerolog.Nop())
	for range 2 { // the second time the direct way is not passed over for nobody
		_, err := s.Append(context.Background(), plat.Append{Topic: "t", Records: [][]byte{{1}}})
		c.Check(errors.Is(err, plat.ErrNotApplied), qt.IsTrue)
	}
	g.err = nil
	cl.Advance(avoid)
	_, err := s.Append(context.Background(), plat.Append{Topic: "t", Records: [][]byte{{1}}})
	c.Check(err, qt.IsNil)
}
