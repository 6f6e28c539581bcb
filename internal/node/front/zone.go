package front

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/zones"
)

// chooseServer picks a server that is not excluded. It prefers the zone to which the request
// goes by the shares of its kind, if the settings declare costs (rule 12).
func (c *requestState) chooseServer(excluded map[string]bool) *fleet.Server {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now, kind, servers := p.Clock.Now(), c.kind(), p.Conf.Servers().ByService(c.service)
	if !p.hasZoneCosts() {
		return p.balancer.Choose(now, servers, excluded, nil)
	}
	draw := p.drawZone(now, kind, c.route.LatencyTarget, servers)
	if len(draw.Changed) > 0 {
		p.logShares(kind, draw.Changed)
	}
	s := p.balancer.Choose(now, servers, excluded, func(zone string) float64 {
		return p.zones.WayCost(kind, draw.Zone, zone)
	})
	if s != nil {
		p.zones.Sent(kind, draw.Zone, s.Zone)
	}
	return s
}

// drawZone returns the zone for a request. The caller holds the lock.
func (p *Proxy) drawZone(now clock.Millis, kind zones.Kind, target clock.Millis, servers []*fleet.Server) zones.Draw {
	var capacities []zones.Server
	if p.zones.Due(now, kind) {
		capacities = p.balancer.Capacities(now, servers)
	}
	return p.zones.Choose(now, kind, target, capacities)
}

// hasZoneCosts reports whether the settings declare costs of traffic between zones.
func (p *Proxy) hasZoneCosts() bool { return p.Locality.Costs != (zones.Costs{}) }

func (c *requestState) kind() zones.Kind { return zones.Kind{Service: c.service, Route: c.route.Name} }

func (p *Proxy) logShares(k zones.Kind, shares []zones.Share) {
	event := p.Log.Info().Str("service", k.Service).Str("route", k.Route)
	for _, s := range shares {
		event = event.Float64("share-"+s.Zone, s.Part)
	}
	event.Msg("front: shares of the zones changed")
}

// startAttemptIn records that an attempt at a server in a zone started.
func (c *requestState) startAttemptIn(s *fleet.Server, now clock.Millis) {
	p := c.proxy
	p.ObserveZone(s.Zone)
	if !p.hasZoneCosts() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones.Start(now, c.kind(), s.Zone)
}

// finishAttemptIn records how an attempt ended.
func (c *requestState) finishAttemptIn(a *attempt, startedAt clock.Millis, o pick.Outcome) {
	p := c.proxy
	p.finishAttempt(a.server.ID, startedAt, o)
	if !p.hasZoneCosts() {
		return
	}
	e := zones.Ended{Bytes: len(c.req.Body) + len(a.body), Known: o != pick.Canceled, Failed: o != pick.Served}
	if a.response != nil && !a.complete {
		e.Bytes = len(c.req.Body) + max(len(a.body), int(a.response.ContentLength))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones.End(p.Clock.Now(), c.kind(), a.server.Zone, startedAt, e)
}
