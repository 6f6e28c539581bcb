// Package zones decides which share of an entry's requests leaves its zone, and to which
// zones they go.
//
//  1. Each kind of work, a route to a service, has its own shares. They change by steps at
//     intervals, and [Policy.Choose] spreads the requests between two steps exactly by them.
//  2. The gain of a zone is the expected response time in this zone, less that in the other
//     zone and less the price of the bytes, as a share of the route's latency objective. The
//     expected response time is measured by this entry and includes the round trip; the age
//     of requests in flight counts while they take longer than those that ended. A
//     measurement decays toward what an idle zone would take.
//  3. The share of a zone grows in proportion to its gain, between the gain at which leaving
//     starts to pay and the gain at which it pays for all that the zone can take.
//  4. A zone takes at most its part of the capacity of all zones, by the speed of its
//     servers, less room for its own callers. So entries that decide at once on old views
//     never send it more than this part of their requests.
//  5. A share changes by bounded steps, and not at all for a small difference. It starts at
//     a higher gain than it ends at.
//  6. A zone that was never measured, or whose servers have just come back, gets a small
//     part of what it could take.
//  7. A zone whose servers all leave, fail or are no longer listed gets nothing from the next
//     step on. If that is this entry's own zone, its requests go to the nearest zones in
//     proportion to their capacity. When it is back, they return by bounded steps.
//  8. A single request leaves the zone that it was drawn for if it gains much, or if no
//     server there takes it. While this entry's own requests fill that zone, any gain that
//     is worth the price is enough. Those that leave for a gain count in the bound of rule 4.
//
// # Usage
//
//	p := zones.New(locality, rand.NewPCG(seed, 0))
//	draw := p.Choose(now, kind, target, servers)
//	cost := p.WayCost(kind, draw.Zone, zone)
//	p.Sent(kind, draw.Zone, zone)
//	p.Start(now, kind, zone)
//	p.End(now, kind, zone, startedAt, zones.Ended{...})
package zones

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	// Steps are slow against the time until an entry sees their effect, about half a second:
	// a share overshoots by the steps in this time, some 15% of what the zone can take.
	// Shares fall slower than they rise, since a queue in this zone costs its callers more
	// than a round trip.
	stepInterval = 200 * clock.Milli
	stepUp       = 0.06 // part of what a zone can take
	stepDown     = 0.03 // part of what a zone can take
	stepBack     = 0.25 // part of a share that is larger than what the zone can take
	// A share falls by slowDown of the usual steps when it is within neededMargin of the share
	// at which a queue last came back, for as long as demand is likely to stay as it is.
	slowDown     = 0.1
	neededMargin = 0.3
	neededTime   = 20 * clock.Second
	leastShare   = 0.001 // shares below are zero
	reportStep   = 0.05  // change of a share that is reported
	// Callers notice a tenth of their objective. At half of it, the objective is at risk.
	startGain = 0.1
	endGain   = 0.05
	fullGain  = 0.5
	// overflowGain is the gain at which a single request leaves whatever the shares are, unless
	// it is certain to wait. It is twice that of a share, since the load of one moment follows
	// chance.
	overflowGain = 2 * startGain
	maxOverflow  = 2.0 // requests that may leave at once
	// roomForOwn is the part of a zone's capacity that others leave to its own callers: a
	// zone must bear one more caller in four without help.
	roomForOwn = 0.2
	// coldPart bounds the share of a zone for coldTime after its servers were listed or took
	// work again, in which they fill their caches.
	coldPart = 0.1
	coldTime = 3 * clock.Second

	ewmaWeight          = 0.2              // of a response time
	decayTimeConstant   = 2 * clock.Second // of measurements
	idleTimeConstant    = 30 * clock.Second
	defaultResponseTime = 20.0         // ms, while no response time is known
	defaultTarget       = clock.Second // of routes without a latency objective
)

// Kind is a kind of work, which has response times of its own.
type Kind struct {
	Service string
	Route   string
}

// Server is what the policy has to know about a server.
type Server struct {
	Zone     string
	Slots    int
	Capacity float64 // requests a ms; 0 if it takes no work
}

// Share is the share of requests that goes to a zone.
type Share struct {
	Zone string
	Part float64
}

// Draw is the zone for a request.
type Draw struct {
	Zone    string
	Changed []Share // the shares, if one has changed since they were last reported; else empty
}

// Ended is how a request at a zone ended.
type Ended struct {
	Bytes  int  // of request and response
	Known  bool // the response time is known or, if Failed is set, shown to be too long
	Failed bool
}

// zone is what is known about a zone for a kind of work.
type zone struct {
	name      string
	capacity  float64
	slots     int
	limit     float64 // largest share as long as this entry's own zone takes work
	overflow  float64 // requests beyond the share that may go there now (rule 8)
	share     float64
	reported  float64 // share when the shares were last reported
	falling   bool    // the share has fallen since it last rose
	needed    float64 // share at which a queue last came back
	neededAt  clock.Millis
	credit    float64 // of [Policy.Choose]
	took      float64 // moving average in ms, 0 if not known
	updatedAt clock.Millis
	since     clock.Millis // when it came back, 0 if it was there from the first step on
	inFlight  int
	startSum  clock.Millis // sum of the start times of requests in flight
}

// kindState is the state of a kind of work.
type kindState struct {
	target    float64
	kb        float64 // moving average of the traffic of a request
	idle      float64 // response time in ms of an idle zone, 0 if not known
	compared  bool    // two zones have been measured
	zones     []*zone // by name
	steppedAt clock.Millis
	stepped   bool
}

// Policy decides for one entry. It is not safe for concurrent use.
type Policy struct {
	locality Locality
	source   *rand.PCG
	rng      *rand.Rand // of source
	kinds    map[Kind]*kindState
}

// New returns a policy that has measured nothing yet. It keeps the source.
func New(locality Locality, source *rand.PCG) *Policy {
	return &Policy{locality: locality, source: source, rng: rand.New(source), kinds: make(map[Kind]*kindState)}
}

func (p *Policy) kind(k Kind) *kindState {
	s := p.kinds[k]
	if s == nil {
		s = &kindState{}
		p.kinds[k] = s
	}
	return s
}

func (s *kindState) find(name string) *zone {
	i, ok := slices.BinarySearchFunc(s.zones, name, func(z *zone, name string) int { return cmp.Compare(z.name, name) })
	if ok {
		return s.zones[i]
	}
	return nil
}

// zone returns the state of a zone, which it adds if necessary. Its credit is random, so that
// entries which begin at the same time begin with different zones.
func (p *Policy) zone(s *kindState, name string) *zone {
	z := s.find(name)
	if z == nil {
		z = &zone{name: name, credit: p.rng.Float64()}
		s.zones = append(s.zones, z)
		slices.SortFunc(s.zones, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	}
	return z
}

// Due reports whether the next call of [Policy.Choose] needs the servers.
func (p *Policy) Due(now clock.Millis, k Kind) bool {
	s := p.kinds[k]
	return s == nil || !s.stepped || now-s.steppedAt >= stepInterval
}

// Choose returns the zone for a request with the given latency objective, empty if no server
// takes work. Servers are only read if [Policy.Due].
func (p *Policy) Choose(now clock.Millis, k Kind, target clock.Millis, servers []Server) Draw {
	s := p.kind(k)
	var d Draw
	if p.Due(now, k) {
		s.target = float64(cmp.Or(target, defaultTarget))
		p.step(now, s, servers)
		d.Changed = s.report()
	}
	var best *zone
	for _, z := range s.zones {
		z.overflow = min(maxOverflow, z.overflow+max(0, z.limit-z.share))
		if z.share == 0 {
			continue
		}
		z.credit += z.share
		if best == nil || z.credit > best.credit {
			best = z
		}
	}
	if best != nil {
		best.credit--
		d.Zone = best.name
	}
	return d
}

// WayCost returns what the way to a zone costs a request that was drawn for another, in ms.
func (p *Policy) WayCost(k Kind, drawn, zone string) float64 {
	if zone == drawn {
		return 0
	}
	s := p.kind(k)
	link := p.locality.Link(zone)
	cost := float64(link.RoundTrip) + link.price(s.kb)
	if drawn != "" && !s.isFull(drawn) {
		cost += overflowGain * s.target
	}
	if z := s.find(zone); z != nil && zone != p.locality.Zone && z.overflow < 1 { // Only if no server of the drawn zone takes it.
		cost += float64(clock.Minute)
	}
	return cost
}

// isFull reports whether this entry's own requests take all slots of a zone, so that a
// further one waits there for certain.
func (s *kindState) isFull(name string) bool {
	z := s.find(name)
	return z != nil && z.slots > 0 && z.inFlight >= z.slots
}

// Sent records that a request which was drawn for a zone goes to a zone.
func (p *Policy) Sent(k Kind, drawn, zone string) {
	if z := p.kind(k).find(zone); z != nil && zone != drawn {
		z.overflow = max(0, z.overflow-1)
	}
}

// report returns the shares if one has changed by reportStep, or from or to zero.
func (s *kindState) report() []Share {
	if !slices.ContainsFunc(s.zones, func(z *zone) bool {
		return math.Abs(z.share-z.reported) >= reportStep || (z.share == 0) != (z.reported == 0)
	}) {
		return nil
	}
	var shares []Share
	for _, z := range s.zones {
		if z.reported = z.share; z.share > 0 {
			shares = append(shares, Share{z.name, z.share})
		}
	}
	return shares
}

// Prune removes the kinds of work without requests for some time.
func (p *Policy) Prune(now clock.Millis) {
	for k, s := range p.kinds {
		idle := !slices.ContainsFunc(s.zones, func(z *zone) bool { return z.inFlight > 0 })
		if idle && now-s.steppedAt > idleTimeConstant {
			delete(p.kinds, k)
		}
	}
}

// Start records that a request was sent to a zone.
func (p *Policy) Start(now clock.Millis, k Kind, name string) {
	z := p.zone(p.kind(k), name)
	z.inFlight++
	z.startSum += now
}

// End records that a request at a zone, sent at a given time, ended.
func (p *Policy) End(now clock.Millis, k Kind, name string, startedAt clock.Millis, e Ended) {
	s := p.kind(k)
	z := p.zone(s, name)
	z.inFlight--
	z.startSum -= startedAt
	if !e.Known {
		return
	}
	took := max(1, float64(now-startedAt))
	if e.Failed { // Its caller has lost more than the objective.
		took = max(took, s.target)
	} else {
		s.kb += ewmaWeight * (float64(e.Bytes)/1024 - s.kb)
	}
	if z.took == 0 {
		z.took = took
	}
	z.took += ewmaWeight * (took - z.took)
	z.updatedAt = now
}

func decay(age clock.Millis) float64 { return math.Exp(-float64(age) / float64(decayTimeConstant)) }

// observeIdle updates the response time of an idle zone without round trip: the least of the
// zones' times, which rises only slowly, since all of them may have queues. Until a second
// zone is measured it is at most a guess, since this zone may have had a queue all the time.
func (p *Policy) observeIdle(now clock.Millis, s *kindState) {
	least, measured := math.Inf(1), 0
	for _, z := range s.zones {
		if z.took > 0 && z.capacity > 0 {
			least = min(least, max(1, z.took-float64(p.locality.RoundTrip(z.name))))
			measured++
		}
	}
	switch {
	case measured == 0:
	case !s.compared:
		s.idle, s.compared = least, measured > 1
		if !s.compared {
			s.idle = min(least, defaultResponseTime)
		}
	case least < s.idle:
		s.idle = least
	default:
		s.idle += (least - s.idle) * (1 - math.Exp(-float64(now-s.steppedAt)/float64(idleTimeConstant)))
	}
}

// expected returns the expected response time of a zone (rule 2).
func (p *Policy) expected(now clock.Millis, s *kindState, z *zone) float64 {
	idle := cmp.Or(s.idle, defaultResponseTime)
	t := idle + float64(p.locality.RoundTrip(z.name))
	if z.took > 0 {
		t += (z.took - t) * decay(now-z.updatedAt)
	}
	if n := float64(z.inFlight); n > 0 { // As if the requests in flight ended now.
		t = max(t, (t/ewmaWeight+n*float64(now)-float64(z.startSum))/(1/ewmaWeight+n))
	}
	if z.slots > 0 { // This entry alone makes requests wait.
		t = max(t, idle*float64(z.inFlight)/float64(z.slots))
	}
	return t
}

// homes returns the zones in which requests stay: this one or, without it, the nearest
// (rule 7).
func (p *Policy) homes(s *kindState) []*zone {
	var homes []*zone
	nearest := math.Inf(1)
	for _, z := range s.zones {
		if z.capacity == 0 {
			continue
		}
		if z.name == p.locality.Zone {
			return []*zone{z}
		}
		link := p.locality.Link(z.name)
		switch d := float64(link.RoundTrip) + link.price(max(1, s.kb)); {
		case d < nearest:
			nearest, homes = d, []*zone{z}
		case d == nearest:
			homes = append(homes, z)
		}
	}
	return homes
}

// observe takes over the servers.
func (p *Policy) observe(now clock.Millis, s *kindState, servers []Server) {
	had := make(map[*zone]bool)
	for _, z := range s.zones {
		had[z] = z.capacity > 0
		z.capacity, z.slots = 0, 0
	}
	for _, srv := range servers {
		if srv.Capacity > 0 {
			z := p.zone(s, srv.Zone)
			z.capacity += srv.Capacity
			z.slots += srv.Slots
		}
	}
	for _, z := range s.zones {
		if z.capacity > 0 && !had[z] && s.stepped {
			z.since = now
		}
	}
}

// step changes the shares.
func (p *Policy) step(now clock.Millis, s *kindState, servers []Server) {
	p.observe(now, s, servers)
	p.observeIdle(now, s)
	s.steppedAt, s.stepped = now, true
	homes := p.homes(s)
	total, homeCapacity, homeTime := 0.0, 0.0, 0.0
	for _, z := range s.zones {
		total += z.capacity
	}
	for _, z := range homes {
		homeCapacity += z.capacity
		homeTime += z.capacity * (p.expected(now, s, z) + p.locality.Link(z.name).price(s.kb))
	}
	away := 0.0
	for _, z := range s.zones {
		z.limit = (1 - roomForOwn) * z.capacity / max(total, math.SmallestNonzeroFloat64) // rule 4
		if slices.Contains(homes, z) {
			continue
		}
		if z.capacity == 0 {
			z.share = 0
			continue
		}
		z.share = p.nextShare(now, s, z, homeTime/homeCapacity)
		away += z.share
	}
	for _, z := range homes {
		z.share = (1 - min(1, away)) * z.capacity / homeCapacity
	}
}

// nextShare returns the share of a zone after a step (rules 3 to 6).
func (p *Policy) nextShare(now clock.Millis, s *kindState, z *zone, homeTime float64) float64 {
	limit := z.limit
	part := limit
	if z.took == 0 || z.since > 0 && now-z.since < coldTime { // rule 6
		part *= coldPart
	}
	gain := (homeTime - p.expected(now, s, z) - p.locality.Link(z.name).price(s.kb)) / s.target
	least := startGain
	if z.share > 0 {
		least = endGain
	}
	pays := min(1, max(0, gain-least)/(fullGain-least))
	if z.took == 0 && pays > 0 { // A few requests show whether it does.
		pays = 1
	}
	want := part * pays
	switch {
	case z.share > limit: // It was this node's nearest zone while its own was lost.
		return max(want, z.share*(1-stepBack))
	case want > z.share:
		if z.falling {
			z.falling, z.needed, z.neededAt = false, z.share, now
		}
		return min(want, z.share+stepUp*pays*limit)
	case gain > endGain && z.share <= part:
		return z.share
	}
	z.falling = true
	down := stepDown * limit
	if now-z.neededAt < neededTime && z.share < (1+neededMargin)*z.needed {
		down *= slowDown
	}
	if share := max(want, z.share-down); share >= leastShare {
		return share
	}
	z.falling = false
	return 0
}
