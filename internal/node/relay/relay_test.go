package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// failingStore is the direct connection of one node to a shared store. Appends
// and reads return err if it is set.
type failingStore struct {
	*topic.Store
	err error
}

func (s *failingStore) Append(ctx context.Context, a plat.Append) (int64, error) {
	if s.err != nil {
		return 0, s.err
	}
	return s.Store.Append(ctx, a)
}

func (s *failingStore) Read(ctx context.Context, t string, p int, from int64, kb int, wait clock.Millis) (plat.Page, error) {
	if s.err != nil {
		return plat.Page{}, s.err
	}
	return s.Store.Read(ctx, t, p, from, kb, wait)
}

func (s *failingStore) Newest(ctx context.Context, t string) ([]plat.Keyed, int64, error) {
	if s.err != nil {
		return nil, 0, s.err
	}
	return s.Store.Newest(ctx, t)
}

var errNoAnswer = errors.New("no answer")

func TestRelay(t *testing.T) {
	tests := map[string]struct {
		direct, peer     error
		want             error // nil for success
		provenNotApplied bool
	}{
		"direct":                        {},
		"direct refused, peer served":   {direct: plat.ErrNotApplied},
		"direct no answer, peer served": {direct: errNoAnswer},
		"refused by both": {
			direct: plat.ErrNotApplied, peer: plat.ErrNotApplied,
			want: plat.ErrNotApplied, provenNotApplied: true,
		},
		"direct no answer, peer refused":   {direct: errNoAnswer, peer: plat.ErrNotApplied, want: errNoAnswer},
		"direct refused, peer no answer":   {direct: plat.ErrNotApplied, peer: errNoAnswer, want: errNoAnswer},
		"error of the store, no peer call": {direct: &plat.GoneError{First: 9}, want: &plat.GoneError{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			shared := topic.New()
			srv := httptest.NewServer(Handler(&failingStore{shared, test.peer}, zerolog.Nop()))
			defer srv.Close()
			s := New(&failingStore{shared, test.direct}, func() []string { return []string{srv.Listener.Addr().String()} },
				srv.Client().Transport, clock.NewManual(clock.Second), zerolog.Nop())
			ctx := context.Background()
			_, err := s.Append(ctx, plat.Append{Topic: "t", Records: [][]byte{[]byte("r")}})
			c.Assert(err == nil, qt.Equals, test.want == nil, qt.Commentf("%v", err))
			c.Check(errors.Is(err, plat.ErrNotApplied), qt.Equals, test.provenNotApplied)
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

func TestErrorsOverRelay(t *testing.T) {
	for name, want := range map[string]error{
		"gone": &plat.GoneError{First: 40}, "sequence": &plat.SequenceError{Want: 7}, "fenced": &plat.SequenceError{Fenced: true}, "zero": &plat.GoneError{},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			srv := httptest.NewServer(Handler(&failingStore{topic.New(), want}, zerolog.Nop()))
			defer srv.Close()
			s := New(&failingStore{topic.New(), errNoAnswer}, func() []string { return []string{srv.Listener.Addr().String()} },
				srv.Client().Transport, clock.NewManual(clock.Second), zerolog.Nop())
			_, err := s.Read(context.Background(), "t", 0, 0, 1, 0)
			c.Check(err, qt.DeepEquals, want)
		})
	}
}

func TestNoPeer(t *testing.T) {
	c := qt.New(t)
	cl := clock.NewManual(clock.Second)
	direct := &failingStore{topic.New(), plat.ErrNotApplied}
	s := New(direct, func() []string { return nil }, nil, cl, zerolog.Nop())
	for range 2 { // without peers the second call uses the direct connection in spite of the backoff
		_, err := s.Append(context.Background(), plat.Append{Topic: "t", Records: [][]byte{{1}}})
		c.Check(errors.Is(err, plat.ErrNotApplied), qt.IsTrue)
	}
	direct.err = nil
	cl.Advance(directBackoff)
	_, err := s.Append(context.Background(), plat.Append{Topic: "t", Records: [][]byte{{1}}})
	c.Check(err, qt.IsNil)
}

// TestStoreDownForAll calls the store as fast as it fails, while it fails for all nodes.
// The calls through peers must not grow with the calls, and they must work again soon
// after a peer reaches the store.
func TestStoreDownForAll(t *testing.T) {
	c := qt.New(t)
	shared := topic.New()
	peer := &failingStore{shared, errNoAnswer}
	var relayed atomic.Int64
	h := Handler(peer, zerolog.Nop())
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		relayed.Add(1)
		h.ServeHTTP(w, r)
	}))
	defer srv.Close()
	cl := clock.NewManual(clock.Second)
	addr := srv.Listener.Addr().String()
	s := New(&failingStore{shared, errNoAnswer}, func() []string { return []string{addr, "127.0.0.1:1"} }, srv.Client().Transport, cl, zerolog.Nop())
	call := func() error {
		_, err := s.Append(context.Background(), plat.Append{Topic: "t", Records: [][]byte{{1}}})
		return err
	}
	for range 200 { // 20 s
		c.Check(call(), qt.IsNotNil)
		cl.Advance(100)
	}
	c.Check(relayed.Load() <= 16, qt.IsTrue, qt.Commentf("%d calls through the peer", relayed.Load()))
	peer.err = nil
	cl.Advance(maxPeerBackoff)
	c.Check(call(), qt.IsNil)
	c.Check(call(), qt.IsNil)
}

// The peer of the last relayed call must not be tried twice for one call.
func TestEachPeerOnce(t *testing.T) {
	s := New(topic.New(), func() []string { return []string{"a", "b"} }, nil, clock.NewManual(1), zerolog.Nop())
	last := "b"
	s.lastGoodPeer.Store(&last)
	for range 20 {
		qt.Check(t, s.choosePeers(), qt.DeepEquals, []string{"b", "a"})
	}
}
