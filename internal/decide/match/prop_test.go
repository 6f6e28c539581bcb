package match

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/proof/prop"
)

// model is what an observer of the matcher knows.
type model struct {
	m       *Matcher
	now     clock.Millis
	seq     uint64
	nextID  uint64
	waiting map[uint64]bool
	flying  map[uint64][]ident.Node
	ended   map[uint64]bool
	arrived int
	hedges  int
}

const modelServers = 4

func newModel(p Policy) *model {
	return &model{
		m:       New(p),
		now:     start,
		waiting: make(map[uint64]bool),
		flying:  make(map[uint64][]ident.Node),
		ended:   make(map[uint64]bool),
	}
}

func (o *model) reports() {
	o.seq++
	for i := range modelServers {
		o.m.Report(o.now, with(idle(i), func(s *Server) { s.Seq, s.Running, s.OwnRunning = o.seq, o.load(i), o.load(i) }))
	}
}

func (o *model) load(i int) int {
	n := 0
	for _, nodes := range o.flying {
		for _, at := range nodes {
			if at == node(i) {
				n++
			}
		}
	}
	return n
}

func (o *model) arrive(t *rapid.T) {
	o.nextID++
	it := plain(o.nextID)
	it.Class = ident.Class(rapid.SampledFrom([]string{"short", "long", "round"}).Draw(t, "class"))
	it.Round = it.Class == "round"
	it.StartBy, it.FinishBy = o.now+clock.Second, o.now+10*clock.Second
	it.AtMostOnce = rapid.Bool().Draw(t, "once")
	if o.m.Enqueue(o.now, it) != nil {
		return
	}
	o.arrived++
	o.waiting[it.ID] = true
}

func (o *model) next(t *rapid.T) {
	grants, refused := o.m.Dispatch(o.now)
	for _, r := range refused {
		if !o.waiting[r.Item] {
			t.Fatalf("item %d was refused and does not wait", r.Item)
		}
		delete(o.waiting, r.Item)
		o.ended[r.Item] = true
	}
	for _, g := range grants {
		o.granted(t, g)
	}
	for i := range modelServers {
		if n := o.load(i); n > idle(i).Slots {
			t.Fatalf("server %d has %d items", i, n)
		}
	}
	if float64(o.hedges) > DefaultPolicy().HedgeShare*float64(o.arrived)+retrySaved {
		t.Fatalf("%d hedges of %d items", o.hedges, o.arrived)
	}
}

func (o *model) granted(t *rapid.T, g Grant) {
	at := o.flying[g.Item]
	switch {
	case g.Hedge:
		o.hedges++
		if len(at) != 1 || at[0] == g.Node {
			t.Fatalf("hedge of item %d on %s beside %v", g.Item, g.Node, at)
		}
	case !o.waiting[g.Item]:
		t.Fatalf("item %d was granted twice", g.Item)
	}
	delete(o.waiting, g.Item)
	o.flying[g.Item] = append(at, g.Node)
}

// finish ends one attempt.
func (o *model) finish(t *rapid.T, end Outcome) {
	ids := rapid.SampledFrom(sortedKeys(o.flying)).Draw(t, "id")
	at := o.flying[ids]
	o.m.Finish(o.now, ids, at[0], Result{Outcome: end, RetryAfter: 100})
	if len(at) > 1 {
		o.flying[ids] = at[1:]
		return
	}
	delete(o.flying, ids)
	o.ended[ids] = true
}

func sortedKeys(m map[uint64][]ident.Node) []uint64 {
	fs := make(map[uint64]*flight, len(m))
	for id := range m {
		fs[id] = nil
	}
	return sortedIDs(fs)
}

// TestEveryItemEnds drives the matcher at random, then lets all work finish.
// No item is lost, granted twice, or left waiting for ever.
func TestEveryItemEnds(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		o := newModel(DefaultPolicy())
		o.reports()
		t.Repeat(map[string]func(*rapid.T){
			"arrive": o.arrive,
			"report": func(*rapid.T) { o.reports() },
			"time":   func(t *rapid.T) { o.now += clock.Millis(rapid.IntRange(1, 700).Draw(t, "ms")) },
			"next":   o.next,
			"finish": func(t *rapid.T) {
				if len(o.flying) > 0 {
					o.finish(t, rapid.SampledFrom([]Outcome{Served, Served, Served, Canceled, Refused, Failed}).Draw(t, "end"))
				}
			},
		})
		o.settle(t)
	})
}

// settle ends all work in bounded time, with a stream of short work beside it.
func (o *model) settle(t *rapid.T) {
	pending := o.arrived - len(o.ended)
	bound := o.now + clock.Minute
	for int(o.nextID) > 0 && o.now < bound && len(o.waiting)+len(o.flying) > 0 {
		o.now += 100
		o.reports()
		o.next(t)
		for _, id := range sortedKeys(o.flying) {
			for _, n := range o.flying[id] {
				o.m.Finish(o.now, id, n, Result{Outcome: Served})
			}
			delete(o.flying, id)
			o.ended[id] = true
		}
	}
	if len(o.waiting) > 0 || o.m.Waiting() > 0 {
		t.Fatalf("%d of %d items still wait", len(o.waiting), pending)
	}
}

// TestNoBandStarves keeps more short work waiting than the servers can do.
// Rounds and long work start within a bound none the less, and short work too.
func TestNoBandStarves(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		o := newModel(DefaultPolicy())
		flood := rapid.SampledFrom([]ident.Class{"short", "round"}).Draw(t, "flood")
		victim := map[ident.Class]ident.Class{"short": "round", "round": "short"}[flood]
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		began, wait := o.now+2*clock.Second, clock.Millis(0)
		for step := 0; wait == 0 && step < 600; step++ {
			o.now += 50
			o.m.Report(o.now, with(idle(0), func(s *Server) { s.Seq, s.Slots = uint64(step+1), slots }))
			for range slots {
				o.put(flood)
			}
			if o.now == began {
				o.put(victim)
			}
			grants, _ := o.m.Dispatch(o.now)
			for _, g := range grants {
				if o.m.flights[g.Item].item.Class == victim {
					wait = o.now - began + 1
				}
				o.flying[g.Item] = append(o.flying[g.Item], g.Node)
			}
			for _, id := range sortedKeys(o.flying)[:(len(o.flying)+1)/2] {
				o.m.Finish(o.now, id, node(0), Result{Outcome: Served})
				delete(o.flying, id)
			}
		}
		if wait == 0 {
			t.Fatalf("%s waited 28 s beside %s", victim, flood)
		}
	})
}

func (o *model) put(c ident.Class) {
	o.nextID++
	it := plain(o.nextID)
	it.Class, it.Round = c, c == "round"
	it.StartBy, it.FinishBy = o.now+clock.Second, o.now+clock.Minute
	_ = o.m.Enqueue(o.now, it) // A flood may be refused.
}
