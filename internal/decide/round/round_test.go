package round

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
	"github.com/jujuberamp/jujuberamp/internal/proof/prop"
)

const all = 100 // more than any round here holds

func spec() Spec {
	return Spec{ID: "t/r", Class: "c", Version: 5, Staleness: 1, SamplesPerGroup: 2, Prompts: [][]byte{[]byte("p"), []byte("q")}}
}

func made(ordinal int, v ident.Version) Sample {
	a := ident.Attempt(fmt.Sprint("attempt-", ordinal, "-", v))
	return Sample{Ordinal: ordinal, Attempt: a, Node: "agent-1", Tokens: []uint32{1, 2}, Spans: []model.Span{{Version: v, Attempt: a, To: 2}}}
}

func opened() (*State, Cursor) {
	cur := NewCursor(spec().Total())
	return New(clock.Second, spec(), cur), cur
}

func TestRules(t *testing.T) {
	tests := map[string]func(*qt.C, *State, Cursor){
		"an ordinal is kept once": func(c *qt.C, st *State, cur Cursor) {
			c.Assert(st.Complete(made(0, 5), false), qt.IsTrue)
			c.Assert(st.Complete(made(0, 4), false), qt.IsFalse)
			c.Assert(st.Read(cur, 5, all).Samples[0].OldestVersion(), qt.Equals, ident.Version(5))
		},
		"a page that was lost comes again": func(c *qt.C, st *State, cur Cursor) {
			st.Complete(made(0, 5), false)
			c.Assert(st.Read(cur, 5, all).Samples, qt.HasLen, 1)
			c.Assert(st.Read(cur, 5, all).Samples, qt.HasLen, 1)
		},
		"a page that was lost comes again only while it is fresh": func(c *qt.C, st *State, cur Cursor) {
			st.Complete(made(0, 5), false)
			c.Assert(st.Read(cur, 6, all).Samples, qt.HasLen, 1)
			c.Assert(st.Read(cur, 7, all).Samples, qt.HasLen, 0)
			c.Assert(st.Remade(), qt.DeepEquals, map[Reason]int{Stale: 1})
		},
		"a sample that ends too old is made anew": func(c *qt.C, st *State, _ Cursor) {
			st.Start(clock.Second, all)
			c.Assert(st.Complete(made(0, 3), false), qt.IsFalse)
			c.Assert(st.Start(clock.Second, all), qt.HasLen, 1)
		},
		"one that will be too old is given up": func(c *qt.C, st *State, cur Cursor) {
			st.Start(clock.Second, 3)
			c.Assert(st.ObserveVersions(1, nil, 5), qt.IsTrue)
			c.Assert(st.ObserveVersions(2, []model.Span{{Version: 6, To: 3}}, 6), qt.IsTrue)
			st.Read(cur, 7, all)
			c.Assert(st.CancelStale(), qt.DeepEquals, []int{0, 1})
			c.Assert(st.Remade(), qt.DeepEquals, map[Reason]int{Stale: 1}) // the first one only waited
			c.Assert(st.ObserveVersions(2, []model.Span{{Version: 5, To: 3}}, 6), qt.IsFalse)
		},
		"proven tokens go on": func(c *qt.C, st *State, _ Cursor) {
			st.Start(clock.Second, all)
			st.ObserveVersions(0, made(0, 5).Spans, 5)
			wait := st.Interrupt(clock.Second, 0, Partial{Tokens: []uint32{1, 2}, Spans: made(0, 5).Spans}, Failed)
			c.Assert(st.Start(clock.Second, all), qt.HasLen, 0)
			b := st.Start(clock.Second+wait, all)
			c.Assert(b[0].Part.Tokens, qt.HasLen, 2)
			c.Assert(b[0].Late, qt.IsTrue)
			c.Assert(st.Remade(), qt.HasLen, 0)
		},
		"tokens that are too old don't go on": func(c *qt.C, st *State, cur Cursor) {
			st.Start(clock.Second, all)
			wait := st.Interrupt(clock.Second, 0, Partial{Tokens: []uint32{1, 2}, Spans: made(0, 4).Spans}, Failed)
			st.Read(cur, 6, all)
			c.Assert(st.Start(clock.Second+wait, all)[0].Part.Tokens, qt.HasLen, 0)
		},
		"a scorer that fails keeps the sample": func(c *qt.C, st *State, cur Cursor) {
			s := made(0, 5)
			st.Complete(s, true)
			c.Assert(st.Read(cur, 5, all).Samples, qt.HasLen, 0)
			st.SetScore(0, "another attempt", 3)
			c.Assert(st.AwaitsScore(0, s.Attempt), qt.IsTrue)
			st.SetScore(0, s.Attempt, 1)
			st.SetScore(0, s.Attempt, 2)
			c.Assert(st.Read(cur, 5, all).Samples[0].Score, qt.Equals, 1.0)
		},
		"a group is complete with its last sample": func(c *qt.C, st *State, cur Cursor) {
			st.Complete(made(2, 5), false)
			pg := st.Read(cur, 5, all)
			c.Assert(pg.Complete, qt.HasLen, 0)
			st.Complete(made(3, 5), false)
			c.Assert(st.Read(pg.Cursor, 5, all).Complete, qt.DeepEquals, []int{1})
		},
		"a group with a refused sample is never complete": func(c *qt.C, st *State, cur Cursor) {
			st.Start(clock.Second, all)
			st.Refuse(2, "quarantined")
			pg := st.Read(cur, 9, all)
			c.Assert(pg.Samples[0].Refused, qt.Equals, "quarantined")
			next := New(clock.Second, spec(), pg.Cursor) // at a new owner
			next.Complete(made(3, 5), false)
			c.Assert(next.Read(pg.Cursor, 5, all).Complete, qt.HasLen, 0)
		},
		"a cursor releases what it holds": func(c *qt.C, st *State, cur Cursor) {
			st.Complete(made(0, 5), false)
			pg := st.Read(cur, 5, all)
			st.Start(clock.Second, 1)
			next := pg.Cursor.With(Sample{Ordinal: 1})
			got := st.ApplyCursor(clock.Second, next)
			c.Assert(got.Released, qt.DeepEquals, []Sample{{Ordinal: 0, Node: "agent-1"}})
			c.Assert(got.Unwanted, qt.DeepEquals, []int{1})
		},
		"a late read with an older cursor changes nothing": func(c *qt.C, st *State, cur Cursor) {
			st.Complete(made(0, 5), false)
			st.ApplyCursor(clock.Second, st.Read(cur, 5, all).Cursor)
			st.ApplyCursor(2*clock.Second, cur)
			c.Assert(st.Read(cur, 5, all).Samples, qt.HasLen, 0)
			c.Assert(st.Count().Released, qt.Equals, 1)
		},
		"a trainer that went back gets released samples again": func(c *qt.C, st *State, cur Cursor) {
			st.Complete(made(0, 5), false)
			st.ApplyCursor(clock.Second, st.Read(cur, 5, all).Cursor)
			st.ApplyCursor(clock.Minute, cur)
			c.Assert(st.Start(clock.Minute, all), qt.HasLen, 4)
			c.Assert(st.Remade(), qt.DeepEquals, map[Reason]int{Reread: 1})
		},
		"a new owner makes only what the trainer lacks": func(c *qt.C, _ *State, cur Cursor) {
			next := New(clock.Second, spec(), cur.With(Sample{Ordinal: 0}, Sample{Ordinal: 3}))
			c.Assert(next.MarkRunning(1), qt.IsTrue)
			c.Assert(next.MarkRunning(3), qt.IsFalse)
			c.Assert(next.MarkRunning(99), qt.IsFalse)
			b := next.Start(clock.Second, all)
			c.Assert(b, qt.HasLen, 1)
			c.Assert(b[0].Ordinal, qt.Equals, 2)
		},
		"the window bounds what runs": func(c *qt.C, st *State, _ Cursor) {
			c.Assert(st.Start(clock.Second, 3), qt.HasLen, 3)
			c.Assert(st.Start(clock.Second, 3), qt.HasLen, 0)
		},
	}
	for name, fn := range tests {
		t.Run(name, func(t *testing.T) {
			st, cur := opened()
			fn(qt.New(t), st, cur)
		})
	}
}

func TestCursor(t *testing.T) {
	key := []byte("key")
	other := spec()
	other.Seed++
	renamed := spec()
	renamed.ID = "t/s"
	good := NewCursorCodec(key, spec()).Encode(NewCursor(4).With(Sample{Ordinal: 2}, Sample{Ordinal: 3, Refused: "no"}))
	tests := map[string]struct {
		by   CursorCodec
		text string
		ok   bool
	}{
		"its own":                   {NewCursorCodec(key, spec()), good, true},
		"none":                      {NewCursorCodec(key, spec()), "", true},
		"another round's":           {NewCursorCodec(key, renamed), good, false},
		"another specification's":   {NewCursorCodec(key, other), good, false},
		"sealed with another key":   {NewCursorCodec([]byte("x"), spec()), good, false},
		"forged":                    {NewCursorCodec(key, spec()), "B" + good[1:], false},
		"cut off":                   {NewCursorCodec(key, spec()), good[:20], false},
		"not base64":                {NewCursorCodec(key, spec()), "%%", false},
		"longer than the round has": {NewCursorCodec(key, spec()), good + "AAAA", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cur, err := tc.by.Decode(tc.text)
			if !tc.ok {
				c.Assert(fault.Is(err, fault.BadCursor), qt.IsTrue, qt.Commentf("%v", err))
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(cur.Count() == 0 || (cur.Has(2) && cur.Has(3) && cur.IsRefused(3) && !cur.IsRefused(2)), qt.IsTrue)
		})
	}
}

// TestOnce lets readers with any cursor, owners and versions come in any order
// and looks at what the reader that keeps its cursors gets.
func TestOnce(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		s := Spec{ID: "t/r", Version: 1, Staleness: ident.Version(rapid.IntRange(0, 2).Draw(t, "bound")), SamplesPerGroup: 3, Prompts: make([][]byte, 4)}
		cur := NewCursor(s.Total())
		past := []Cursor{cur}
		asked, now := s.Version, clock.Second
		st := New(now, s, cur)
		got := make(map[int]int)
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(*rapid.T) { asked++ },
			"wait":     func(t *rapid.T) { now += clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "ms")) },
			"start":    func(t *rapid.T) { st.Start(now, rapid.IntRange(0, 12).Draw(t, "limit")) },
			"finish": func(t *rapid.T) {
				v := asked - min(asked-1, ident.Version(rapid.IntRange(0, 4).Draw(t, "age")))
				st.Complete(made(rapid.IntRange(0, 11).Draw(t, "ordinal"), v), false)
			},
			"fail":      func(t *rapid.T) { st.Interrupt(now, rapid.IntRange(0, 11).Draw(t, "ordinal"), Partial{}, Failed) },
			"new owner": func(*rapid.T) { st = New(now, s, cur) },
			"lost page": func(*rapid.T) { st.ApplyCursor(now, cur); st.Read(cur, asked, all) },
			"late read": func(t *rapid.T) {
				old := rapid.SampledFrom(past).Draw(t, "cursor")
				st.ApplyCursor(now, old)
				for _, x := range st.Read(old, asked, all).Samples {
					if old.Has(x.Ordinal) {
						t.Fatalf("ordinal %d was held", x.Ordinal)
					}
				}
			},
			"read": func(t *rapid.T) {
				st.ApplyCursor(now, cur)
				pg := st.Read(cur, asked, rapid.IntRange(1, 5).Draw(t, "limit"))
				for _, x := range pg.Samples {
					got[x.Ordinal]++
					if got[x.Ordinal] > 1 || x.OldestVersion()+s.Staleness < asked {
						t.Fatalf("ordinal %d of version %d for %d came %d times", x.Ordinal, x.OldestVersion(), asked, got[x.Ordinal])
					}
				}
				cur = pg.Cursor
				past = append(past, cur)
			},
		})
		for now += clock.Hour; cur.Count() < s.Total(); now += clock.Minute { // nothing is lost
			st.ApplyCursor(now, cur)
			for _, b := range st.Start(now, all) {
				st.Complete(made(b.Ordinal, asked), false)
			}
			for i := range s.Total() { // those that ran before
				st.Complete(made(i, asked), false)
			}
			pg := st.Read(cur, asked, all)
			if len(pg.Samples) == 0 {
				t.Fatalf("stands still: %+v", st.Count())
			}
			cur = pg.Cursor
		}
	})
}
