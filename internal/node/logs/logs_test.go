package logs

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

func records(c *qt.C, s *topic.Store, name string) []string {
	p, err := s.Read(context.Background(), name, 0, 0, 1024, 0)
	c.Assert(err, qt.IsNil)
	var out []string
	for _, r := range p.Records {
		out = append(out, string(r))
	}
	return out
}

// An append whose answer is lost, or that takes effect seconds later, stands
// in the log once, and its caller learns its offset.
func TestAppendOnce(t *testing.T) {
	for name, trouble := range map[string]topic.FaultMode{"busy": topic.Busy, "silent": topic.Unresponsive, "lost answers": topic.LostReplies, "late effects": topic.DelayedAppends} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s := topic.New()
				w := NewWriter(ctx, s, "n/1", 1<<20, zerolog.Nop())
				_, err := w.Append(ctx, "t", 0, []byte("first"))
				c.Assert(err, qt.IsNil)
				s.SetFaultMode(trouble)
				time.AfterFunc(2*time.Second, func() { s.SetFaultMode(topic.NoFault) })
				var wg sync.WaitGroup
				offsets := make([]int64, 3)
				for i := range offsets {
					wg.Go(func() {
						off, err := w.Append(ctx, "t", 0, fmt.Appendf(nil, "r%d", i))
						c.Check(err, qt.IsNil)
						offsets[i] = off
					})
				}
				wg.Wait()
				got := records(c, s, "t")
				c.Assert(got, qt.HasLen, 4)
				for i, off := range offsets {
					c.Check(got[off], qt.Equals, fmt.Sprintf("r%d", i))
				}
			})
		})
	}
}

// A caller that gives up is told "not done" only if the record never appears.
func TestGivenUp(t *testing.T) {
	tests := map[string]struct {
		trouble topic.FaultMode
		want    error
		appears bool
	}{
		"refused all the while": {topic.Busy, plat.ErrNotApplied, false},
		"answer lost":           {topic.LostReplies, ErrOutcomeUnknown, true},
		"takes effect later":    {topic.DelayedAppends, ErrOutcomeUnknown, true},
		"no answer":             {topic.Unresponsive, ErrOutcomeUnknown, true}, // the try goes on, so that the sequence has no gap
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s := topic.New()
				w := NewWriter(ctx, s, "n/1", 1<<20, zerolog.Nop())
				s.SetFaultMode(test.trouble)
				short, stop := context.WithTimeout(ctx, time.Second)
				defer stop()
				_, err := w.Append(short, "t", 0, []byte("r"))
				c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
				s.SetFaultMode(topic.NoFault)
				_, err = w.Append(ctx, "t", 0, []byte("next"))
				c.Assert(err, qt.IsNil)
				want := []string{"next"}
				if test.appears {
					want = []string{"r", "next"}
				}
				c.Check(records(c, s, "t"), qt.DeepEquals, want)
			})
		})
	}
}

func TestTooLarge(t *testing.T) {
	c := qt.New(t)
	w := NewWriter(context.Background(), topic.New(), "n/1", 10, zerolog.Nop())
	_, err := w.Append(context.Background(), "t", 0, make([]byte, 11))
	c.Check(errors.Is(err, plat.ErrNotApplied), qt.IsTrue)
}

// follower collects what a keyed topic says.
type follower struct {
	mu    sync.Mutex
	state map[string]string
	falls int
}

func (f *follower) put(k plat.Keyed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state[k.Key] > string(k.Value) {
		f.falls++
	}
	f.state[k.Key] = string(k.Value)
}

func (f *follower) get(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state[key]
}

func TestFollowKeyed(t *testing.T) {
	tests := map[string]struct {
		before func(s *topic.Store)
		after  func(s *topic.Store)
	}{
		"calm":               {},
		"history is gone":    {before: func(s *topic.Store) { s.SetFaultMode(topic.Unresponsive) }, after: func(s *topic.Store) { s.Expire("newest", 0); s.SetFaultMode(topic.NoFault) }},
		"store was busy":     {before: func(s *topic.Store) { s.SetFaultMode(topic.Busy) }, after: func(s *topic.Store) { s.SetFaultMode(topic.NoFault) }},
		"gone between reads": {after: func(s *topic.Store) { s.Expire("newest", 0) }},
		"foreign record first": {before: func(s *topic.Store) {
			_, _ = s.Append(context.Background(), plat.Append{Topic: "newest", Records: [][]byte{{99}}})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s := topic.New()
				s.Write("newest", "k", []byte("1"))
				f := &follower{state: make(map[string]string)}
				go FollowKeyed(ctx, s, Subscription{
					Topic: "newest", DecodeKeyed: topic.DecodeKeyed, OnRecord: f.put,
					OnSnapshot: func(ks []plat.Keyed) {
						for _, k := range ks {
							f.put(k)
						}
					},
				}, zerolog.Nop())
				time.Sleep(time.Second)
				c.Check(f.get("k"), qt.Equals, "1")
				if test.before != nil {
					test.before(s)
				}
				s.Write("newest", "k", []byte("2"))
				if test.after != nil {
					test.after(s)
				}
				time.Sleep(2 * time.Second)
				c.Check(f.get("k"), qt.Equals, "2")
				c.Check(f.falls, qt.Equals, 0)
			})
		})
	}
}

// stale answers the list of keys from an old copy.
type stale struct {
	*topic.Store
	old []plat.Keyed
	end int64
	on  atomic.Bool
}

func (s *stale) Newest(ctx context.Context, name string) ([]plat.Keyed, int64, error) {
	if s.on.Load() {
		return s.old, s.end, nil
	}
	return s.Store.Newest(ctx, name)
}

func TestStaleListChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &stale{Store: topic.New()}
		s.Write("newest", "k", []byte("1"))
		s.old, s.end, _ = s.Store.Newest(ctx, "newest")
		f := &follower{state: make(map[string]string)}
		lists := 0
		go FollowKeyed(ctx, s, Subscription{
			Topic: "newest", DecodeKeyed: topic.DecodeKeyed, OnRecord: f.put,
			OnSnapshot: func(ks []plat.Keyed) {
				lists++
				for _, k := range ks {
					f.put(k)
				}
			},
		}, zerolog.Nop())
		time.Sleep(time.Second)
		s.Write("newest", "k", []byte("2"))
		time.Sleep(time.Second)
		s.on.Store(true)
		s.Expire("newest", 0) // The next read finds its records gone.
		s.Write("newest", "other", []byte("x"))
		s.Expire("newest", 0)
		time.Sleep(time.Second)
		c.Check(f.get("k"), qt.Equals, "2")
		s.on.Store(false)
		time.Sleep(time.Second)
		c.Check(f.get("other"), qt.Equals, "x")
		c.Check(f.falls, qt.Equals, 0)
	})
}
