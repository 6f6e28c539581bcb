package work

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/share"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/node/jobs"
)

const (
	// planInterval is how often the demand is compared with the current plan.
	planInterval = clock.Second
	// minPlanInterval is the minimum time between two plans: engines that change
	// their model have to load its weights.
	minPlanInterval = 10 * clock.Second
	// A new plan is published only if it changes the model of more than one in
	// planToleranceDivisor engines: training steps differ in size by chance.
	planToleranceDivisor = 10
)

// RunPlanner publishes the demand for each model when it differs enough from the
// published one (see quotasDiffer), at most once in minPlanInterval, until the
// context ends. Normally a single node publishes. If two nodes do, all readers
// still use the same demand: the one that was published last.
func (w *Worker) RunPlanner(ctx context.Context) {
	publishedAt := clock.Millis(0)
	clock.Every(ctx, planInterval, func() {
		demand, isPublisher := w.demand()
		now := w.Clock.Now()
		if !isPublisher || len(demand) == 0 || !w.quotasDiffer(demand) || publishedAt > 0 && now-publishedAt < minPlanInterval {
			return
		}
		publishedAt = now
		publishCtx, cancel := context.WithTimeout(ctx, jobs.FailureTimeout.Duration())
		defer cancel()
		err := w.Jobs.PublishDemand(publishCtx, demand)
		w.Log.Info().Interface("demand", demand).Err(err).Msg("work: demand published")
	})
}

// demand returns the demand for each model and whether this node publishes it.
func (w *Worker) demand() (map[string]int64, bool) {
	var demand map[string]int64
	isPublisher := false
	w.Jobs.View(func(ix *joblog.Index, fresh bool) {
		publisher, ok := spread.Owner("plan", nodeIDs(ix.LiveNodes(w.Clock.Now(), jobs.FailureTimeout, jobs.IdleFailureTimeout)))
		isPublisher = fresh && ok && string(publisher) == w.Self.Name
		demand = ix.Demand()
	})
	return demand, isPublisher
}

// quotasDiffer reports whether, in any service, a demand changes the model of at
// least two engines and of more than one in planToleranceDivisor, compared with the
// published demand. It returns true if none was published yet. Services that have
// a model without demand are skipped.
func (w *Worker) quotasDiffer(demand map[string]int64) bool {
	cfg := w.Conf.Config()
	if cfg == nil {
		return false
	}
	for service, models := range cfg.Models() {
		n := len(w.Conf.Servers().ByService(service))
		known := true
		for _, m := range models {
			known = known && demand[m] > 0
		}
		if !known {
			continue
		}
		if len(w.Conf.Demand()) == 0 ||
			reassignedEngines(share.Quotas(n, models, demand), share.Quotas(n, models, w.Conf.Demand())) > max(1, n/planToleranceDivisor) {
			return true
		}
	}
	return false
}

// reassignedEngines returns how many engines change their model between two plans.
// The arguments are the number of engines of each model.
func reassignedEngines(to, from map[string]int) int {
	n := 0
	for m, q := range to {
		n += max(0, q-from[m])
	}
	return n
}
