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

// leaseName is the name of the lease that allows an entry to place models.
const leaseName = "placement"

const (
	demandCheckInterval = clock.Second
	demandTTLIntervals  = 3 // a reported demand expires after this number of intervals
	demandTimeout       = 2 * clock.Second
)

// The urgency of a model is the weight of its work relative to other models.
const (
	idleDemand      = 0.1          // demand of a declared model without work, in streams
	neutralLateness = clock.Minute // a model with this shortest lateness has the urgency 1
	minUrgency      = 0.5
	maxUrgency      = 4.0
)

// demandTable holds the demand that each entry reported to the holder of the
// placement lease.
type demandTable struct {
	mu      sync.Mutex
	byEntry map[ident.Node]reportedDemand
}

type reportedDemand struct {
	at   clock.Millis
	work []match.Demand
}

func (d *demandTable) record(now clock.Millis, from ident.Node, work []match.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byEntry == nil {
		d.byEntry = make(map[ident.Node]reportedDemand)
	}
	d.byEntry[from] = reportedDemand{at: now, work: work}
}

// total returns the demand of each service, summed over all entries whose report
// is not older than ttl.
func (d *demandTable) total(now, ttl clock.Millis) map[ident.Service]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[ident.Service]float64)
	for n, r := range d.byEntry {
		if now-r.at > ttl {
			delete(d.byEntry, n)
			continue
		}
		for _, w := range r.work {
			out[w.Service] += float64(w.Items)
		}
	}
	return out
}

// reportDemand periodically reports this entry's waiting and running work to the
// holder of the placement lease until the context ends. The interval grows with
// the number of entries.
func (e *Entry) reportDemand(ctx context.Context) {
	var reportedAt clock.Millis
	clock.Every(ctx, demandCheckInterval, func() {
		now := e.p.Clock.Now()
		if now-reportedAt < e.demandInterval()-demandCheckInterval/2 { // A tick may be slightly early.
			return
		}
		reportedAt = now
		e.reportDemandOnce(ctx)
	})
}

func (e *Entry) demandInterval() clock.Millis {
	return place.DemandInterval(len(e.peers.View().Entries()))
}

func (e *Entry) reportDemandOnce(ctx context.Context) {
	var work []match.Demand
	e.calls.WithMatcher(func(m *match.Matcher) { work = m.Demands() })
	holder, _ := e.lease.Holder()
	if holder == e.p.Node {
		e.demands.record(e.p.Clock.Now(), holder, work)
		return
	}
	member, ok := e.peers.View().Find(holder)
	if !ok {
		return
	}
	args := wire.DemandArgs{Hello: e.hello()}
	for _, w := range work {
		args.Work = append(args.Work, wire.Demand{Service: string(w.Service), Work: w.Items})
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout.Duration())
	defer cancel()
	var ack wire.Ack
	if err := e.pool.Call(ctx, member.Addr, "Entry.Demand", &args, &ack); err != nil {
		e.p.Log.Debug().Err(err).Str("holder", string(holder)).Msg("entry: demand report failed")
	}
}

// Demand receives the demand of another entry as part of the inner protocol.
func (s *service) Demand(args *wire.DemandArgs, reply *wire.Ack) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	work := make([]match.Demand, 0, len(args.Work))
	for _, w := range args.Work {
		work = append(work, match.Demand{Service: ident.Service(w.Service), Items: max(0, w.Work)})
	}
	s.e.demands.record(s.e.p.Clock.Now(), ident.Node(args.Hello.Node), work)
	return nil
}

// placementView returns the input of the placement: the engines that report to
// this entry, and the demand of all entries.
func (e *Entry) placementView() plans.View {
	now := e.p.Clock.Now()
	var v plans.View
	e.mu.Lock()
	for n, r := range e.reports {
		if r.Hosted.Call || r.Leaving || now-e.lastSeen[n] > e.p.Policy.LivenessTimeout {
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
	work := e.demands.total(now, demandTTLIntervals*e.demandInterval())
	for _, u := range modelUrgencies(e.modelClasses()) {
		v.Demands = append(v.Demands, place.Demand{Model: u.model, Load: u.urgency * (idleDemand + work[u.model])})
	}
	return v
}

// modelClasses returns the classes that models serve, sorted by name.
func (e *Entry) modelClasses() []class.Class {
	var out []class.Class
	for _, en := range e.config.State().ActiveClasses() {
		if en.Class.Kind().IsModel() {
			out = append(out, en.Class)
		}
	}
	return out
}

type modelUrgency struct {
	model   ident.Service
	urgency float64
}

// modelUrgencies returns the urgency of each model. It follows from the shortest
// lateness among the model's classes.
func modelUrgencies(cs []class.Class) []modelUrgency {
	var out []modelUrgency
	index := make(map[ident.Service]int) // of each model in out
	for _, c := range cs {
		i, ok := index[c.Service()]
		if !ok {
			i = len(out)
			index[c.Service()] = i
			out = append(out, modelUrgency{model: c.Service()})
		}
		w := math.Sqrt(float64(neutralLateness) / float64(c.Lateness()))
		out[i].urgency = max(out[i].urgency, min(maxUrgency, max(minUrgency, w)))
	}
	return out
}

// sendOrder sends one placement order to an agent.
func (e *Entry) sendOrder(ctx context.Context, o plans.Order) error {
	e.mu.Lock()
	addr := e.reports[o.Node].Addr
	e.mu.Unlock()
	args := wire.OrderArgs{Hello: e.hello(), Model: string(o.Model), Version: uint64(o.Version), Fence: int64(o.Fence)}
	var ack wire.Ack
	if err := e.pool.Call(ctx, addr, "Agent.Order", &args, &ack); err != nil {
		return err
	}
	return ack.Fault.Err()
}
