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
	_ = flag.Set("rapid.checks", "20000")
	_ = flag.Set("rapid.steps", "120")
}

// step is one record of a stream: a claim, or an outcome if that is set.
type step struct {
	key, body string
	seq       uint64
	target    ident.Offset // the claim that is replaced, or that the outcome is for
	outcome   record.State // empty for a claim
}

// refusal marks the step of a claim that refuses the key.
const refusal record.State = "refusal"

func TestState(t *testing.T) {
	tests := map[string]struct {
		steps []step
		at    ident.Offset // of the claim that owns key k
		state record.State
	}{
		"first claim owns the key":              {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 2, 0, ""}}, 1, record.Open},
		"repeat has no effect":                  {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 1, 0, ""}}, 1, record.Open},
		"replacement takes over":                {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 2, 1, ""}}, 2, record.Open},
		"second replacement has no effect":      {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 2, 1, ""}, {"k", "b", 3, 1, ""}}, 2, record.Open},
		"late repeat has no effect":             {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 2, 1, ""}, {"k", "b", 1, 0, ""}}, 2, record.Open},
		"replacement for another request":       {[]step{{"k", "b", 1, 0, ""}, {"k", "c", 2, 1, ""}}, 1, record.Open},
		"done is final":                         {[]step{{"k", "b", 1, 0, ""}, {"k", "", 0, 1, record.Done}, {"k", "", 0, 1, record.Unknown}}, 1, record.Done},
		"unknown outcome is replaced":           {[]step{{"k", "b", 1, 0, ""}, {"k", "", 0, 1, record.Unknown}, {"k", "", 0, 1, record.Done}}, 1, record.Done},
		"done is not replaced":                  {[]step{{"k", "b", 1, 0, ""}, {"k", "", 0, 1, record.Done}, {"k", "b", 2, 1, ""}}, 1, record.Done},
		"outcome of another claim":              {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 2, 1, ""}, {"k", "", 0, 1, record.Done}}, 2, record.Open},
		"claims of other keys have no effect":   {[]step{{"j", "b", 1, 0, ""}, {"k", "b", 2, 0, ""}}, 2, record.Open},
		"refusal of a free key":                 {[]step{{"k", "b", 1, 0, refusal}, {"k", "b", 2, 0, ""}}, 1, record.Refused},
		"refusal replaces a refused claim":      {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 2, 1, refusal}, {"k", "b", 3, 1, ""}}, 2, record.Refused},
		"refusal is replaced":                   {[]step{{"k", "b", 1, 0, refusal}, {"k", "b", 2, 1, ""}}, 2, record.Open},
		"refusal of a claimed key":              {[]step{{"k", "b", 1, 0, ""}, {"k", "b", 2, 0, refusal}}, 1, record.Open},
		"replacement before the replaced claim": {[]step{{"k", "b", 2, 9, ""}, {"k", "b", 1, 0, ""}}, 1, record.Open},
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
	if st.outcome != "" && st.outcome != refusal {
		s.Outcome(record.Outcome{Key: st.key, ClaimOffset: st.target, State: st.outcome})
		return false
	}
	return s.Claim(at, record.Writer{Node: "n", Boot: 1, Seq: st.seq}, record.Claim{Key: st.key, BodyDigest: st.body, Replaces: st.target, Refuses: st.outcome == refusal})
}

func TestGuardPrune(t *testing.T) {
	c := qt.New(t)
	g := NewGuard(7, clock.Minute, 10)
	r := Ref{Stream: "s", Offset: 5, Key: "k", Incarnation: 7}
	c.Assert(g.Start(1, r), qt.IsNil)
	g.Prune(clock.Hour)
	c.Assert(g.Lookup(r).Stage, qt.Equals, Running) // Running claims are never pruned.
	g.Finish(2, r, Done, []byte("a"), "")
	g.Prune(clock.Hour)
	c.Assert(g.Lookup(r).Stage, qt.Equals, Unknown)
	c.Assert(fault.Is(g.Start(3, r), fault.OutcomeUnknown), qt.IsTrue)
	c.Assert(g.Settle(3, Ref{Stream: "s", Offset: 4, Key: "j", Incarnation: 7}).Stage, qt.Equals, Unknown)
	c.Assert(g.Start(3, Ref{Stream: "s", Offset: 6, Key: "l", Incarnation: 7}), qt.IsNil)
}

// cluster is a log with agents that restart. Writers read, claim, send and
// settle one key in any order, like package claims.
type cluster struct {
	log          []record.ClaimRecord
	agents       []*Guard
	incarnations []ident.Incarnation
	executions   int
	refused      map[ident.Offset]bool
	executed     map[ident.Offset]bool
	starts       map[ident.Offset]ident.Offset // by claim: start of the send that wrote it
	refusedAt    ident.Offset                  // latest refusal of the key that its writer has read back
	lateRun      bool                          // the key was executed after that refusal, although it was not sent again
	seq          uint64
}

func newCluster() *cluster {
	cl := &cluster{refused: map[ident.Offset]bool{}, executed: map[ident.Offset]bool{}, starts: map[ident.Offset]ident.Offset{}}
	for i := range 2 {
		cl.incarnations = append(cl.incarnations, ident.Incarnation(i+1))
		cl.agents = append(cl.agents, NewGuard(cl.incarnations[i], clock.Hour, 100))
	}
	return cl
}

// writer is one entry that executes the key.
type writer struct {
	state    *State
	read     int          // records of the log that were applied
	unsent   ident.Offset // own claim that owns the key and was not sent, 0 for none
	replaces ident.Offset // claim that was proven as not executed, 0 for none
	unread   uint64       // sequence number of the own claim that was not read back, 0 for none
	start    ident.Offset // first offset that was not read when the send in progress began
}

func (cl *cluster) append(wr *writer, rec record.ClaimRecord, copies int) {
	for range copies {
		cl.log = append(cl.log, rec)
		cl.starts[ident.Offset(len(cl.log))] = wr.start
	}
}

func (cl *cluster) readRecords(wr *writer, n int) {
	for ; n > 0 && wr.read < len(cl.log); n-- {
		rec, at := cl.log[wr.read], ident.Offset(wr.read+1)
		wr.read++
		if rec.Outcome != nil {
			wr.state.Outcome(*rec.Outcome)
			continue
		}
		owns := wr.state.Claim(at, rec.Writer, *rec.Claim)
		if rec.Writer.Seq == wr.unread {
			wr.unread = 0
			switch {
			case owns && rec.Claim.Refuses:
				cl.refusedAt = max(cl.refusedAt, at)
				wr.begin(cl) // The send ends with the refusal.
			case owns:
				wr.unsent = at
			}
		}
	}
}

func (cl *cluster) claim(wr *writer, agent, copies int) {
	h, owned := wr.state.Lookup("k")
	refused := owned && h.Claim.Refuses
	if owned && h.Offset != wr.replaces && !refused || wr.unread != 0 || h.RefusesSince(wr.start) {
		return
	}
	if refused {
		wr.replaces = h.Offset
	}
	cl.seq++
	wr.unread = cl.seq
	c := record.Claim{Key: "k", BodyDigest: "b", Agent: ident.Node(rune('0' + agent)), Boot: cl.incarnations[agent], Replaces: wr.replaces}
	cl.append(wr, record.ClaimRecord{Writer: record.Writer{Node: "n", Seq: cl.seq}, Claim: &c}, copies)
}

// begin ends the send in progress and begins another one, which reads the log first.
func (wr *writer) begin(cl *cluster) {
	if wr.unread != 0 || wr.unsent != 0 {
		return
	}
	wr.start = ident.Offset(wr.read + 1)
	cl.readRecords(wr, len(cl.log))
	wr.start = ident.Offset(wr.read + 1)
}

// refuse refuses the key, if it is free or held by a claim that was refused.
func (cl *cluster) refuse(wr *writer, copies int) {
	h, owned := wr.state.Lookup("k")
	if owned && h.Offset != wr.replaces && !h.Claim.Refuses || wr.unread != 0 || wr.unsent != 0 {
		return
	}
	cl.seq++
	wr.unread = cl.seq
	c := record.Claim{Key: "k", BodyDigest: "b", Replaces: h.Offset, Refuses: true}
	cl.append(wr, record.ClaimRecord{Writer: record.Writer{Node: "n", Seq: cl.seq}, Claim: &c}, copies)
}

// sentAgain reports whether the key was sent again after its latest refusal, before a claim
// of it was executed: of the claims that replaced the refusal and each other, up to the
// executed one, the first that does not refuse was written by a send that began after it.
func (cl *cluster) sentAgain(executed ident.Offset) bool {
	first := executed
	for at := executed; at > cl.refusedAt; at = cl.log[at-1].Claim.Replaces {
		c := cl.log[at-1].Claim
		if !c.Refuses {
			first = at
		}
		if c.Replaces == cl.refusedAt {
			return cl.starts[first] > cl.refusedAt
		}
	}
	return false
}

func (cl *cluster) ref(at ident.Offset) (Ref, int) {
	c := cl.log[at-1].Claim
	return Ref{Stream: "s", Offset: at, Key: "k", Incarnation: c.Boot}, int(c.Agent[0] - '0')
}

// send sends the own claim to its agent, once.
func (cl *cluster) send(wr *writer, lost bool) {
	if wr.unsent == 0 {
		return
	}
	at := wr.unsent
	wr.unsent = 0
	r, n := cl.ref(at)
	err := cl.agents[n].Start(1, r)
	if err == nil {
		cl.executions++
		cl.executed[at] = true
		cl.lateRun = cl.lateRun || cl.refusedAt > 0 && wr.start <= cl.refusedAt && !cl.sentAgain(at)
		return
	}
	if f, _ := fault.As(err); f.Outcome() == fault.NotRun && !lost {
		wr.replaces, cl.refused[at] = at, true
	}
}

func (cl *cluster) settle(wr *writer) {
	h, owned := wr.state.Lookup("k")
	if !owned || h.Offset == wr.unsent || h.Claim.Refuses {
		return
	}
	r, n := cl.ref(h.Offset)
	if cl.agents[n].Settle(1, r).Stage == Refused {
		wr.replaces, cl.refused[h.Offset] = h.Offset, true
	}
}

func (cl *cluster) restart(n int) {
	cl.incarnations[n] += 10
	cl.agents[n] = NewGuard(cl.incarnations[n], clock.Hour, 100)
}

// TestRefusedKeyIsSentAgain guards against a key that is executed after its refusal although
// no caller sent it again, and against a check that forbids an earlier send to execute it once
// a caller did: the key runs at most once, and the later send gets the answer. Entry 1 refuses
// the key while a send of entry 2 is in progress, which began before.
func TestRefusedKeyIsSentAgain(t *testing.T) {
	tests := map[string]struct {
		steps      func(cl *cluster, e1, e2 *writer)
		executions int
	}{
		"not sent again": {func(cl *cluster, _, e2 *writer) {
			cl.readRecords(e2, 9)
			cl.claim(e2, 0, 1)
			cl.readRecords(e2, 9)
			cl.send(e2, false)
		}, 0},
		"sent again, the earlier send settles the claim and executes": {func(cl *cluster, e1, e2 *writer) {
			cl.claim(e1, 0, 1)
			cl.readRecords(e2, 9)
			cl.settle(e2)
			cl.claim(e2, 0, 1)
			cl.readRecords(e2, 9)
			cl.send(e2, false)
			cl.readRecords(e1, 9)
			cl.send(e1, false)
		}, 1},
		"sent again and executed": {func(cl *cluster, e1, e2 *writer) {
			cl.claim(e1, 0, 1)
			cl.readRecords(e1, 9)
			cl.send(e1, false)
			cl.readRecords(e2, 9)
			cl.settle(e2)
			cl.claim(e2, 0, 1)
			cl.readRecords(e2, 9)
			cl.send(e2, false)
		}, 1},
		"sent again and refused again": {func(cl *cluster, e1, e2 *writer) {
			cl.claim(e1, 0, 1)
			cl.readRecords(e2, 9)
			cl.settle(e2)
			cl.readRecords(e1, 9)
			cl.send(e1, false) // Refused by the agent, which entry 2 has asked.
			cl.refuse(e1, 1)
			cl.claim(e2, 0, 1)
			cl.readRecords(e1, 9)
			cl.readRecords(e2, 9)
			cl.send(e2, false)
			cl.claim(e2, 0, 1)
			cl.readRecords(e2, 9)
			cl.send(e2, false)
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cl, e1, e2 := newCluster(), &writer{state: New()}, &writer{state: New()}
			cl.refuse(e1, 1)
			cl.readRecords(e1, 9) // Its next send begins after the refusal.
			c.Assert(cl.refusedAt, qt.Equals, ident.Offset(1))
			test.steps(cl, e1, e2)
			c.Check(cl.executions, qt.Equals, test.executions)
			c.Check(cl.lateRun, qt.IsFalse)
		})
	}
}

// TestAnyOrder checks that under any interleaving a key is executed at most
// once, a claim that was reported as refused is never executed, no send that was in
// progress before a refusal of the key executes it afterwards unless the key was sent
// again, and the key can be executed in the end unless an agent restarted.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster()
		writers := []*writer{{state: New()}, {state: New()}, {state: New()}}
		restarts := 0
		agent := func() int { return rapid.IntRange(0, 1).Draw(t, "agent") }
		anyWriter := func() *writer { return writers[rapid.IntRange(0, 2).Draw(t, "entry")] }
		t.Repeat(map[string]func(*rapid.T){
			"read":   func(*rapid.T) { cl.readRecords(anyWriter(), rapid.IntRange(1, 4).Draw(t, "records")) },
			"claim":  func(*rapid.T) { cl.claim(anyWriter(), agent(), rapid.IntRange(0, 2).Draw(t, "copies")) },
			"send":   func(*rapid.T) { cl.send(anyWriter(), rapid.Bool().Draw(t, "answer lost")) },
			"settle": func(*rapid.T) { cl.settle(anyWriter()) },
			"begin":  func(*rapid.T) { anyWriter().begin(cl) },
			"refuse": func(*rapid.T) { cl.refuse(anyWriter(), rapid.IntRange(0, 2).Draw(t, "copies")) },
			"fail": func(*rapid.T) {
				switch rapid.IntRange(0, 30).Draw(t, "rare") {
				case 0:
					anyWriter().unread = 0 // The writer stops waiting for its claim.
				case 1:
					writers[rapid.IntRange(0, 2).Draw(t, "entry")] = &writer{state: New()}
				case 2:
					cl.restart(agent())
					restarts++
				}
			},
			"": func(t *rapid.T) {
				if cl.executions > 1 {
					t.Fatalf("the key was executed %d times", cl.executions)
				}
				if cl.lateRun {
					t.Fatalf("the key was executed after its refusal at %d, and was not sent again", cl.refusedAt)
				}
				for at := range cl.refused {
					if cl.executed[at] {
						t.Fatalf("the claim at %d was reported as refused and executed", at)
					}
				}
			},
		})
		if restarts > 0 {
			return // Whether a restarted agent executed the key may stay unknown.
		}
		wr := &writer{state: New()}
		for range 8 {
			wr.begin(cl)
			cl.settle(wr)
			cl.claim(wr, 0, 1)
			cl.readRecords(wr, len(cl.log))
			cl.send(wr, false)
		}
		if cl.executions != 1 {
			t.Fatalf("the key was executed %d times after the failures had ended", cl.executions)
		}
	})
}
