// Package proof proves which weight version generated a segment of tokens.
//
// Rules:
//
//  1. The engine's status is read before and after each segment.
//  2. The version of a segment is proven if both statuses have the same
//     incarnation of the engine, the same model and the same version, and the
//     engine was loading in neither.
//  3. If a load order was sent during the segment, the version is not proven,
//     even if the statuses are equal: the order may have taken effect and been
//     reverted.
//  4. While a load order of an earlier incarnation of the agent may still be in
//     progress, no version is proven. The engine's status shows it as loading.
//
// # Usage
//
//	s := proof.Begin(before, orders)
//	version, err := s.End(after, orders)
package proof

import (
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
)

// Segment is a series of tokens that are being generated.
type Segment struct {
	before model.Status
	orders uint64 // load orders sent before the segment
}

// Begin starts a segment with the engine's status and the number of load orders
// sent so far.
func Begin(before model.Status, orders uint64) Segment {
	return Segment{before: before, orders: orders}
}

// Version returns the engine's version at the beginning of the segment.
func (s Segment) Version() ident.Version { return s.before.Version }

// EngineRestarted reports whether the engine was restarted since the segment
// began. If so, the engine generates no more tokens of the segment.
func (s Segment) EngineRestarted(now model.Status) bool { return s.before.Boot != now.Boot }

// End ends a segment with the engine's status and the number of load orders sent
// so far. It returns the version that generated the segment, or a fault of the
// kind [fault.UnprovenVersion].
func (s Segment) End(after model.Status, orders uint64) (ident.Version, error) {
	before := s.before
	switch {
	case s.EngineRestarted(after): // rule 2
		return 0, fault.New(fault.UnprovenVersion, "the engine was restarted")
	case before.Model != after.Model || before.Version != after.Version: // rule 2
		return 0, fault.New(fault.UnprovenVersion, "the engine changed its version")
	case before.Loading || after.Loading: // rules 2 and 4
		return 0, fault.New(fault.UnprovenVersion, "the engine was loading")
	case s.orders != orders: // rule 3
		return 0, fault.New(fault.UnprovenVersion, "an order was given meanwhile")
	}
	return before.Version, nil
}
