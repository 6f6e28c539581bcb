package work

import (
	"cmp"
	"slices"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/decide/sched"
	"github.com/jujuberamp/jujuberamp/internal/decide/share"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
)

const (
	// maxMigrations limits the migrations of one item: an engine has a transient
	// slowdown about once in four seconds, and the longest items take eight.
	maxMigrations = 8
	// migrationInterval is the minimum time between two migrations of an item. It
	// prevents an item from going back and forth between two slow engines.
	migrationInterval = 250 * clock.Milli
	// waitLogInterval is the minimum time between two log lines of a job about what its
	// items wait for.
	waitLogInterval = clock.Second
	// minUnanswered is the number of requests for its state that an agent leaves
	// unanswered before nothing waits for it: a single one may be lost on the way.
	minUnanswered = 2
)

// route returns the route of a job and the service that runs the job's items.
func (w *Worker) route(j *job) (*router.Route, string) {
	cfg := w.Conf.Config()
	if cfg == nil {
		return nil, ""
	}
	r := cfg.Find(j.host, j.path)
	if r == nil || r.Kind != router.Rollout {
		return nil, ""
	}
	return r, r.Pick(0)
}

// assign starts pending items on engines and migrates items away from slow
// engines.
func (w *Worker) assign() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.assigningStopped {
		return
	}
	now := w.Clock.Now()
	view := w.Conf.Servers()
	w.pruneEngines(view)
	ready := make([]*job, 0, len(w.jobs))
	for _, j := range w.jobs {
		if j.items != nil {
			ready = append(ready, j)
		}
	}
	slices.SortFunc(ready, func(a, b *job) int { return cmp.Or(cmp.Compare(a.acceptedAt, b.acceptedAt), cmp.Compare(a.id, b.id)) })
	var plans []*jobPlan
	var items []sched.Item
	interval := 0.0
	for _, j := range ready {
		p := w.planJob(now, view, j)
		if p == nil {
			continue
		}
		j.urgency = option.Some(front.Urgency{
			Rank: w.Conf.Config().Priority(p.route, j.workspace), Workspace: j.workspace, DueBy: j.acceptedAt + p.route.DueAfter,
		})
		interval = max(interval, p.pool.MedianInterval())
		for _, it := range p.startable {
			it.JobIndex, it.AcceptedAt, it.DueAfter = len(plans), j.acceptedAt, p.route.DueAfter
			items = append(items, it)
		}
		plans = append(plans, p)
	}
	sched.Sort(items, interval)
	waiting := make(map[string]int) // by model
	for _, it := range items {
		p := plans[it.JobIndex]
		it.Ahead = waiting[p.job.model]
		st := &p.job.states[it.Index]
		e := p.pool.Best(it)
		if e == nil {
			if e = p.pool.BestToStartOver(it); e != nil {
				w.startOver(p.job, it, e)
			}
		}
		if e == nil {
			p.waiting = append(p.waiting, it)
			waiting[p.job.model]++
			continue
		}
		for _, other := range plans {
			if same := other.engine(e.ID); same != nil {
				same.Running++
				same.InBackoff = same.InBackoff || same.Limited
			}
		}
		st.phase, st.current = inFlight, nil
		st.current = w.startAttempt(p.job, it.Index, p.route, p.byID[e.ID])
	}
	for _, p := range plans {
		w.logWaiting(p, now)
		if !p.route.SingleVersion {
			w.migrate(p, now)
		}
	}
}

// startOver drops the output of an item that goes to an engine with other software. The
// caller holds the lock.
func (w *Worker) startOver(j *job, it sched.Item, e *sched.Engine) {
	w.Count("items", "started-over")
	w.Log.Info().Str("job", j.id).Str("item", j.items[it.Index].ID).Str("engine", e.ID).Str("from-software", it.Software).
		Str("to-software", e.Software).Int("events", it.Received).Int64("waited-ms", int64(it.WaitingFor)).
		Msg("work: item starts over, no engine of its software is free")
	j.states[it.Index].dropOutput()
}

// jobPlan is a job with the engines that can run it, for one call of assign.
type jobPlan struct {
	job            *job
	route          *router.Route
	pool           *sched.Pool
	byID           map[string]*fleet.Server // the servers of its engines
	tokensPerEvent int
	startable      []sched.Item
	waiting        []sched.Item // pending items that no engine may take now
}

// engine returns the engine with an ID in the pool, nil if there is none.
func (p *jobPlan) engine(id string) *sched.Engine {
	if i, ok := p.job.positions[id]; ok {
		return p.pool.Engines()[i]
	}
	return nil
}

// isWantedByWaiting reports whether an item of the job that waits can take a slot of an
// engine.
func (p *jobPlan) isWantedByWaiting(e *sched.Engine) bool {
	return slices.ContainsFunc(p.waiting, func(it sched.Item) bool {
		view := p.pool.View(it)
		return view.Suits(e)
	})
}

// logWaiting logs what the item of a job waits for that has waited longest, if that is
// longer than a request for an agent's state may take.
func (w *Worker) logWaiting(p *jobPlan, now clock.Millis) {
	j := p.job
	if len(p.waiting) == 0 || now-j.waitLoggedAt < waitLogInterval {
		return
	}
	longest, since := -1, now
	for n, it := range p.waiting {
		if s := j.waitsSince(it.Index); s < since {
			longest, since = n, s
		}
	}
	if longest < 0 || now-since < stateFetchTimeout {
		return
	}
	j.waitLoggedAt = now
	it := p.waiting[longest]
	view := p.pool.View(it)
	engines, unknown := view.Count()
	w.Log.Info().Str("job", j.id).Str("item", j.items[it.Index].ID).Int64("waited-ms", int64(now-since)).Int("waiting", len(p.waiting)).
		Interface("engines", engines).Int("unknown", unknown).Str("avoids", strings.Join(it.Avoid.Sorted(), ", ")).Int("events", it.Received).Str("software", it.Software).
		Msg("work: item waits for an engine")
}

// longestRemaining returns the number of events that the longest unfinished item
// of the job still needs.
func (p *jobPlan) longestRemaining() float64 {
	longest := 0.0
	for i := range p.job.states {
		if st := &p.job.states[i]; st.phase == pending || st.phase == inFlight {
			longest = max(longest, sched.Remaining(p.job.items[i].LengthHint/p.tokensPerEvent, st.eventCount()))
		}
	}
	return longest
}

// meanEvents returns the mean number of events of the job's items, 0 if it has none.
func (p *jobPlan) meanEvents() float64 {
	sum := 0.0
	for i := range p.job.items {
		sum += sched.Remaining(p.job.items[i].LengthHint/p.tokensPerEvent, 0)
	}
	return sum / float64(max(1, len(p.job.items)))
}

// planJob returns the plan of a job, or nil if the job can't run now.
func (w *Worker) planJob(now clock.Millis, view *fleet.View, j *job) *jobPlan {
	r, service := w.route(j)
	if r == nil {
		return nil
	}
	if r.ItemTimeout > 0 && now-j.acceptedAt > r.ItemTimeout {
		w.expire(j)
		return nil
	}
	models, tokensPerEvent := w.serviceOf(service)
	j.tokensPerEvent = tokensPerEvent
	p := &jobPlan{job: j, route: r, tokensPerEvent: tokensPerEvent}
	engines := view.ByService(service)
	if w.shares[service] == nil {
		w.shares[service] = &share.Cache{}
	}
	j.setCandidates(engines, w.shares[service].Assign(engines, models, w.Conf.Demand()))
	p.pool, p.byID = w.pool(now, j, w.engine), j.byID
	p.pool.SetMeanEvents(p.meanEvents())
	p.startable = j.startable(now, p.tokensPerEvent)
	if w.requestStates(j, p.pool, p.byID, p.startable, now) {
		return nil // The answers wake the worker up.
	}
	return p
}

// serviceOf returns the models of a service and the tokens in an event of its streams.
func (w *Worker) serviceOf(service string) (models []string, tokensPerEvent int) {
	if s := w.Conf.Config().Service(service); s != nil {
		return s.Models, max(1, s.TokensPerEvent)
	}
	return nil, 1
}

// pool returns the candidates of a job with their present state, which the function returns.
func (w *Worker) pool(now clock.Millis, j *job, stateOf func(*fleet.Server) *engine) *sched.Pool {
	states := make([]sched.Engine, len(j.candidates))
	engines := make([]*sched.Engine, len(j.candidates))
	for i, s := range j.candidates {
		e := stateOf(s)
		slots := e.slots
		if slots == 0 {
			slots = s.Slots
		}
		recent, stale := now-e.lastSeen <= migrationStateTTL, now < e.staleUntil[j.model]
		loading := e.loading && now-e.lastSeen < loadingBackoff
		states[i] = sched.Engine{
			ID: s.ID, Running: e.ownRuns + e.otherRuns, Slots: slots, EventInterval: e.eventInterval, UsualInterval: e.usualInterval,
			RoundTrip: w.Locality.RoundTrip(s.Zone), PricePerKB: w.Locality.PricePerKB(s.Zone), Software: s.Software,
			SlowNow:   now < e.slowUntil,
			SteadyNow: e.steady && recent,
			Fresh:     recent,
			Unproven:  !w.mayStart(e, now),
			Limited:   e.startInterval > 0,
			Loading:   stale || loading,
			Outdated:  now-e.lastSeen >= stateTTL,
			Silent:    e.unanswered >= minUnanswered,
			InBackoff: now < e.backoffUntil || stale || now < e.startAt || loading,
		}
		engines[i] = &states[i]
	}
	return sched.New(engines)
}

// migrate starts the rest of items on engines that are free and faster than the
// current one.
func (w *Worker) migrate(p *jobPlan, now clock.Millis) {
	j := p.job
	longest := p.longestRemaining()
	for i := range j.states {
		st := &j.states[i]
		if st.current == nil || st.successor != nil || st.migrations >= maxMigrations || now < st.migrateAt {
			continue
		}
		if len(st.current.events) == 0 && !st.current.stalled {
			continue // Its engine has yet to show how it runs this item.
		}
		current := p.engine(st.current.server.ID)
		if current == nil {
			continue
		}
		item := sched.Item{
			AcceptedAt: j.acceptedAt, DueAfter: p.route.DueAfter, ExpectedEvents: j.items[i].LengthHint / p.tokensPerEvent, Received: st.eventCount(),
			Stalled: st.current.stalled, Avoid: st.avoided(now, j.candidates),
		}
		m, ok := p.pool.Move(now, current, item, longest)
		to := m.To
		if !ok || item.Avoid.Has(to.ID) || p.isWantedByWaiting(to) {
			continue
		}
		if !to.Fresh {
			w.requestState(p.byID[to.ID], j.model, now) // The answer wakes the worker up.
			continue
		}
		if to.Unproven {
			w.confirmEvidence(now)
			continue
		}
		to.Running++ // One slot less in this pass.
		st.migrations++
		st.migrateAt = now + migrationInterval
		st.successor = w.startAttempt(j, i, p.route, p.byID[to.ID])
		st.successor.move = m
	}
}
