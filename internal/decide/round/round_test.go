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

func init() { prop.Cases(20000) }

const noLimit = 100 // exceeds the samples of each round in these tests

func spec() Spec {
	return Spec{ID: "t/r", Class: "c", Version: 5, Staleness: 1, SamplesPerGroup: 2, Prompts: [][]byte{[]byte("p"), []byte("q")}}
}

func sample(ordinal int, v ident.Version) Sample {
	a := ident.Attempt(fmt.Sprint("attempt-", ordinal, "-", v))
	return Sample{Ordinal: ordinal, Attempt: a, Node: "agent-1", Tokens: []uint32{1, 2}, Spans: []model.Span{{Version: v, Attempt: a, To: 2}}}
}

func newState() (*State, Cursor) {
	cur := NewCursor(spec().Total())
	return New(clock.Second, spec(), cur), cur
}

func TestRules(t *testing.T) {
	tests := map[string]func(*qt.C, *State, Cursor){
		"an ordinal is stored once": func(c *qt.C, st *State, cur Cursor) {
			c.Assert(st.Complete(sample(0, 5), false), qt.IsTrue)
			c.Assert(st.Complete(sample(0, 4), false), qt.IsFalse)
			c.Assert(st.Read(cur, 5, noLimit).Samples[0].OldestVersion(), qt.Equals, ident.Version(5))
		},
		"a lost page is delivered again": func(c *qt.C, st *State, cur Cursor) {
			st.Complete(sample(0, 5), false)
			c.Assert(st.Read(cur, 5, noLimit).Samples, qt.HasLen, 1)
			c.Assert(st.Read(cur, 5, noLimit).Samples, qt.HasLen, 1)
		},
		"a lost page is delivered again only within the staleness bound": func(c *qt.C, st *State, cur Cursor) {
			st.Complete(sample(0, 5), false)
			c.Assert(st.Read(cur, 6, noLimit).Samples, qt.HasLen, 1)
			c.Assert(st.Read(cur, 7, noLimit).Samples, qt.HasLen, 0)
			c.Assert(st.Restarts(), qt.DeepEquals, map[Reason]int{Stale: 1})
		},
		"a sample that is too old at its end is generated again": func(c *qt.C, st *State, _ Cursor) {
			st.Start(clock.Second, noLimit)
			c.Assert(st.Complete(sample(0, 3), false), qt.IsFalse)
			c.Assert(st.Start(clock.Second, noLimit), qt.HasLen, 1)
		},
		"a running sample that would be too old is canceled": func(c *qt.C, st *State, cur Cursor) {
			st.Start(clock.Second, 3)
			c.Assert(st.ObserveVersions(1, nil, 5), qt.IsTrue)
			c.Assert(st.ObserveVersions(2, []model.Span{{Version: 6, To: 3}}, 6), qt.IsTrue)
			st.Read(cur, 7, noLimit)
			c.Assert(st.CancelStale(), qt.DeepEquals, []int{0, 1})
			c.Assert(st.Restarts(), qt.DeepEquals, map[Reason]int{Stale: 1}) // ordinal 0 was not running at an agent
			c.Assert(st.ObserveVersions(2, []model.Span{{Version: 5, To: 3}}, 6), qt.IsFalse)
		},
		"a retry resumes from proven tokens": func(c *qt.C, st *State, _ Cursor) {
			st.Start(clock.Second, noLimit)
			st.ObserveVersions(0, sample(0, 5).Spans, 5)
			wait := st.Interrupt(clock.Second, 0, Partial{Tokens: []uint32{1, 2}, Spans: sample(0, 5).Spans}, Failed)
			c.Assert(st.Start(clock.Second, noLimit), qt.HasLen, 0)
			started := st.Start(clock.Second+wait, noLimit)
			c.Assert(started[0].Partial.Tokens, qt.HasLen, 2)
			c.Assert(started[0].Late, qt.IsTrue)
			c.Assert(st.Restarts(), qt.HasLen, 0)
		},
		"a retry does not resume from tokens that are too old": func(c *qt.C, st *State, cur Cursor) {
			st.Start(clock.Second, noLimit)
			wait := st.Interrupt(clock.Second, 0, Partial{Tokens: []uint32{1, 2}, Spans: sample(0, 4).Spans}, Failed)
			st.Read(cur, 6, noLimit)
			c.Assert(st.Start(clock.Second+wait, noLimit)[0].Partial.Tokens, qt.HasLen, 0)
		},
		"a sample waits for its score": func(c *qt.C, st *State, cur Cursor) {
			s := sample(0, 5)
			st.Complete(s, true)
			c.Assert(st.Read(cur, 5, noLimit).Samples, qt.HasLen, 0)
			st.SetScore(0, "another attempt", 3)
			c.Assert(st.AwaitsScore(0, s.Attempt), qt.IsTrue)
			st.SetScore(0, s.Attempt, 1)
			st.SetScore(0, s.Attempt, 2)
			c.Assert(st.Read(cur, 5, noLimit).Samples[0].Score, qt.Equals, 1.0)
		},
		"a group is complete with its last sample": func(c *qt.C, st *State, cur Cursor) {
			st.Complete(sample(2, 5), false)
			page := st.Read(cur, 5, noLimit)
			c.Assert(page.Complete, qt.HasLen, 0)
			st.Complete(sample(3, 5), false)
			c.Assert(st.Read(page.Cursor, 5, noLimit).Complete, qt.DeepEquals, []int{1})
		},
		"a group with a refused sample is never complete": func(c *qt.C, st *State, cur Cursor) {
			st.Start(clock.Second, noLimit)
			st.Refuse(2, "quarantined")
			page := st.Read(cur, 9, noLimit)
			c.Assert(page.Samples[0].Refused, qt.Equals, "quarantined")
			next := New(clock.Second, spec(), page.Cursor) // at a new owner
			next.Complete(sample(3, 5), false)
			c.Assert(next.Read(page.Cursor, 5, noLimit).Complete, qt.HasLen, 0)
		},
		"a cursor releases its samples": func(c *qt.C, st *State, cur Cursor) {
			st.Complete(sample(0, 5), false)
			page := st.Read(cur, 5, noLimit)
			st.Start(clock.Second, 1)
			next := page.Cursor.With(Sample{Ordinal: 1})
			update := st.ApplyCursor(clock.Second, next)
			c.Assert(update.Released, qt.DeepEquals, []Sample{{Ordinal: 0, Node: "agent-1"}})
			c.Assert(update.Cancel, qt.DeepEquals, []int{1})
		},
		"a late read with an older cursor has no effect": func(c *qt.C, st *State, cur Cursor) {
			st.Complete(sample(0, 5), false)
			st.ApplyCursor(clock.Second, st.Read(cur, 5, noLimit).Cursor)
			st.ApplyCursor(2*clock.Second, cur)
			c.Assert(st.Read(cur, 5, noLimit).Samples, qt.HasLen, 0)
			c.Assert(st.Count().Released, qt.Equals, 1)
		},
		"a trainer with an earlier state gets released samples again": func(c *qt.C, st *State, cur Cursor) {
			st.Complete(sample(0, 5), false)
			st.ApplyCursor(clock.Second, st.Read(cur, 5, noLimit).Cursor)
			st.ApplyCursor(clock.Minute, cur)
			c.Assert(st.Start(clock.Minute, noLimit), qt.HasLen, 4)
			c.Assert(st.Restarts(), qt.DeepEquals, map[Reason]int{Reread: 1})
		},
		"a new owner starts only samples that the trainer lacks": func(c *qt.C, _ *State, cur Cursor) {
			next := New(clock.Second, spec(), cur.With(Sample{Ordinal: 0}, Sample{Ordinal: 3}))
			c.Assert(next.MarkRunning(1), qt.IsTrue)
			c.Assert(next.MarkRunning(3), qt.IsFalse)
			c.Assert(next.MarkRunning(99), qt.IsFalse)
			started := next.Start(clock.Second, noLimit)
			c.Assert(started, qt.HasLen, 1)
			c.Assert(started[0].Ordinal, qt.Equals, 2)
		},
		"the limit bounds the running samples": func(c *qt.C, st *State, _ Cursor) {
			c.Assert(st.Start(clock.Second, 3), qt.HasLen, 3)
			c.Assert(st.Start(clock.Second, 3), qt.HasLen, 0)
		},
	}
	for name, fn := range tests {
		t.Run(name, func(t *testing.T) {
			st, cur := newState()
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
	valid := NewCursorCodec(key, spec()).Encode(NewCursor(4).With(Sample{Ordinal: 2}, Sample{Ordinal: 3, Refused: "no"}))
	tests := map[string]struct {
		codec CursorCodec // decodes the text
		text  string
		ok    bool
	}{
		"own cursor":               {NewCursorCodec(key, spec()), valid, true},
		"empty":                    {NewCursorCodec(key, spec()), "", true},
		"of another round":         {NewCursorCodec(key, renamed), valid, false},
		"of another specification": {NewCursorCodec(key, other), valid, false},
		"with another key":         {NewCursorCodec([]byte("x"), spec()), valid, false},
		"forged":                   {NewCursorCodec(key, spec()), "B" + valid[1:], false},
		"truncated":                {NewCursorCodec(key, spec()), valid[:20], false},
		"not base64":               {NewCursorCodec(key, spec()), "%%", false},
		"too long":                 {NewCursorCodec(key, spec()), valid + "AAAA", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cur, err := tc.codec.Decode(tc.text)
			if !tc.ok {
				c.Assert(fault.Is(err, fault.BadCursor), qt.IsTrue, qt.Commentf("%v", err))
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(cur.Count() == 0 || (cur.Has(2) && cur.Has(3) && cur.IsRefused(3) && !cur.IsRefused(2)), qt.IsTrue)
		})
	}
}

// TestOnce checks, under any order of reads with arbitrary earlier cursors,
// changes of the owner and new versions, that a reader that keeps its cursor
// receives each ordinal exactly once and never a stale sample.
func TestOnce(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		s := Spec{ID: "t/r", Version: 1, Staleness: ident.Version(rapid.IntRange(0, 2).Draw(t, "bound")), SamplesPerGroup: 3, Prompts: make([][]byte, 4)}
		cur := NewCursor(s.Total())
		cursors := []Cursor{cur}
		requested, now := s.Version, clock.Second
		st := New(now, s, cur)
		deliveries := make(map[int]int)
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(*rapid.T) { requested++ },
			"wait":     func(t *rapid.T) { now += clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "ms")) },
			"start":    func(t *rapid.T) { st.Start(now, rapid.IntRange(0, 12).Draw(t, "limit")) },
			"finish": func(t *rapid.T) {
				v := requested - min(requested-1, ident.Version(rapid.IntRange(0, 4).Draw(t, "age")))
				st.Complete(sample(rapid.IntRange(0, 11).Draw(t, "ordinal"), v), false)
			},
			"fail":      func(t *rapid.T) { st.Interrupt(now, rapid.IntRange(0, 11).Draw(t, "ordinal"), Partial{}, Failed) },
			"new owner": func(*rapid.T) { st = New(now, s, cur) },
			"lost page": func(*rapid.T) { st.ApplyCursor(now, cur); st.Read(cur, requested, noLimit) },
			"late read": func(t *rapid.T) {
				old := rapid.SampledFrom(cursors).Draw(t, "cursor")
				st.ApplyCursor(now, old)
				for _, got := range st.Read(old, requested, noLimit).Samples {
					if old.Has(got.Ordinal) {
						t.Fatalf("ordinal %d was in the cursor", got.Ordinal)
					}
				}
			},
			"read": func(t *rapid.T) {
				st.ApplyCursor(now, cur)
				page := st.Read(cur, requested, rapid.IntRange(1, 5).Draw(t, "limit"))
				for _, got := range page.Samples {
					deliveries[got.Ordinal]++
					if deliveries[got.Ordinal] > 1 || got.OldestVersion()+s.Staleness < requested {
						t.Fatalf("ordinal %d of version %d was delivered for version %d, %d times",
							got.Ordinal, got.OldestVersion(), requested, deliveries[got.Ordinal])
					}
				}
				cur = page.Cursor
				cursors = append(cursors, cur)
			},
		})
		for now += clock.Hour; cur.Count() < s.Total(); now += clock.Minute { // no sample is lost
			st.ApplyCursor(now, cur)
			for _, req := range st.Start(now, noLimit) {
				st.Complete(sample(req.Ordinal, requested), false)
			}
			for i := range s.Total() { // samples that were running before
				st.Complete(sample(i, requested), false)
			}
			page := st.Read(cur, requested, noLimit)
			if len(page.Samples) == 0 {
				t.Fatalf("no progress: %+v", st.Count())
			}
			cur = page.Cursor
		}
	})
}
