package side

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/grant"
)

// observeRateLimit records what an answer of the engine states about its rate limit. The
// caller holds the lock.
func (a *Agent) observeRateLimit(sentAt clock.Millis, stated plat.RateLimit) {
	if stated.Malformed != "" {
		a.Log.Warn().Str("addr", a.EngineAddr).Str("limit", stated.Malformed).
			Msg("side: rate limit of the engine can't be decoded, the previous one stays in force")
		return
	}
	now := a.Clock.Now()
	if a.rateLimit.Observe(now, sentAt, stated.PerSecond) {
		a.starts.Start(now, a.rateLimit.PerSecond())
		a.Count("rate-limit", "changed")
		a.Log.Info().Str("addr", a.EngineAddr).Float64("per-second", a.rateLimit.PerSecond()).Int("running", a.running).
			Msg("side: rate limit of the engine changed")
	}
}

// takeStart grants a request to the engine that may start after the returned wait, or
// refuses it if the wait is longer than maxWait. The caller holds the lock.
func (a *Agent) takeStart(rank int, maxWait clock.Millis) (wait clock.Millis, ok bool) {
	if a.rateLimit.PerSecond() == 0 {
		return 0, true
	}
	return a.starts.Take(a.Clock.Now(), a.rateLimit.PerSecond(), rank, maxWait)
}

// Grant decides on a request for a grant by another node that sends requests to the
// engine.
func (a *Agent) Grant(r grant.Request) grant.Reply {
	engine := a.engine()
	a.mu.Lock()
	defer a.mu.Unlock()
	if engine != nil && engine.Incarnation() == r.Server && a.isLeaving() && engine.StartedAt == a.state.StartedAt {
		return grant.Reply{Leaving: true}
	}
	if a.lastReport == 0 {
		return grant.Reply{Wait: reportInterval}
	}
	wait, ok := a.takeStart(r.Rank, r.MaxWait)
	return grant.Reply{Granted: ok, Wait: wait, PerSecond: a.rateLimit.PerSecond()}
}
