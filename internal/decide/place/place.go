// Package place decides which model each engine hosts.
//
// Rules:
//
//  1. The engines are shared in proportion to the demand of the models, where
//     the demand of a model is its work weighted by how tight its targets are.
//  2. A model with demand and no engine gets one at once, if another model has
//     two or more. With fewer engines than models the heaviest demand goes
//     first.
//  3. Hysteresis keeps engines from moving to and fro: any other move needs a
//     shortage of at least a margin beyond half an engine, held without a break
//     for some time, and an engine that was moved stays for a while.
//  4. One engine moves at a time; no move starts while one is in progress.
//  5. The donor is the model with the largest excess that keeps at least one
//     engine, and the engine is taken from the zone where the donor has most,
//     so that each model stays spread over the zones.
//
// # Usage
//
//	st := place.New(place.Standard())
//	if m, ok := st.Next(now, engines, demands); ok { order(m.Node, m.Model) }
//
// The package knows nothing of leases or orders: package plan carries moves out
// under a fencing number.
package place

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Policy selects how eager placement is.
type Policy struct {
	Margin      float64      // engines beyond half an engine that a model must be short of
	MinShortage clock.Millis // time for which the shortage must last
	Cooldown    clock.Millis // time for which a moved engine is left alone
}

// DefaultPolicy returns the policy of the product.
func DefaultPolicy() Policy {
	return Policy{Margin: 0.25, MinShortage: 30 * clock.Second, Cooldown: 5 * clock.Minute}
}

// Engine is one model engine that is alive.
type Engine struct {
	Node    ident.Node
	Zone    ident.Zone
	Model   ident.Service // empty if it hosts none
	Loading bool
}

// Demand is the work that a model has.
type Demand struct {
	Model ident.Service
	Load  float64 // streams in progress and waiting, weighted by urgency
}

// Move sends an engine to another model.
type Move struct {
	Node  ident.Node
	Model ident.Service
}

// State remembers how long shortages have lasted and when engines moved. A new
// lease holder starts with an empty one, which only makes it slower to move.
type State struct {
	p     Policy
	short map[ident.Service]clock.Millis // since when
	moved map[ident.Node]clock.Millis
}

// New returns a state that remembers nothing.
func New(p Policy) *State {
	return &State{p: p, short: make(map[ident.Service]clock.Millis), moved: make(map[ident.Node]clock.Millis)}
}

// model is one model at one moment.
type model struct {
	name    ident.Service
	share   float64 // engines that its demand is worth
	engines []Engine
}

func (m model) shortage() float64 { return m.share - float64(len(m.engines)) }

// Next returns the next move, if there is one.
func (s *State) Next(now clock.Millis, engines []Engine, demands []Demand) (Move, bool) {
	models := share(engines, demands)
	s.watch(now, models)
	s.forget(now)
	if slices.ContainsFunc(engines, func(e Engine) bool { return e.Loading }) { // rule 4
		return Move{}, false
	}
	slices.SortStableFunc(models, func(a, b model) int { return cmp.Compare(b.shortage(), a.shortage()) })
	for _, to := range models {
		if !s.isDue(now, to) {
			continue
		}
		if e, ok := s.donate(now, models, to); ok {
			s.moved[e.Node] = now
			delete(s.short, to.name)
			return Move{Node: e.Node, Model: to.name}, true
		}
	}
	return Move{}, false
}

// share divides the engines by demand. Engines without a model, and those of a
// model without demand, belong to models with a share of zero.
func share(engines []Engine, demands []Demand) []model {
	var out []model
	at := make(map[ident.Service]int)
	find := func(n ident.Service) *model {
		i, ok := at[n]
		if !ok {
			i = len(out)
			at[n] = i
			out = append(out, model{name: n})
		}
		return &out[i]
	}
	sum := 0.0
	for _, d := range demands {
		sum += d.Load
	}
	for _, d := range demands {
		m := find(d.Model)
		if sum > 0 {
			m.share += float64(len(engines)) * d.Load / sum // rule 1
		}
	}
	for _, e := range engines {
		m := find(e.Model)
		m.engines = append(m.engines, e)
	}
	slices.SortFunc(out, func(a, b model) int { return cmp.Compare(a.name, b.name) })
	return out
}

// watch notes since when each model has been short of engines.
func (s *State) watch(now clock.Millis, models []model) {
	known := make(map[ident.Service]bool, len(models))
	for _, m := range models {
		known[m.name] = true
		if m.shortage() < halfEngine+s.p.Margin {
			delete(s.short, m.name)
			continue
		}
		if _, ok := s.short[m.name]; !ok {
			s.short[m.name] = now
		}
	}
	for n := range s.short {
		if !known[n] {
			delete(s.short, n)
		}
	}
}

const halfEngine = 0.5

// forget drops moves that no longer matter.
func (s *State) forget(now clock.Millis) {
	for n, at := range s.moved {
		if now-at >= s.p.Cooldown {
			delete(s.moved, n)
		}
	}
}

// isDue reports whether a model gets an engine now.
func (s *State) isDue(now clock.Millis, m model) bool {
	if m.name == "" || m.share == 0 {
		return false
	}
	if len(m.engines) == 0 { // rule 2
		return true
	}
	since, ok := s.short[m.name]
	return ok && now-since >= s.p.MinShortage // rule 3
}

// donate picks the engine to move to a model.
func (s *State) donate(now clock.Millis, models []model, to model) (Engine, bool) {
	var best *model
	for i := range models {
		m := &models[i]
		if m.name == to.name || !s.mayGive(*m, to) {
			continue
		}
		if best == nil || m.shortage() < best.shortage() { // rule 5
			best = m
		}
	}
	if best == nil {
		return Engine{}, false
	}
	return s.pick(now, *best, len(to.engines) == 0)
}

// mayGive reports whether a model can lose an engine to another one.
func (s *State) mayGive(m, to model) bool {
	switch {
	case len(m.engines) == 0:
		return false
	case m.share == 0: // nobody asks for it
		return true
	case len(m.engines) >= 2:
		return len(to.engines) == 0 || m.shortage() < 0
	}
	return len(to.engines) == 0 && to.share > m.share // rule 2: fewer engines than models
}

// pick takes an engine from the zone where the model has most. An urgent move
// may take one that has just moved.
func (s *State) pick(now clock.Millis, m model, urgent bool) (Engine, bool) {
	count := make(map[ident.Zone]int)
	for _, e := range m.engines {
		count[e.Zone]++
	}
	var best Engine
	found := false
	for _, e := range m.engines {
		at, ok := s.moved[e.Node]
		if ok && now-at < s.p.Cooldown && !urgent { // rule 3
			continue
		}
		if !found || count[e.Zone] > count[best.Zone] || count[e.Zone] == count[best.Zone] && e.Node < best.Node {
			best = e
			found = true
		}
	}
	return best, found
}

// Rate at which the holder hears the demand of other entries, at any number of
// them. Placement is slow by its hysteresis, so an old demand does no harm.
const (
	tellRate  = 2 // messages a second
	tellLeast = clock.Second
)

// DemandInterval returns how often each of a number of entries tells its demand.
func DemandInterval(entries int) clock.Millis {
	return max(tellLeast, clock.Millis(entries)*clock.Second/tellRate)
}
