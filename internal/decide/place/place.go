// Package place decides which model each engine hosts. The entry that holds the
// placement lease uses it.
//
// Rules:
//
//  1. The engines are allocated in proportion to the demand of the models. The
//     demand of a model is its work, weighted by how tight its latency
//     objectives are.
//  2. A model with demand and no engine gets an engine at once if another model
//     has two or more. With fewer engines than models, the models with the
//     highest demand have priority.
//  3. Hysteresis keeps engines from moving back and forth. A move other than
//     those of rule 2 requires that the model has been short of at least half
//     an engine plus a margin for a minimum time, without interruption, and that
//     the donor is less short after the move than the model was before it, by the
//     margin. A moved engine is not moved again during a cooldown.
//  4. Engines are moved one at a time; no move starts while an engine is
//     loading.
//  5. The donor is the model with the largest surplus. A donor with demand
//     keeps at least one engine, unless rule 2 gives its only engine to a model
//     with higher demand. The engine is chosen from the zone where the donor has
//     the most engines, so that each model stays spread over the zones.
//
// # Usage
//
//	st := place.New(place.DefaultPolicy())
//	if m, ok := st.Next(now, engines, demands); ok { order(m.Node, m.Model) }
//
// The package does not deal with leases or orders: package plans carries out
// the moves, with a fencing token.
package place

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Policy holds the parameters of the hysteresis (rule 3).
type Policy struct {
	Margin      float64      // in engines; added to half an engine for the shortage that causes a move
	MinShortage clock.Millis // how long a shortage must persist
	Cooldown    clock.Millis // how long an engine stays after a move
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{Margin: 0.25, MinShortage: 30 * clock.Second, Cooldown: 5 * clock.Minute}
}

// Engine is a model engine that is alive.
type Engine struct {
	Node    ident.Node
	Zone    ident.Zone
	Model   ident.Service // empty if the engine hosts no model
	Loading bool
}

// Demand is the demand for a model.
type Demand struct {
	Model ident.Service
	Load  float64 // streams in progress and waiting, weighted by urgency
}

// Move assigns an engine to another model.
type Move struct {
	Node  ident.Node
	Model ident.Service
}

// State records since when models have been short of engines and when engines
// were moved. A new lease holder starts with an empty state, which only delays
// moves.
type State struct {
	policy     Policy
	shortSince map[ident.Service]clock.Millis
	movedAt    map[ident.Node]clock.Millis
}

// New returns an empty state.
func New(policy Policy) *State {
	return &State{policy: policy, shortSince: make(map[ident.Service]clock.Millis), movedAt: make(map[ident.Node]clock.Millis)}
}

// modelState is the allocation of one model in one pass.
type modelState struct {
	name    ident.Service
	share   float64 // number of engines in proportion to its demand
	engines []Engine
}

func (m modelState) shortage() float64 { return m.share - float64(len(m.engines)) }

// Next returns the next move, if one is due.
func (s *State) Next(now clock.Millis, engines []Engine, demands []Demand) (Move, bool) {
	models := allocate(engines, demands)
	s.recordShortages(now, models)
	s.pruneMoves(now)
	if slices.ContainsFunc(engines, func(e Engine) bool { return e.Loading }) { // rule 4
		return Move{}, false
	}
	slices.SortStableFunc(models, func(a, b modelState) int { return cmp.Compare(b.shortage(), a.shortage()) })
	for _, recipient := range models {
		if !s.isDue(now, recipient) {
			continue
		}
		if e, ok := s.chooseDonor(now, models, recipient); ok {
			s.movedAt[e.Node] = now
			delete(s.shortSince, recipient.name)
			return Move{Node: e.Node, Model: recipient.name}, true
		}
	}
	return Move{}, false
}

// allocate computes the share of each model by demand. Engines without a model
// belong to a model without a name; its share is zero, as is that of models
// without demand.
func allocate(engines []Engine, demands []Demand) []modelState {
	var out []modelState
	index := make(map[ident.Service]int)
	getOrAdd := func(n ident.Service) *modelState {
		i, ok := index[n]
		if !ok {
			i = len(out)
			index[n] = i
			out = append(out, modelState{name: n})
		}
		return &out[i]
	}
	total := 0.0
	for _, d := range demands {
		total += d.Load
	}
	for _, d := range demands {
		m := getOrAdd(d.Model)
		if total > 0 {
			m.share += float64(len(engines)) * d.Load / total // rule 1
		}
	}
	for _, e := range engines {
		m := getOrAdd(e.Model)
		m.engines = append(m.engines, e)
	}
	slices.SortFunc(out, func(a, b modelState) int { return cmp.Compare(a.name, b.name) })
	return out
}

// recordShortages records since when each model has been short of engines.
func (s *State) recordShortages(now clock.Millis, models []modelState) {
	current := make(map[ident.Service]bool, len(models))
	for _, m := range models {
		current[m.name] = true
		if m.shortage() < halfEngine+s.policy.Margin {
			delete(s.shortSince, m.name)
			continue
		}
		if _, ok := s.shortSince[m.name]; !ok {
			s.shortSince[m.name] = now
		}
	}
	for n := range s.shortSince {
		if !current[n] {
			delete(s.shortSince, n)
		}
	}
}

const halfEngine = 0.5

// pruneMoves removes moves whose cooldown has ended.
func (s *State) pruneMoves(now clock.Millis) {
	for n, moveTime := range s.movedAt {
		if now-moveTime >= s.policy.Cooldown {
			delete(s.movedAt, n)
		}
	}
}

// isDue reports whether a model gets an engine now.
func (s *State) isDue(now clock.Millis, m modelState) bool {
	if m.name == "" || m.share == 0 {
		return false
	}
	if len(m.engines) == 0 { // rule 2
		return true
	}
	since, ok := s.shortSince[m.name]
	return ok && now-since >= s.policy.MinShortage // rule 3
}

// chooseDonor returns the engine to move to a model, if another model can give
// up an engine.
func (s *State) chooseDonor(now clock.Millis, models []modelState, recipient modelState) (Engine, bool) {
	var best *modelState
	for i := range models {
		m := &models[i]
		if m.name == recipient.name || !s.canDonate(*m, recipient) {
			continue
		}
		if best == nil || m.shortage() < best.shortage() { // rule 5
			best = m
		}
	}
	if best == nil {
		return Engine{}, false
	}
	return s.chooseEngine(now, *best, len(recipient.engines) == 0)
}

// canDonate reports whether a model can give up an engine to another model.
func (s *State) canDonate(m, recipient modelState) bool {
	switch {
	case len(m.engines) == 0:
		return false
	case m.share == 0: // no demand
		return true
	case len(m.engines) >= 2:
		shortageAfter := m.shortage() + 1
		return len(recipient.engines) == 0 || m.shortage() < 0 && shortageAfter+s.policy.Margin <= recipient.shortage() // rule 3
	}
	return len(recipient.engines) == 0 && recipient.share > m.share // rule 2: fewer engines than models
}

// chooseEngine returns an engine from the zone where the model has the most
// engines. For an urgent move the engine may be in its cooldown.
func (s *State) chooseEngine(now clock.Millis, m modelState, urgent bool) (Engine, bool) {
	perZone := make(map[ident.Zone]int)
	for _, e := range m.engines {
		perZone[e.Zone]++
	}
	var best Engine
	found := false
	for _, e := range m.engines {
		moveTime, ok := s.movedAt[e.Node]
		if ok && now-moveTime < s.policy.Cooldown && !urgent { // rule 3
			continue
		}
		if !found || perZone[e.Zone] > perZone[best.Zone] || perZone[e.Zone] == perZone[best.Zone] && e.Node < best.Node {
			best = e
			found = true
		}
	}
	return best, found
}

// Bounds of the demand reports to the lease holder. The more entries there are,
// the less often each of them reports. Demand that is minutes old is acceptable,
// because placement reacts slowly by rule 3.
const (
	maxReportRate     = 2 // messages per second, of all entries
	minReportInterval = clock.Second
)

// DemandInterval returns the interval at which each of a number of entries
// reports its demand to the lease holder.
func DemandInterval(entries int) clock.Millis {
	return max(minReportInterval, clock.Millis(entries)*clock.Second/maxReportRate)
}
