package side

import (
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// observeLeaving records what an answer of the engine states about its end. The answer
// came from the incarnation that started at startedAt, as far as the reports show.
func (a *Agent) observeLeaving(startedAt int64, stated plat.Leaving) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if stated.Malformed != a.malformedLeaving {
		a.malformedLeaving = stated.Malformed
		a.Log.Warn().Str("addr", a.EngineAddr).Str("leaving", stated.Malformed).
			Msg("side: statement that the engine leaves can't be decoded and is ignored")
	}
	statement := option.Some(startedAt)
	if !stated.Stated || a.leaving == statement {
		return
	}
	a.leaving = statement
	a.Count("engine", "leaving")
	a.Log.Info().Str("addr", a.EngineAddr).Int64("started-at", startedAt).Int("running", a.running).
		Msg("side: the engine states that it leaves")
	a.requestFrames()
}

// isLeaving reports whether the current incarnation of the engine has stated that it
// leaves. The caller holds the lock.
func (a *Agent) isLeaving() bool { return a.leaving == option.Some(a.state.StartedAt) }
