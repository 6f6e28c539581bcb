package front

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/admit"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
)

const (
	// maxWaitShare is the share of the latency objective for which a client's request waits
	// for a place at most, so that a refusal leaves the client time to try again.
	maxWaitShare = 0.25
	// maxOwnWait is how long a call of the system's own waits for a place before its caller
	// looks again whether the call is still wanted.
	maxOwnWait = clock.Second
)

// Places admits requests to services with fewer places than are asked for; see package
// places.
type Places interface {
	Enter(ctx context.Context, service string, a admit.Ask) *admit.Ticket
	Retry(service string, a admit.Ask) *admit.Ticket
	RetryAfter(service string, deadline clock.Millis) clock.Millis
	Scarce(service string) bool
	Start(service, server string, a admit.Ask)
	End(service, server string, a admit.Ask, e admit.Ended)
	// Trial returns places that decide as these do from now on, and leave these as they are.
	// A request that would have to wait is refused there.
	Trial() TrialPlaces
}

// TrialPlaces are [Places] of which nothing is kept.
type TrialPlaces interface {
	Places
	// View returns what is known about the places of a service.
	View(service string) admit.View
	// Wait returns the expected wait of the last request that entered, if it would wait.
	Wait() option.Option[clock.Millis]
}

// place is the state of a request's place (rule 11).
type place struct {
	ask      admit.Ask
	needed   bool          // the service is one whose places are counted
	reserved *admit.Ticket // for the next attempt, nil for none
	refused  bool          // no place was to be had
	waited   clock.Millis  // for the place
	wait     clock.Millis  // after which the client should return
}

// countsPlaces reports whether the servers of a service are plain ones that state how
// many requests they serve at once.
func (c *requestState) countsPlaces() bool {
	p := c.proxy
	if p.Places == nil {
		return false
	}
	if s := p.Conf.Config().Service(c.service); s != nil && (s.Slots > 0 || len(s.Models) > 0) {
		return false
	}
	servers := p.Conf.Servers().ByService(c.service)
	for _, s := range servers {
		if s.Slots == 0 {
			return false
		}
	}
	return len(servers) > 0
}

// enter waits until the request may start, and returns an error if it is refused. The
// context ends when the client leaves.
func (c *requestState) enter(ctx context.Context) (string, error) {
	if c.place.needed = c.countsPlaces(); !c.place.needed {
		return "", nil
	}
	c.place.ask = admit.Ask{
		Group:       admit.Group{Rank: c.proxy.Conf.Config().Priority(c.route, c.req.Workspace), Workspace: c.req.Workspace},
		Kind:        c.route.Name,
		Deadline:    c.deadline,
		LatestStart: c.startedAt + (c.deadline-c.startedAt)/2,
		InTimeBy:    clock.Never,
		Choose:      c.choosePlace,
	}
	a := &c.place.ask
	switch {
	case c.own:
		a.LatestStart = c.startedAt + maxOwnWait
		if u, ok := c.req.For.Get(); ok {
			a.Group, a.DueBy = admit.Group{Rank: u.Rank, Workspace: u.Workspace}, u.DueBy
		}
	case c.route.LatencyTarget > 0:
		a.InTimeBy = c.startedAt + c.route.LatencyTarget
		a.LatestStart = min(a.LatestStart, c.startedAt+clock.Millis(maxWaitShare*float64(c.route.LatencyTarget)))
	}
	t := c.proxy.Places.Enter(ctx, c.service, *a)
	c.place.waited = c.proxy.Clock.Now() - c.startedAt
	if t.State() == admit.Started {
		c.place.reserved = t
		return "", nil
	}
	if hasClientLeft(ctx) {
		return "client-left", fault.New(fault.Canceled, "the client left")
	}
	c.place.refused, c.place.wait = true, t.RetryAfter()
	return c.respondNoPlace()
}

// respondNoPlace refuses the request, which has not run.
func (c *requestState) respondNoPlace() (string, error) {
	return "no-place", fault.New(fault.Overloaded, "all places of "+c.service+" are taken").WithRetryAfter(c.place.wait)
}

// choosePlace returns the server for the next attempt among those with a place for it.
func (c *requestState) choosePlace(hasPlace func(string) bool) string {
	excluded := c.excludedServers()
	for _, s := range c.proxy.Conf.Servers().ByService(c.service) {
		if !hasPlace(s.ID) {
			excluded[s.ID] = true
		}
	}
	if s := c.chooseServer(excluded); s != nil {
		return s.ID
	}
	return ""
}

// takePlace returns the server at which the next attempt has a place. It returns false if
// the attempt may start at any server, and nil if it may not start.
func (c *requestState) takePlace(ctx context.Context) (*fleet.Server, bool) {
	if !c.place.needed {
		return nil, false
	}
	t := c.place.reserved
	c.place.reserved = nil
	if t == nil {
		if !c.proxy.Places.Scarce(c.service) {
			return nil, false
		}
		// Retries and hedges share one budget, so that they don't keep up an overload.
		if !c.proxy.withdrawHedgeBudget() {
			c.noPlace()
			return nil, true
		}
		if t = c.proxy.Places.Retry(c.service, c.place.ask); t.State() != admit.Started {
			c.noPlace()
			return nil, true
		}
	}
	id := t.Server()
	if id == "" {
		return nil, false
	}
	s := c.proxy.Conf.Servers().ByID(id)
	if s == nil || !c.proxy.takesWork(s) || !c.mayStartAt(ctx, s) {
		c.proxy.Places.End(c.service, id, c.place.ask, admit.Ended{Outcome: admit.Canceled})
		c.noPlace()
		return nil, true
	}
	return s, true
}

func (c *requestState) noPlace() {
	c.place.refused = true
	c.place.wait = c.proxy.Places.RetryAfter(c.service, c.deadline)
}

// mayStartAt acquires a start at a server that limits the rate of requests (rule 6).
func (c *requestState) mayStartAt(ctx context.Context, s *fleet.Server) bool {
	if !c.proxy.Rates.IsLimited(s) {
		return true
	}
	wait, ok := c.proxy.Rates.Acquire(ctx, s, c.maxRateWait())
	if !ok {
		c.rateWait = wait
		return false
	}
	return clock.Sleep(ctx, wait)
}

// releasePlace gives back a place that no attempt has used.
func (c *requestState) releasePlace() {
	if t := c.place.reserved; t != nil && t.Server() != "" {
		c.proxy.Places.End(c.service, t.Server(), c.place.ask, admit.Ended{Outcome: admit.Canceled})
	}
	c.place.reserved = nil
}

// startPlace records that an attempt without a reserved place starts.
func (c *requestState) startPlace(s *fleet.Server) {
	if c.place.needed {
		c.proxy.Places.Start(c.service, s.ID, c.place.ask)
	}
}

// endPlace records the end of an attempt. An attempt that failed without an answer counts
// as refused, since servers reset connections when they have too many.
func (c *requestState) endPlace(a *attempt, startedAt clock.Millis, o pick.Outcome) {
	if !c.place.needed {
		return
	}
	e := admit.Ended{
		Outcome: admit.Canceled,
		Took:    c.proxy.Clock.Now() - startedAt,
		Travel:  c.proxy.Locality.RoundTrip(a.server.Zone),
	}
	switch {
	case o == pick.Served:
		e.Outcome = admit.Served
	case o == pick.Refused, o == pick.Failed && a.err != nil:
		e.Outcome = admit.Refused
	}
	c.proxy.Places.End(c.service, a.server.ID, c.place.ask, e)
}
