package entry

import (
	"context"
	"math"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/place"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/plans"
)

// leaseName is the lease of the placement.
const leaseName = "placement"

const (
	demandTick = clock.Second
	demandFor  = 3 // intervals after which an entry that told nothing more has no demand
	callFor    = 2 * clock.Second
)

// Urgency of a model: the weight of its work beside that of other models.
const (
	baseDemand  = 0.1 // of a declared model without work, in streams
	evenTarget  = clock.Minute
	minUrgency  = 0.5
	mostUrgency = 4.0
)

// demands is what the entries have told the holder of the placement lease.
type demands struct {
	mu sync.Mutex
	by map[ident.Node]told
}

type told struct {
	at   clock.Millis
	work []match.Demand
}

func (d *demands) note(now clock.Millis, from ident.Node, work []match.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.by == nil {
		d.by = make(map[ident.Node]told)
	}
	d.by[from] = told{at: now, work: work}
}

// sum adds up the demand of all entries that told theirs lately.
func (d *demands) sum(now, keep clock.Millis) map[ident.Service]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[ident.Service]float64)
	for n, t := range d.by {
		if now-t.at > keep {
			delete(d.by, n)
			continue
		}
		for _, w := range t.work {
			out[w.Service] += float64(w.Items)
		}
	}
	return out
}

// tellDemand tells the holder of the placement lease what work waits and runs
// here, until the context ends. With more entries each one tells it less often.
func (e *Entry) tellDemand(ctx context.Context) {
	var last clock.Millis
	clock.Every(ctx, demandTick, func() {
		now := e.p.Clock.Now()
		if now-last < e.tellEvery()-demandTick/2 { // A tick may come a little early.
			return
		}
		last = now
		e.tellDemandOnce(ctx)
	})
}

func (e *Entry) tellEvery() clock.Millis {
	return place.DemandInterval(len(e.peers.View().Entries()))
}

func (e *Entry) tellDemandOnce(ctx context.Context) {
	var work []match.Demand
	e.calls.WithMatcher(func(m *match.Matcher) { work = m.Demands() })
	holder, _ := e.lease.Holder()
	if holder == e.p.Node {
		e.demands.note(e.p.Clock.Now(), holder, work)
		return
	}
	vm, ok := e.peers.View().Find(holder)
	if !ok {
		return
	}
	args := wire.DemandArgs{Hello: e.hello()}
	for _, w := range work {
		args.Work = append(args.Work, wire.Demand{Service: string(w.Service), Work: w.Items})
	}
	ctx, cancel := context.WithTimeout(ctx, callFor.Duration())
	defer cancel()
	var ack wire.Ack
	if err := e.pool.Call(ctx, vm.Addr, "Entry.Demand", &args, &ack); err != nil {
		e.p.Log.Debug().Err(err).Str("holder", string(holder)).Msg("Demand can't be told.")
	}
}

// Demand implements the inner protocol: another entry's work by service.
func (s *service) Demand(args *wire.DemandArgs, reply *wire.Ack) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	work := make([]match.Demand, 0, len(args.Work))
	for _, w := range args.Work {
		work = append(work, match.Demand{Service: ident.Service(w.Service), Items: max(0, w.Work)})
	}
	s.e.demands.note(s.e.p.Clock.Now(), ident.Node(args.Hello.Node), work)
	return nil
}

// placeView is what the holder decides on: the engines that report here, and
// the demand of all entries.
func (e *Entry) placeView() plans.View {
	now := e.p.Clock.Now()
	var v plans.View
	e.mu.Lock()
	for n, r := range e.nodes {
		if r.Hosted.Call || r.Leaving || now-e.heard[n] > e.p.Policy.LivenessTimeout {
			continue
		}
		v.Engines = append(v.Engines, place.Engine{
			Node:    n,
			Zone:    ident.Zone(r.Zone),
			Model:   ident.Service(r.Hosted.Service),
			Loading: r.Hosted.Loading,
		})
	}
	e.mu.Unlock()
	work := e.demands.sum(now, demandFor*e.tellEvery())
	for _, u := range urgencies(e.declared()) {
		v.Demands = append(v.Demands, place.Demand{Model: u.model, Load: u.weight * (baseDemand + work[u.model])})
	}
	return v
}

// declared returns the classes whose work a model does, by name.
func (e *Entry) declared() []class.Class {
	var out []class.Class
	for _, en := range e.config.State().Entries() {
		if en.Class.Kind().IsModel() {
			out = append(out, en.Class)
		}
	}
	return out
}

type urgency struct {
	model  ident.Service
	weight float64
}

// urgencies weighs each model by the tightest lateness target of its classes.
func urgencies(cs []class.Class) []urgency {
	var out []urgency
	at := make(map[ident.Service]int)
	for _, c := range cs {
		i, ok := at[c.Service()]
		if !ok {
			i = len(out)
			at[c.Service()] = i
			out = append(out, urgency{model: c.Service()})
		}
		w := math.Sqrt(float64(evenTarget) / float64(c.Lateness()))
		out[i].weight = max(out[i].weight, min(mostUrgency, max(minUrgency, w)))
	}
	return out
}

// sendOrder carries one placement order to an agent.
func (e *Entry) sendOrder(ctx context.Context, o plans.Order) error {
	e.mu.Lock()
	addr := e.nodes[o.Node].Addr
	e.mu.Unlock()
	args := wire.OrderArgs{Hello: e.hello(), Model: string(o.Model), Version: uint64(o.Version), Fence: int64(o.Fence)}
	var ack wire.Ack
	if err := e.pool.Call(ctx, addr, "Agent.Order", &args, &ack); err != nil {
		return err
	}
	return ack.Fault.Err()
}
