package agent

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/node/rounds"
	"github.com/jujuberamp/jujuberamp/internal/proof/prop"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
)

// step is one thing that happens some time after the one before.
type step struct {
	after clock.Millis
	do    string
}

// happenings are all that can happen beside a round.
var happenings = map[string]func(*testing.T, *grid){
	"announce":         func(_ *testing.T, g *grid) { g.announce() },
	"owner dies":       func(_ *testing.T, g *grid) { g.kill() },
	"two owners":       func(_ *testing.T, g *grid) { g.setSplit(true) },
	"one owner":        func(_ *testing.T, g *grid) { g.setSplit(false) },
	"answers are lost": func(_ *testing.T, g *grid) { g.setLose(5) },
	"agent restarts":   func(t *testing.T, g *grid) { g.startAgent(t, 1) },
	"engine crashes":   func(_ *testing.T, g *grid) { g.engines[2].Crash() },
	"engine is back":   func(_ *testing.T, g *grid) { g.engines[2].Restart() },
	"swaps fail":       func(_ *testing.T, g *grid) { g.engines[0].SetFailLoads(true) },
	"swaps work":       func(_ *testing.T, g *grid) { g.engines[0].SetFailLoads(false) },
	"store is down":    func(_ *testing.T, g *grid) { g.store.SetDown(true) },
	"store is back":    func(_ *testing.T, g *grid) { g.store.SetDown(false) },
	"scorer fails":     func(_ *testing.T, g *grid) { g.scorer.SetDown(true) },
	"scorer works":     func(_ *testing.T, g *grid) { g.scorer.SetDown(false) },
	"engine slows":     func(_ *testing.T, g *grid) { g.engines[1].SetSpeed(0.1) },
	"late order": func(_ *testing.T, g *grid) { // of an agent that is gone; this engine ignores fencing
		o := plat.Order{Model: gridModel, Version: max(1, g.newest()-1)}
		go func() { _ = g.engines[1].Load(g.ctx, o) }()
	},
}

func (g *grid) setSplit(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.split = on
}

func (g *grid) setLose(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lose = n
}

// learner is the trainer: it keeps the cursor and its own record.
type learner struct {
	g      *grid
	spec   round.Spec
	cursor string
	turn   int
	got    map[int]int
	lens   []int
	moved  int // samples that more than one attempt made
	err    error
}

func newSpec() round.Spec {
	s := round.Spec{ID: "trainer/step-1", Class: "train", Model: gridModel, Version: 1, Staleness: 1, SamplesPerGroup: 4, Seed: 17, MaxTokens: 200}
	for i := range 6 {
		s.Prompts = append(s.Prompts, fmt.Appendf(nil, "group %d: draft a closure notice", i))
	}
	return s
}

// read pulls one page from an entry. Each third page is lost on its way, and
// each fifth pull is repeated beside itself with the same cursor.
func (l *learner) read(ctx context.Context) (whole bool) {
	l.turn++
	es := l.g.alive()
	at := es[0]
	l.g.mu.Lock()
	split := l.g.split
	l.g.mu.Unlock()
	if split {
		at = es[l.turn%len(es)]
	}
	asked := l.g.newest()
	if l.turn%5 == 0 {
		cursor := l.cursor
		go func() { _, _ = at.rounds.Read(ctx, l.spec.ID, cursor, asked, 5, clock.Second) }()
	}
	pg, err := at.rounds.Read(ctx, l.spec.ID, l.cursor, asked, 5, clock.Second)
	switch {
	case fault.Is(err, fault.NotFound):
		if err := at.rounds.Open(ctx, l.spec, l.g.class, l.cursor); err != nil && !fault.Is(err, fault.NotReady) {
			l.err = err
		}
		clock.Sleep(ctx, 10*clock.Milli)
		return false
	case err != nil:
		clock.Sleep(ctx, 100*clock.Milli)
		return false
	case l.turn%3 == 0:
		return false
	}
	l.judge(pg, asked)
	l.cursor = pg.Cursor
	return pg.RoundComplete
}

func (l *learner) judge(pg rounds.Page, asked ident.Version) {
	for _, s := range pg.Samples {
		l.got[s.Ordinal]++
		l.lens = append(l.lens, len(s.Tokens))
		if s.Spans[0].Attempt != s.Attempt {
			l.moved++
		}
		want := oracle.Answer(l.spec.Prompt(s.Ordinal), l.spec.SeedOf(s.Ordinal), l.spec.MaxTokens)
		switch {
		case !slices.Equal(s.Tokens, want):
			l.err = fmt.Errorf("ordinal %d is not its own answer", s.Ordinal)
		case s.OldestVersion()+l.spec.Staleness < asked:
			l.err = fmt.Errorf("ordinal %d was made by version %d, wanted %d", s.Ordinal, s.OldestVersion(), asked)
		case !l.g.confirms(l.spec, s):
			l.err = fmt.Errorf("ordinal %d claims %v, which no engine confirms", s.Ordinal, s.Spans)
		}
	}
	for _, c := range pg.CompleteGroups {
		for o := c * l.spec.SamplesPerGroup; o < (c+1)*l.spec.SamplesPerGroup; o++ {
			if l.got[o] == 0 {
				l.err = fmt.Errorf("group %d is called complete without ordinal %d", c, o)
			}
		}
	}
}

// wholeIn bounds a round after the last thing that happened, in virtual time.
const wholeIn = 10 * time.Minute

// play runs a round while the steps happen and returns what the trainer saw.
func play(t *testing.T, steps []step, scored bool) *learner {
	var l *learner
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		g := newGrid(ctx, t, scored)
		defer g.close(cancel)
		time.Sleep(time.Second)
		l = &learner{g: g, spec: newSpec(), got: make(map[int]int)}
		over := make(chan struct{})
		go func() {
			defer close(over)
			for _, s := range steps {
				clock.Sleep(ctx, s.after)
				happenings[s.do](t, g)
			}
		}()
		var ended time.Time
		for !l.read(ctx) && l.err == nil {
			select {
			case <-over:
				if ended.IsZero() {
					ended = time.Now()
				}
			default:
			}
			if !ended.IsZero() && time.Since(ended) > wholeIn {
				p, _ := g.alive()[0].rounds.Progress(l.spec.ID)
				l.err = fmt.Errorf("not whole %s after the last step: %+v", wholeIn, p)
			}
		}
		<-over
		for o := range l.spec.Total() {
			if l.err == nil && l.got[o] != 1 {
				l.err = fmt.Errorf("ordinal %d came %d times", o, l.got[o])
			}
		}
	})
	return l
}

func TestRoundSurvives(t *testing.T) {
	s := func(after clock.Millis, do string) step { return step{after, do} }
	tests := map[string][]step{
		"nothing":                                   nil,
		"the owner dies":                            {s(900, "owner dies")},
		"the owner dies twice":                      {s(900, "owner dies"), s(300, "owner dies")},
		"two owners at once":                        {s(500, "two owners"), s(3000, "one owner")},
		"a swap in mid-sample":                      {s(700, "announce")},
		"samples that become too old":               {s(700, "announce"), s(400, "announce"), s(400, "announce")},
		"a newer version while the older one loads": {s(700, "announce"), s(100, "announce")},
		"an agent that restarts while an order runs": {
			s(700, "announce"), s(200, "agent restarts"), s(200, "agent restarts"),
		},
		"an order that takes effect late":   {s(700, "announce"), s(350, "agent restarts"), s(100, "announce")},
		"an engine crash":                   {s(700, "engine crashes"), s(5000, "engine is back")},
		"an older order that takes effect":  {s(500, "announce"), s(2000, "late order"), s(500, "late order")},
		"an engine that comes back too old": {s(500, "announce"), s(2000, "engine crashes"), s(500, "engine is back")},
		"swaps that fail":                   {s(100, "swaps fail"), s(100, "announce"), s(5000, "swaps work")},
		"lost answers":                      {s(100, "answers are lost"), s(600, "answers are lost"), s(600, "answers are lost")},
		"the store down for ten minutes": {
			s(100, "store is down"), s(100, "announce"), s(100, "announce"), s(10*clock.Minute, "store is back"),
		},
		"a scorer that fails":         {s(100, "scorer fails"), s(20*clock.Second, "scorer works")},
		"a slow engine":               {s(300, "engine slows")},
		"all engines but one restart": {s(300, "agent restarts"), s(10, "engine crashes"), s(3000, "engine is back")},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			if l := play(t, steps, true); l.err != nil {
				t.Fatal(l.err)
			}
		})
	}
}

// TestOpenAndCancel looks at what a trainer gets that opens a round twice, with
// another specification or a foreign cursor, or cancels it.
func TestOpenAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		g := newGrid(ctx, t, false)
		defer g.close(cancel)
		time.Sleep(time.Second)
		rs := g.alive()[0].rounds
		open := func(fn func(*round.Spec), cursor string) error {
			s := newSpec()
			fn(&s)
			return rs.Open(ctx, s, g.class, cursor)
		}
		same := func(*round.Spec) {}
		c.Assert(open(same, ""), qt.IsNil)
		c.Assert(open(same, ""), qt.IsNil)
		c.Assert(fault.Is(open(func(s *round.Spec) { s.Seed++ }, ""), fault.RoundReused), qt.IsTrue)
		c.Assert(open(func(s *round.Spec) { s.ID, s.Version = "trainer/next", 2 }, ""), qt.IsNil)
		pg, err := rs.Read(ctx, "trainer/next", "", 1, 1, clock.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(fault.Is(open(same, pg.Cursor), fault.BadCursor), qt.IsTrue)
		_, err = rs.Read(ctx, newSpec().ID, pg.Cursor, 1, 1, clock.Minute)
		c.Assert(fault.Is(err, fault.BadCursor), qt.IsTrue)

		rs.Cancel(newSpec().ID)
		g.alive()[1].rounds.Cancel("trainer/next") // does not know the round
		rs.Forget("trainer/next")
		time.Sleep(5 * time.Second)
		for _, a := range g.agents {
			c.Check(a.kept(), qt.Equals, int64(0))
		}
		_, err = rs.Read(ctx, newSpec().ID, "", 1, 1, clock.Second)
		c.Assert(fault.Is(err, fault.NotFound), qt.IsTrue)
	})
}

// TestMovedSample looks that a sample whose engine crashed goes on elsewhere
// from its proven tokens.
func TestMovedSample(t *testing.T) {
	c := qt.New(t)
	l := play(t, []step{{900, "engine crashes"}}, false)
	c.Assert(l.err, qt.IsNil)
	c.Assert(l.moved > 0, qt.IsTrue)
}

// TestLengths compares the lengths of what was handed over with those of all
// draws, in a round in which samples move and are made anew.
func TestLengths(t *testing.T) {
	c := qt.New(t)
	l := play(t, []step{{700, "announce"}, {500, "announce"}, {300, "engine crashes"}, {300, "announce"}, {500, "owner dies"}}, true)
	c.Assert(l.err, qt.IsNil)
	var draws []int
	for o := range l.spec.Total() {
		draws = append(draws, oracle.Length(l.spec.Prompt(o), l.spec.SeedOf(o), l.spec.MaxTokens))
	}
	slices.Sort(draws)
	slices.Sort(l.lens)
	c.Assert(l.lens, qt.DeepEquals, draws)
}

func TestRoundSurvivesAnything(t *testing.T) {
	var names []string
	for n := range happenings {
		names = append(names, n)
	}
	slices.Sort(names)
	prop.Check(t, func(rt *rapid.T) {
		var steps []step
		for range rapid.IntRange(0, 12).Draw(rt, "steps") {
			steps = append(steps, step{
				after: clock.Millis(rapid.IntRange(0, 1500).Draw(rt, "after")),
				do:    rapid.SampledFrom(names).Draw(rt, "do"),
			})
		}
		for _, end := range []string{"engine is back", "swaps work", "store is back", "scorer works"} {
			steps = append(steps, step{10, end})
		}
		if l := play(t, steps, rapid.Bool().Draw(rt, "scored")); l.err != nil {
			rt.Fatalf("%v: %v", steps, l.err)
		}
	})
}
