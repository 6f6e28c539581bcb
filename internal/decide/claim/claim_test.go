package claim

import (
	"flag"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

func init() {
	_ = flag.Set("rapid.seed", "4")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.steps", "120")
}

// step is one record of a stream in a table.
type step struct {
	key, body string
	seq       uint64
	after     ident.Offset
	outcome   record.State // an outcome instead of a claim, of the claim at after
}

func TestState(t *testing.T) {
	tests := map[string]struct {
		steps []step
		at    ident.Offset // the claim that holds key k
		state record.State
	}{
		"first holds":                    {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 2, 0, ""}}, 1, record.Open},
		"repeat has no effect":           {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 1, 0, ""}}, 1, record.Open},
		"follower takes over":            {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 2, 1, ""}}, 2, record.Open},
		"second follower loses":          {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 2, 1, ""}, {"k", "b", 3, 1, ""}}, 2, record.Open},
		"late repeat loses":              {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 2, 1, ""}, {"k", "b", 1, 0, ""}}, 2, record.Open},
		"follower of another request":    {[]step{{"k", "b", 1, 0, ""}, {"k", "c", 2, 1, ""}}, 1, record.Open},
		"done is final":                  {[]step{{"k", "b", 1, 0, ""}, {"k", "", 0, 1, record.Done}, {"k", "", 0, 1, record.Unknown}}, 1, record.Done},
		"lost gives way":                 {[]step{{"k", "b", 1, 0, ""}, {"k", "", 0, 1, record.Unknown}, {"k", "", 0, 1, record.Done}}, 1, record.Done},
		"done is not followed":           {[]step{{"k", "b", 1, 0, ""}, {"k", "", 0, 1, record.Done}, {"k", "b", 2, 1, ""}}, 1, record.Done},
		"outcome of another claim":       {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 2, 1, ""}, {"k", "", 0, 1, record.Done}}, 2, record.Open},
		"other keys don't matter":        {[]step{{"j", "b", 1, 0, ""}, {"k", "b", 2, 0, ""}}, 2, record.Open},
		"follower before its forerunner": {[]step{{"k", "b", 2, 9, ""}, {"k", "b", 1, 0, ""}}, 1, record.Open},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			for i, st := range tc.steps {
				apply(s, ident.Offset(i+1), st)
			}
			h, _ := s.Lookup("k")
			qt.Assert(t, h.Offset, qt.Equals, tc.at)
			qt.Assert(t, h.Outcome.State, qt.Equals, tc.state)
		})
	}
}

func apply(s *State, at ident.Offset, st step) bool {
	if st.outcome != "" {
		s.Outcome(record.Outcome{Key: st.key, ClaimOffset: st.after, State: st.outcome})
		return false
	}
	return s.Claim(at, record.Writer{Node: "n", Boot: 1, Seq: st.seq}, record.Claim{Key: st.key, BodyDigest: st.body, Replaces: st.after})
}

func TestGuardForgets(t *testing.T) {
	c := qt.New(t)
	g := NewGuard(7, clock.Minute, 10)
	r := Ref{Stream: "s", Offset: 5, Key: "k", Boot: 7}
	c.Assert(g.Start(1, r), qt.IsNil)
	g.Prune(clock.Hour)
	c.Assert(g.Lookup(r).Stage, qt.Equals, Running) // A run in progress is never forgotten.
	g.Finish(2, r, Done, []byte("a"), "")
	g.Prune(clock.Hour)
	c.Assert(g.Lookup(r).Stage, qt.Equals, Unknown)
	c.Assert(fault.Is(g.Start(3, r), fault.OutcomeUnknown), qt.IsTrue)
	c.Assert(g.Settle(3, Ref{Stream: "s", Offset: 4, Key: "j", Boot: 7}).Stage, qt.Equals, Unknown)
	c.Assert(g.Start(3, Ref{Stream: "s", Offset: 6, Key: "l", Boot: 7}), qt.IsNil)
}

// world is a log, agents that restart, and writers that read, claim, send and
// settle one key in any order, as package claims does.
type world struct {
	log    []record.ClaimRecord
	agents []*Guard
	boots  []ident.Incarnation
	runs   int
	refuse map[ident.Offset]bool
	ran    map[ident.Offset]bool
	seq    uint64
}

// writer is one entry: how far it has read, and its claim that may be sent.
type writer struct {
	state *State
	read  int
	mine  ident.Offset // own claim that holds the key and was not sent
	after ident.Offset // claim that it proved as not run
	wait  uint64       // own claim that was not read back
}

func (w *world) append(ev record.ClaimRecord, copies int) {
	for range copies {
		w.log = append(w.log, ev)
	}
}

func (w *world) readOn(e *writer, n int) {
	for ; n > 0 && e.read < len(w.log); n-- {
		ev, at := w.log[e.read], ident.Offset(e.read+1)
		e.read++
		if ev.Outcome != nil {
			e.state.Outcome(*ev.Outcome)
			continue
		}
		won := e.state.Claim(at, ev.Writer, *ev.Claim)
		if ev.Writer.Seq == e.wait {
			e.wait = 0
			if won {
				e.mine = at
			}
		}
	}
}

func (w *world) claim(e *writer, agent, copies int) {
	h, held := e.state.Lookup("k")
	if held && h.Offset != e.after || e.wait != 0 {
		return
	}
	w.seq++
	e.wait = w.seq
	c := record.Claim{Key: "k", BodyDigest: "b", Agent: ident.Node(rune('0' + agent)), Boot: w.boots[agent], Replaces: e.after}
	w.append(record.ClaimRecord{Writer: record.Writer{Node: "n", Seq: w.seq}, Claim: &c}, copies)
}

func (w *world) ref(at ident.Offset) (Ref, int) {
	c := w.log[at-1].Claim
	return Ref{Stream: "s", Offset: at, Key: "k", Boot: c.Boot}, int(c.Agent[0] - '0')
}

// send runs the own claim at its agent, once.
func (w *world) send(e *writer, lost bool) {
	if e.mine == 0 {
		return
	}
	at := e.mine
	e.mine = 0
	r, n := w.ref(at)
	err := w.agents[n].Start(1, r)
	if err == nil {
		w.runs++
		w.ran[at] = true
		return
	}
	if f, _ := fault.As(err); f.Outcome() == fault.NotRun && !lost {
		e.after, w.refuse[at] = at, true
	}
}

func (w *world) settle(e *writer) {
	h, held := e.state.Lookup("k")
	if !held || h.Offset == e.mine {
		return
	}
	r, n := w.ref(h.Offset)
	if w.agents[n].Settle(1, r).Stage == Refused {
		e.after, w.refuse[h.Offset] = h.Offset, true
	}
}

func (w *world) restart(n int) {
	w.boots[n] += 10
	w.agents[n] = NewGuard(w.boots[n], clock.Hour, 100)
}

// TestAnyOrder shows that any interleaving runs a key at most once, that what
// was called refused never runs, and that the key is not blocked in the end.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{refuse: map[ident.Offset]bool{}, ran: map[ident.Offset]bool{}}
		for i := range 2 {
			w.boots = append(w.boots, ident.Incarnation(i+1))
			w.agents = append(w.agents, NewGuard(w.boots[i], clock.Hour, 100))
		}
		es := []*writer{{state: New()}, {state: New()}, {state: New()}}
		restarts := 0
		agent := func() int { return rapid.IntRange(0, 1).Draw(t, "agent") }
		one := func() *writer { return es[rapid.IntRange(0, 2).Draw(t, "entry")] }
		t.Repeat(map[string]func(*rapid.T){
			"read":   func(*rapid.T) { w.readOn(one(), rapid.IntRange(1, 4).Draw(t, "records")) },
			"claim":  func(*rapid.T) { w.claim(one(), agent(), rapid.IntRange(0, 2).Draw(t, "copies")) },
			"send":   func(*rapid.T) { w.send(one(), rapid.Bool().Draw(t, "answer lost")) },
			"settle": func(*rapid.T) { w.settle(one()) },
			"fail": func(*rapid.T) {
				switch rapid.IntRange(0, 30).Draw(t, "rare") {
				case 0:
					one().wait = 0 // The writer gives the claim up.
				case 1:
					es[rapid.IntRange(0, 2).Draw(t, "entry")] = &writer{state: New()}
				case 2:
					w.restart(agent())
					restarts++
				}
			},
			"": func(t *rapid.T) {
				if w.runs > 1 {
					t.Fatalf("the key ran %d times", w.runs)
				}
				for at := range w.refuse {
					if w.ran[at] {
						t.Fatalf("the claim at %d was called refused and ran", at)
					}
				}
			},
		})
		if restarts > 0 {
			return // What a restarted agent ran may stay unknown.
		}
		e := &writer{state: New()}
		for range 8 {
			w.readOn(e, len(w.log))
			w.settle(e)
			w.claim(e, 0, 1)
			w.readOn(e, len(w.log))
			w.send(e, false)
		}
		if w.runs != 1 {
			t.Fatalf("the key ran %d times after all was well again", w.runs)
		}
	})
}
