package replay

import (
	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
)

// applyClass fills in the matcher's item from the work and its class, as
// package calls does.
func applyClass(work *workItem, c class.Class) {
	it := &work.item
	it.Class, it.Service, it.Prefix = work.class, work.service, work.prefix
	it.Round = work.round != nil
	if c.Name() == "" {
		return
	}
	it.Service = c.Service()
	it.StartBy = work.arrivedAt + c.Waiting()
	it.FinishBy = work.arrivedAt + c.Lateness()
	it.MaxTokens = c.MaxTokens()
	it.AtMostOnce = !c.Kind().IsIdempotent()
}

// prepareRetry marks an item as a retry that avoids the server of its last
// attempt.
func prepareRetry(work *workItem, a *attempt, res match.Result) {
	work.item.Avoid = sets.Of(a.server.node)
	work.item.Retry = true
	work.item.Requeued = res.Outcome == match.Refused
}
