package match

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/proof/prop"
)

func init() { prop.Cases(3000) }

// model tracks the items and attempts that the matcher should know.
type model struct {
	m        *Matcher
	now      clock.Millis
	seq      uint64
	nextID   uint64
	waiting  map[uint64]bool
	inFlight map[uint64][]ident.Node
	ended    map[uint64]bool
	arrived  int
	hedges   int
}

const modelServers = 4

func newModel(p Policy) *model {
	return &model{
		m:        New(p),
		now:      start,
		waiting:  make(map[uint64]bool),
		inFlight: make(map[uint64][]ident.Node),
		ended:    make(map[uint64]bool),
	}
}

func (o *model) reportAll() {
	o.seq++
	for i := range modelServers {
		o.m.Report(o.now, changed(idleServer(i), func(s *Server) { s.Seq, s.Running, s.OwnRunning = o.seq, o.inFlightOn(i), o.inFlightOn(i) }))
	}
}

func (o *model) inFlightOn(i int) int {
	n := 0
	for _, nodes := range o.inFlight {
		for _, other := range nodes {
			if other == node(i) {
				n++
			}
		}
	}
	return n
}

func (o *model) arrive(t *rapid.T) {
	o.nextID++
	it := testItem(o.nextID)
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

func (o *model) dispatch(t *rapid.T) {
	grants, refused := o.m.Dispatch(o.now)
	for _, r := range refused {
		if !o.waiting[r.Item] {
			t.Fatalf("item %d was refused but was not waiting", r.Item)
		}
		delete(o.waiting, r.Item)
		o.ended[r.Item] = true
	}
	for _, g := range grants {
		o.checkGrant(t, g)
	}
	for i := range modelServers {
		if n := o.inFlightOn(i); n > idleServer(i).Slots {
			t.Fatalf("server %d has %d items", i, n)
		}
	}
	if float64(o.hedges) > DefaultPolicy().HedgeShare*float64(o.arrived)+budgetBurst {
		t.Fatalf("%d hedges of %d items", o.hedges, o.arrived)
	}
}

func (o *model) checkGrant(t *rapid.T, g Grant) {
	nodes := o.inFlight[g.Item]
	switch {
	case g.Hedge:
		o.hedges++
		if len(nodes) != 1 || nodes[0] == g.Node {
			t.Fatalf("hedge of item %d on %s, with attempts on %v", g.Item, g.Node, nodes)
		}
	case !o.waiting[g.Item]:
		t.Fatalf("item %d was granted twice", g.Item)
	}
	delete(o.waiting, g.Item)
	o.inFlight[g.Item] = append(nodes, g.Node)
}

// finish ends one random attempt with the outcome.
func (o *model) finish(t *rapid.T, outcome Outcome) {
	id := rapid.SampledFrom(sortedKeys(o.inFlight)).Draw(t, "id")
	nodes := o.inFlight[id]
	o.m.Finish(o.now, id, nodes[0], Result{Outcome: outcome, RetryAfter: 100})
	if len(nodes) > 1 {
		o.inFlight[id] = nodes[1:]
		return
	}
	delete(o.inFlight, id)
	o.ended[id] = true
}

func sortedKeys(m map[uint64][]ident.Node) []uint64 {
	active := make(map[uint64]*activeItem, len(m))
	for id := range m {
		active[id] = nil
	}
	return sortedIDs(active)
}

// TestEveryItemEnds calls the matcher at random, then lets all work finish. No
// item may be lost, granted twice, or left waiting forever.
func TestEveryItemEnds(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		o := newModel(DefaultPolicy())
		o.reportAll()
		t.Repeat(map[string]func(*rapid.T){
			"arrive": o.arrive,
			"report": func(*rapid.T) { o.reportAll() },
			"time":   func(t *rapid.T) { o.now += clock.Millis(rapid.IntRange(1, 700).Draw(t, "ms")) },
			"next":   o.dispatch,
			"finish": func(t *rapid.T) {
				if len(o.inFlight) > 0 {
					o.finish(t, rapid.SampledFrom([]Outcome{Served, Served, Served, Canceled, Refused, Failed}).Draw(t, "end"))
				}
			},
		})
		o.settle(t)
	})
}

// settle finishes all work and checks that no item still waits after a minute.
func (o *model) settle(t *rapid.T) {
	pending := o.arrived - len(o.ended)
	deadline := o.now + clock.Minute
	for int(o.nextID) > 0 && o.now < deadline && len(o.waiting)+len(o.inFlight) > 0 {
		o.now += 100
		o.reportAll()
		o.dispatch(t)
		for _, id := range sortedKeys(o.inFlight) {
			for _, n := range o.inFlight[id] {
				o.m.Finish(o.now, id, n, Result{Outcome: Served})
			}
			delete(o.inFlight, id)
			o.ended[id] = true
		}
	}
	if len(o.waiting) > 0 || o.m.Waiting() > 0 {
		t.Fatalf("%d of %d items still wait", len(o.waiting), pending)
	}
}

// TestNoBandStarves overloads a server with either short work or rounds. An
// item of the other band must still start within 28 s.
func TestNoBandStarves(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		o := newModel(DefaultPolicy())
		flood := rapid.SampledFrom([]ident.Class{"short", "round"}).Draw(t, "flood")
		victim := map[ident.Class]ident.Class{"short": "round", "round": "short"}[flood]
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		arrivedAt, wait := o.now+2*clock.Second, clock.Millis(0)
		for step := 0; wait == 0 && step < 600; step++ {
			o.now += 50
			o.m.Report(o.now, changed(idleServer(0), func(s *Server) { s.Seq, s.Slots = uint64(step+1), slots }))
			for range slots {
				o.enqueue(flood)
			}
			if o.now == arrivedAt {
				o.enqueue(victim)
			}
			grants, _ := o.m.Dispatch(o.now)
			for _, g := range grants {
				if o.m.active[g.Item].item.Class == victim {
					wait = o.now - arrivedAt + 1
				}
				o.inFlight[g.Item] = append(o.inFlight[g.Item], g.Node)
			}
			for _, id := range sortedKeys(o.inFlight)[:(len(o.inFlight)+1)/2] {
				o.m.Finish(o.now, id, node(0), Result{Outcome: Served})
				delete(o.inFlight, id)
			}
		}
		if wait == 0 {
			t.Fatalf("%s work waited 28 s during a flood of %s work", victim, flood)
		}
	})
}

func (o *model) enqueue(c ident.Class) {
	o.nextID++
	it := testItem(o.nextID)
	it.Class, it.Round = c, c == "round"
	it.StartBy, it.FinishBy = o.now+clock.Second, o.now+clock.Minute
	_ = o.m.Enqueue(o.now, it) // Excess work may be refused.
}
