package side

import (
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// engineLeaves is the reason of refusals while the engine leaves.
const engineLeaves = "the engine leaves"

// observeLeaving records what an answer of the engine states about its end. The request was
// sent while the engine reported that it started at startedAt. A statement of an earlier
// incarnation than the one that reports now is ignored. The caller holds the lock.
func (a *Agent) observeLeaving(startedAt int64, stated plat.Leaving) {
	if stated.Malformed != "" && stated.Malformed != a.malformedLeaving {
		a.malformedLeaving = stated.Malformed
		a.Log.Warn().Str("addr", a.EngineAddr).Str("leaving", stated.Malformed).
			Msg("side: statement that the engine leaves can't be decoded and is ignored")
	}
	if !stated.Stated || startedAt != a.state.StartedAt || a.isLeaving() {
		return
	}
	a.leaving = option.Some(startedAt)
	a.Count("engine", "leaving")
	a.Log.Info().Str("addr", a.EngineAddr).Int64("started-at", startedAt).Int("running", a.running).
		Msg("side: the engine states that it leaves")
	a.requestFrames()
}

// isLeaving reports whether the current incarnation of the engine has stated that it
// leaves. The caller holds the lock.
func (a *Agent) isLeaving() bool { return a.leaving == option.Some(a.state.StartedAt) }
