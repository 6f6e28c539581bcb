package work

import (
	"context"
	"net"
	"strconv"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/sched"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
)

const (
	// This node counts as isolated from the agents if minLostRuns runs in a row
	// reached no agent and no agent has sent a frame or its state for
	// isolationTimeout. After isolationRetryDelay it counts as healthy again, and
	// its next runs show whether they reach the agents.
	minLostRuns         = 3
	isolationTimeout    = 1500 * clock.Milli
	isolationRetryDelay = 4 * clock.Second
	// stateTTL is how long the reported state of an engine is valid when new
	// items are assigned. A migration needs a state of at most
	// migrationStateTTL, because it costs more if the new engine is slow too.
	stateTTL          = 250 * clock.Milli
	migrationStateTTL = 100 * clock.Milli
	// stateWaitTimeout is how long a new job waits for the states of its
	// engines: one round trip to another region. It is also the minimum time
	// between two state requests to the same agent.
	stateWaitTimeout = 40 * clock.Milli
	// stateFetchTimeout limits one read of an agent's state.
	stateFetchTimeout = 500 * clock.Milli
	// loadingBackoff is how long an engine is avoided after its agent reported
	// that the engine loads weights.
	loadingBackoff = clock.Second
	// slowdownTTL is how long an engine counts as slower than usual after its
	// agent reported so. The agent repeats the report during the slowdown.
	slowdownTTL = 600 * clock.Milli
)

// engine is the state of an engine as far as the worker knows it.
type engine struct {
	ownRuns       int // runs in progress that this node started
	otherRuns     int // runs of other nodes, according to the last frame
	slots         int
	eventInterval float64      // average in ms, 0 if not known
	lastSeen      clock.Millis // when the last report of its agent was received
	lastAsked     clock.Millis // when its state was last requested
	slowUntil     clock.Millis // end of a transient slowdown, 0 for none
	steady        bool         // its streams run at their usual speed
	loading       bool
	backoffUntil  clock.Millis
	staleUntil    map[string]clock.Millis // by model: it has no usable version until then
}

func (w *Worker) engine(s *fleet.Server) *engine {
	e := w.engines[s.ID]
	if e == nil {
		e = &engine{slots: s.Slots, staleUntil: make(map[string]clock.Millis)}
		w.engines[s.ID] = e
	}
	return e
}

// updateEngine records the state of an engine that its agent reported.
func (w *Worker) updateEngine(s *fleet.Server, f *runs.Frame) {
	e := w.engine(s)
	now := w.Clock.Now()
	w.lastReached, w.lostRuns = now, 0
	e.otherRuns, e.slots, e.lastSeen = max(0, f.Running-e.ownRuns), f.Slots, now
	e.eventInterval = f.Pace
	if f.Hiccup != (now < e.slowUntil) {
		w.Wake()
	}
	e.slowUntil = 0
	if f.Hiccup {
		e.slowUntil = now + slowdownTTL
	}
	e.steady, e.loading = f.Steady, f.Loading
}

// refreshEngines requests the state of every engine in the pool whose last
// report is older than stateTTL. It reports whether a job that has just started
// should wait for the answers.
func (w *Worker) refreshEngines(j *job, pool *sched.Pool, byID map[string]*fleet.Server, now clock.Millis) bool {
	stale := false
	for _, candidate := range pool.Engines() {
		s := byID[candidate.ID]
		e := w.engine(s)
		if now-e.lastSeen < stateTTL {
			continue
		}
		stale = true
		w.refreshEngine(s, j.model, now)
	}
	return stale && now-j.startedAt < stateWaitTimeout
}

// refreshEngine requests the state of an engine, unless that was done less than
// stateWaitTimeout ago.
func (w *Worker) refreshEngine(s *fleet.Server, model string, now clock.Millis) {
	if e := w.engine(s); now-e.lastAsked >= stateWaitTimeout {
		e.lastAsked = now
		go w.fetchState(s, model)
	}
}

// fetchState reads the state of an engine from its agent.
func (w *Worker) fetchState(s *fleet.Server, model string) {
	ctx, cancel := context.WithTimeout(context.Background(), stateFetchTimeout.Duration())
	defer cancel()
	f, err := runs.FetchState(ctx, w.http, w.agentAddr(s), model)
	if err != nil {
		w.Log.Info().Str("engine", s.ID).Str("addr", s.Addr).Err(err).Msg("work: fetching an agent's state failed")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateEngine(s, f)
	w.Wake()
}

// pruneEngines removes engines that are no longer listed and run nothing for
// this node.
func (w *Worker) pruneEngines(v *fleet.View) {
	for id, e := range w.engines {
		if e.ownRuns == 0 && v.ByID(id) == nil {
			delete(w.engines, id)
		}
	}
}

// updateHealth reports this node as unhealthy to the other nodes while it
// reaches no agent, so that they take over its jobs.
func (w *Worker) updateHealth() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	wasIsolated := w.isolatedUntil > 0
	switch {
	case w.lostRuns >= minLostRuns && now-w.lastReached >= isolationTimeout:
		w.isolatedUntil, w.lostRuns = now+isolationRetryDelay, 0
	case wasIsolated && now >= w.isolatedUntil:
		w.isolatedUntil = 0
	}
	if isolated := w.isolatedUntil > 0; isolated != wasIsolated {
		w.Log.Warn().Bool("fit", !isolated).Int64("silent-ms", int64(now-w.lastReached)).Msg("work: the agents' reach changed")
		w.Jobs.SetHealthy(!isolated)
	}
}

func (w *Worker) agentAddr(s *fleet.Server) string {
	host, _, err := net.SplitHostPort(s.Addr)
	if err != nil {
		host = s.Addr // Dialing this address fails, and the error is logged.
	}
	return net.JoinHostPort(host, strconv.Itoa(w.AgentPort))
}
