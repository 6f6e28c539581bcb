package replay

import (
	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
)

// fit fills in what the class says of an item, as package calls does.
func fit(wk *work, c class.Class) {
	it := &wk.item
	it.Class, it.Service, it.Prefix = wk.class, wk.service, wk.prefix
	it.Round = wk.player != nil
	if c.Name() == "" {
		return
	}
	it.Service = c.Service()
	it.StartBy = wk.arrived + c.Waiting()
	it.FinishBy = wk.arrived + c.Lateness()
	it.MaxTokens = c.MaxTokens()
	it.AtMostOnce = !c.Kind().IsIdempotent()
}

// again prepares an item for another attempt.
func again(wk *work, r *run, res match.Result) {
	wk.item.Avoid = sets.Of(r.s.node)
	wk.item.Retry = true
	wk.item.Requeued = res.Outcome == match.Refused
}
