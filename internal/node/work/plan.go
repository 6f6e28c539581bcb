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
	// planEach is how often the demand is compared with the plan in force.
	planEach = clock.Second
	// planKeep is how long a plan stays in force at least: engines that change
	// their model have to load its version.
	planKeep = 10 * clock.Second
	// planSlack is one in how many engines may have another model than the
	// demand asks for; steps differ in size by chance.
	planSlack = 10
)

// RunPlanner publishes the demand of the models when it gives them other quotas than
// the plan in force, until the context ends. One node does so at a time; two
// that both do are harmless, since the last plan counts and is the same for
// all readers.
func (w *Worker) RunPlanner(ctx context.Context) {
	last := clock.Millis(0)
	clock.Every(ctx, planEach, func() {
		demand, mine := w.demand()
		now := w.Clock.Now()
		if !mine || len(demand) == 0 || !w.differs(demand) || last > 0 && now-last < planKeep {
			return
		}
		last = now
		put, cancel := context.WithTimeout(ctx, jobs.FailureTimeout.Duration())
		defer cancel()
		err := w.Jobs.PublishDemand(put, demand)
		w.Log.Info().Interface("demand", demand).Err(err).Msg("work: plan published")
	})
}

// demand returns the demand of the models and whether this node publishes it.
func (w *Worker) demand() (map[string]int64, bool) {
	var demand map[string]int64
	mine := false
	w.Jobs.View(func(ix *joblog.Index, fresh bool) {
		first, ok := spread.Owner("plan", nodes(ix.LiveNodes(w.Clock.Now(), jobs.FailureTimeout)))
		mine = fresh && ok && string(first) == w.Self.Name
		demand = ix.Demand()
	})
	return demand, mine
}

// differs reports whether a demand leads to other quotas than the plan.
func (w *Worker) differs(demand map[string]int64) bool {
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
		if len(w.Conf.Demand()) == 0 || moved(share.Quotas(n, models, demand), share.Quotas(n, models, w.Conf.Demand())) > max(1, n/planSlack) {
			return true
		}
	}
	return false
}

// moved returns how many engines change their model from one plan to another.
func moved(to, from map[string]int) int {
	n := 0
	for m, q := range to {
		n += max(0, q-from[m])
	}
	return n
}
