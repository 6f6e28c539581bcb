package work

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/decide/sched"
	"github.com/jujuberamp/jujuberamp/internal/decide/share"
)

// EngineView is an engine as this node sees it for one item.
type EngineView struct {
	sched.Engine
	Server  *fleet.Server
	Verdict sched.Verdict
	Unknown bool                        // its agent has to be asked for its state first
	Age     option.Option[clock.Millis] // of its state
}

// Explanation says which engine may take the next item of a job or a model.
type Explanation struct {
	Version    int64 // of the configuration
	Route      *router.Route
	Service    string
	Model      string
	Engines    []EngineView
	Best       string // ID of the engine that would take the item, empty if it would wait
	StartsOver bool   // the item would drop its output there

	Job       string // empty for a model
	Owner     joblog.Node
	OwnerAddr string
	Own       bool // this node runs the job; if not, the explanation has no item and no engines
	Open      bool
	Left      int // items without a result
	Running   int // items in progress
	Item      string
	Progress  sched.Item   // of the item
	Waited    clock.Millis // since the item could have started
}

// ExplainModel returns which engine may take the next item of a model, for a job of a host
// and path. The length is that of the item's output in tokens, 0 if it is not known.
func (w *Worker) ExplainModel(host, path, model string, tokens int) (*Explanation, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := &job{host: host, path: path, model: model, minVersion: w.Conf.Version(model)}
	e := &Explanation{Model: model}
	perEvent, err := w.explainRoute(e, j)
	if err != nil {
		return nil, err
	}
	models, _ := w.serviceOf(e.Service)
	if !slices.Contains(models, model) {
		return nil, fault.New(fault.NotFound, "service "+e.Service+" has no model "+model)
	}
	now := w.Clock.Now()
	pool, byID := w.poolOf(now, e.Service, j)
	w.explainEngines(e, now, pool, byID, sched.Item{ExpectedEvents: tokens / perEvent})
	return e, nil
}

// ExplainJob returns which engine may take the next item of a job.
func (w *Worker) ExplainJob(id string) (*Explanation, error) {
	e := &Explanation{Job: id}
	known := false
	w.Jobs.View(func(ix *joblog.Index, _ bool) {
		if j := ix.Job(id); j != nil {
			known = true
			e.Owner, e.OwnerAddr, e.Open, e.Model = j.Owner, ix.Addr(j.Owner.Name), j.IsOpen(), j.Model
			e.Left = len(j.ItemIDs) - len(j.Results)
		}
	})
	if !known {
		return nil, fault.New(fault.NotFound, "this entry knows no job "+id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if e.Own = j != nil; !e.Own {
		return e, nil
	}
	perEvent, err := w.explainRoute(e, j)
	if err != nil {
		return nil, err
	}
	e.Running = j.inProgress()
	now := w.Clock.Now()
	var next []sched.Item
	if j.items != nil {
		next = j.startable(now, perEvent)
	}
	for i := range next {
		next[i].AcceptedAt, next[i].DueAfter = j.acceptedAt, e.Route.DueAfter
	}
	item := sched.Item{}
	pool, byID := w.poolOf(now, e.Service, j)
	if len(next) > 0 {
		sched.Sort(next, pool.MedianInterval())
		item = next[0]
		e.Item, e.Progress, e.Waited = j.items[item.Index].ID, item, now-j.waitsSince(item.Index)
	}
	w.explainEngines(e, now, pool, byID, item)
	return e, nil
}

// explainRoute adds the route of a job, and returns the tokens in an event. The caller holds
// the lock.
func (w *Worker) explainRoute(e *Explanation, j *job) (int, error) {
	if e.Route, e.Service = w.route(j); e.Route == nil {
		return 0, fault.New(fault.NotFound, "no route takes jobs for "+j.host+j.path)
	}
	e.Version = w.Conf.Config().Version()
	_, perEvent := w.serviceOf(e.Service)
	return perEvent, nil
}

// poolOf returns the engines for a job, of which it keeps no state.
func (w *Worker) poolOf(now clock.Millis, service string, j *job) (*sched.Pool, map[string]*fleet.Server) {
	models, tokensPerEvent := w.serviceOf(service)
	engines := w.Conf.Servers().ByService(service)
	like := &job{model: j.model, minVersion: j.minVersion}
	like.setCandidates(engines, share.Assign(engines, models, w.Conf.Demand()))
	pool := w.pool(now, like, w.knownEngine)
	pool.SetMeanEvents((&jobPlan{job: j, tokensPerEvent: tokensPerEvent}).meanEvents())
	return pool, like.byID
}

// explainEngines adds the engines as an item sees them, the best one first.
func (w *Worker) explainEngines(e *Explanation, now clock.Millis, pool *sched.Pool, byID map[string]*fleet.Server, item sched.Item) {
	if best := pool.Best(item); best != nil {
		e.Best = best.ID
	} else if best = pool.BestToStartOver(item); best != nil {
		e.Best, e.StartsOver = best.ID, true
	}
	view := pool.View(item)
	for _, engine := range pool.Engines() {
		v := EngineView{Engine: *engine, Server: byID[engine.ID], Verdict: view.Verdict(engine), Unknown: view.IsUnknown(engine)}
		if seen := w.knownEngine(v.Server).lastSeen; seen > 0 {
			v.Age = option.Some(now - seen)
		}
		e.Engines = append(e.Engines, v)
	}
	slices.SortStableFunc(e.Engines, func(a, b EngineView) int {
		switch e.Best {
		case a.ID:
			return -1
		case b.ID:
			return 1
		}
		return cmp.Or(cmp.Compare(b.Verdict, a.Verdict), cmp.Compare(a.ID, b.ID))
	})
}
