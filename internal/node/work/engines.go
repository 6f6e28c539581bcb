package work

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/permit"
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
	// engines: one round trip to another region.
	stateWaitTimeout = 40 * clock.Milli
	// stateFetchTimeout limits one request for an agent's state. An answer that
	// takes as long is still of use for maxEvidenceAge.
	stateFetchTimeout = 800 * clock.Milli
	// maxStateFetches limits the concurrent state requests of a node, so that
	// their answers do not use up a small VM.
	maxStateFetches = 8
	// An agent is asked again minStateInterval after its last answer. After
	// requests without an answer the interval doubles, up to maxStateInterval.
	minStateInterval = 100 * clock.Milli
	maxStateInterval = 1600 * clock.Milli
	// loadingBackoff is how long an engine is avoided after its agent reported
	// that the engine loads weights.
	loadingBackoff = clock.Second
	// maxEvidenceAge is how old the evidence for an agent may be when a run is sent
	// to it: the agent refuses it somewhat later; see package permit.
	maxEvidenceAge = 1200 * clock.Milli
	// confirmInterval is the minimum time between two reads of the index that only
	// confirm evidence.
	confirmInterval = 40 * clock.Milli
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
	askAfter      clock.Millis // earliest time of the next state request
	asking        bool         // a state request is in progress
	unanswered    int          // state requests since the last answer
	slowUntil     clock.Millis // end of a transient slowdown, 0 for none
	steady        bool         // its streams run at their usual speed
	loading       bool
	startInterval clock.Millis // time between two runs that its rate limit allows, 0 for no limit
	startAt       clock.Millis // earliest start of the next run under the limit
	backoffUntil  clock.Millis
	staleUntil    map[string]clock.Millis // by model: it has no usable version until then
	evidence      permit.Evidence
}

func (w *Worker) engine(s *fleet.Server) *engine {
	e := w.knownEngine(s)
	w.engines[s.ID] = e
	return e
}

// knownEngine returns the state of an engine without keeping it.
func (w *Worker) knownEngine(s *fleet.Server) *engine {
	if e := w.engines[s.ID]; e != nil {
		return e
	}
	return &engine{slots: s.Slots, staleUntil: make(map[string]clock.Millis)}
}

// observeLeaving records that an agent reports its engine as leaving.
func (w *Worker) observeLeaving(s *fleet.Server, f *runs.Frame) {
	if f.EngineLeaving {
		w.Conf.RecordLeaving(s.ID, f.EngineStartedAt, "agent")
	}
}

// updateEngine records the state of an engine that its agent reported.
func (w *Worker) updateEngine(s *fleet.Server, f *runs.Frame) {
	e := w.engine(s)
	now := w.Clock.Now()
	w.lastReached, w.lostRuns = now, 0
	e.evidence.Observe(now, f.Now)
	e.otherRuns, e.slots, e.lastSeen = max(0, f.Running-e.ownRuns), f.Slots, now
	e.unanswered = 0
	e.eventInterval = f.Pace
	if f.Hiccup != (now < e.slowUntil) {
		w.Wake()
	}
	e.slowUntil = 0
	if f.Hiccup {
		e.slowUntil = now + slowdownTTL
	}
	e.steady, e.loading = f.Steady, f.Loading
	e.startInterval, e.startAt = f.StartInterval, now+f.StartIn
}

// runStarted records that this node sends a run to the engine. Until the agent's next
// frame says otherwise, no other run may start within the engine's rate limit.
func (e *engine) runStarted(now clock.Millis) {
	e.ownRuns++
	if e.startInterval > 0 {
		e.startAt = max(e.startAt, now) + e.startInterval
	}
}

// requestStates requests the states of as many engines with an outdated state as
// may be needed for the given items. It reports whether a job that has just started
// should wait for the answers.
func (w *Worker) requestStates(j *job, pool *sched.Pool, byID map[string]*fleet.Server, items []sched.Item, now clock.Millis) bool {
	if len(items) == 0 {
		return false
	}
	var known, outdated []*sched.Engine
	unconfirmed := false
	for _, candidate := range pool.Engines() {
		if candidate.Outdated {
			outdated = append(outdated, candidate)
			continue
		}
		known = append(known, candidate)
		unconfirmed = unconfirmed || !w.mayStart(w.engine(byID[candidate.ID]), now)
	}
	if unconfirmed {
		w.confirmEvidence(now)
	}
	if len(outdated) == 0 || w.stateFetches >= maxStateFetches && now-j.startedAt >= stateWaitTimeout {
		return false // There is nothing to ask for, or nothing can be asked now.
	}
	all := make([]sched.View, len(items))
	views := make([]*sched.View, len(items))
	for i, it := range items {
		all[i] = pool.View(it)
		views[i] = &all[i]
	}
	views = newPlaces(known).place(views, (*sched.View).Suits)
	waiting := false
	for _, a := range w.byLastAsked(outdated, byID) {
		if len(views) == 0 {
			break
		}
		isUnknown := func(v *sched.View) bool { return v.IsUnknown(a.engine) }
		if !slices.ContainsFunc(views, isUnknown) {
			continue
		}
		w.requestState(byID[a.engine.ID], j.model, now)
		waiting = waiting || a.state.asking
		if !a.engine.Silent { // Nobody waits for the answer of a silent agent.
			views = takeFirst(views, max(1, freeStarts(a.engine)), isUnknown)
		}
	}
	return waiting && now-j.startedAt < stateWaitTimeout
}

// askable is an engine whose agent may be asked for its state.
type askable struct {
	engine *sched.Engine
	state  *engine
}

// byLastAsked returns engines in the order in which their agents are asked: those that were
// not asked for longest come first. The random order of the others spreads the requests of
// several nodes.
func (w *Worker) byLastAsked(engines []*sched.Engine, byID map[string]*fleet.Server) []askable {
	out := make([]askable, len(engines))
	for i, e := range engines {
		out[i] = askable{e, w.engine(byID[e.ID])}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	slices.SortStableFunc(out, func(a, b askable) int { return cmp.Compare(a.state.lastAsked, b.state.lastAsked) })
	return out
}

// takeFirst removes the first n views that can take a slot. It changes the slice.
func takeFirst(views []*sched.View, n int, canTake func(*sched.View) bool) []*sched.View {
	left := views[:0]
	for i, v := range views {
		if n == 0 {
			return append(left, views[i:]...)
		}
		if canTake(v) {
			n--
			continue
		}
		left = append(left, v)
	}
	return left
}

// places are the engines with free slots and the number of runs that each can start.
type places struct {
	engines []*sched.Engine
	starts  []int
}

func newPlaces(engines []*sched.Engine) *places {
	p := &places{}
	for _, e := range engines {
		if n := freeStarts(e); n > 0 {
			p.engines, p.starts = append(p.engines, e), append(p.starts, n)
		}
	}
	return p
}

// place gives each item one of the free slots that it can take, and returns the views
// of the items for which there is none. It changes the slice.
func (p *places) place(views []*sched.View, canTake func(*sched.View, *sched.Engine) bool) []*sched.View {
	left := views[:0]
	for n, v := range views {
		if len(p.engines) == 0 {
			return append(left, views[n:]...)
		}
		i := slices.IndexFunc(p.engines, func(e *sched.Engine) bool { return canTake(v, e) })
		if i < 0 {
			left = append(left, v)
			continue
		}
		if p.starts[i]--; p.starts[i] == 0 {
			p.engines, p.starts = slices.Delete(p.engines, i, i+1), slices.Delete(p.starts, i, i+1)
		}
	}
	return left
}

// freeStarts returns how many items can start at an engine now.
func freeStarts(e *sched.Engine) int {
	free := max(0, e.Slots-e.Running)
	switch {
	case e.Loading, e.Limited && e.InBackoff:
		return 0
	case e.Limited:
		return min(1, free)
	}
	return free
}

// mayStart reports whether the agent of an engine is expected to start a run: this
// node can show that its jobs are still open. While the index can't be read, the
// agent may start runs without that.
func (w *Worker) mayStart(e *engine, now clock.Millis) bool {
	return !w.indexReadable || e.evidence.Age(now) <= maxEvidenceAge
}

// confirmEvidence reads the index to its end in the background, unless that is in
// progress or was done a short time ago.
func (w *Worker) confirmEvidence(now clock.Millis) {
	if w.confirming || now < w.confirmAfter || !w.indexReadable {
		return
	}
	w.confirming, w.confirmAfter = true, now+confirmInterval
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stateFetchTimeout.Duration())
		defer cancel()
		clock.Sleep(ctx, clock.Milli) // A read only confirms stamps of earlier milliseconds.
		if err := w.Jobs.Sync(ctx); err != nil {
			w.Log.Info().Err(err).Msg("work: reading the index before runs are sent failed")
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.confirming = false
		w.Wake()
	}()
}

// requestState requests the state of an engine in the background, unless a request
// to it is in progress, the last one was made a short time ago, or maxStateFetches
// requests to other engines are in progress.
func (w *Worker) requestState(s *fleet.Server, model string, now clock.Millis) {
	e := w.engine(s)
	if e.asking || now < e.askAfter || w.stateFetches >= maxStateFetches {
		return
	}
	e.asking, e.lastAsked = true, now
	w.stateFetches++
	go w.fetchState(s, model)
}

// fetchState reads the state of an engine from its agent.
func (w *Worker) fetchState(s *fleet.Server, model string) {
	ctx, cancel := context.WithTimeout(context.Background(), stateFetchTimeout.Duration())
	defer cancel()
	f, err := runs.FetchState(ctx, w.http, s.AgentAddr(w.AgentPort), model)
	if err == nil {
		w.observeLeaving(s, f)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engine(s)
	e.asking = false
	w.stateFetches--
	now := w.Clock.Now()
	if err != nil {
		w.lostRuns++
		w.Log.Info().Str("engine", s.ID).Str("addr", s.Addr).Int("unanswered", e.unanswered).Err(err).Msg("work: fetching an agent's state failed")
		interval := min(maxStateInterval, minStateInterval<<min(e.unanswered, 10))
		e.askAfter = now + interval/2 + rand.N(interval) //nolint:gosec // spreads out the requests of the nodes
		e.unanswered++
		return
	}
	e.askAfter = now + minStateInterval
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
