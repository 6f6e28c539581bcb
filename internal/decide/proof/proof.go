// Package proof decides which version made a run of tokens.
//
// Rules:
//
//  1. The engine is asked for its state before and after each run of tokens.
//  2. A run is proven if both states name the same start of the engine, the
//     same model and the same version, and neither is loading.
//  3. A run beside which an order was given is not proven, whatever the
//     states say: the order may have taken effect and been undone.
//  4. While an order of an earlier agent may still be running, nothing is
//     proven.
//
// # Usage
//
//	p := proof.Begin(before, orders)
//	v, err := p.End(after, orders)
package proof

import (
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
)

// Segment is an open run of tokens.
type Segment struct {
	before model.Status
	orders uint64
}

// Begin opens a run with the engine's state and the number of orders given so
// far.
func Begin(before model.Status, orders uint64) Segment {
	return Segment{before: before, orders: orders}
}

// Version returns the version at the beginning of the run.
func (r Segment) Version() ident.Version { return r.before.Version }

// EngineRestarted reports whether the engine was restarted since the run began, so that
// no more of it will come.
func (r Segment) EngineRestarted(now model.Status) bool { return r.before.Boot != now.Boot }

// End returns the version that made the run, or a fault of the kind
// [fault.Unproven].
func (r Segment) End(after model.Status, orders uint64) (ident.Version, error) {
	b := r.before
	switch {
	case r.EngineRestarted(after): // rule 2
		return 0, fault.New(fault.UnprovenVersion, "the engine was restarted")
	case b.Model != after.Model || b.Version != after.Version: // rule 2
		return 0, fault.New(fault.UnprovenVersion, "the engine changed its version")
	case b.Loading || after.Loading: // rules 2 and 4
		return 0, fault.New(fault.UnprovenVersion, "the engine was loading")
	case r.orders != orders: // rule 3
		return 0, fault.New(fault.UnprovenVersion, "an order was given meanwhile")
	}
	return b.Version, nil
}
