package replay

import (
	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
)

// fit fills in what the class says of an item.
func fit(*work, class.Class) {}

// again prepares an item for another attempt.
func again(wk *work, r *run, _ End) { wk.item.Avoid = sets.Of(r.s.node) }

// stamp adds what tells an old report from a new one.
func stamp(sv match.Server, _ *server) match.Server { return sv }

// priority of an attempt at its engine.
func priority(r *run) int {
	if r.w.player != nil {
		return 0
	}
	return 1
}
