package match

import (
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	affinityWalk = 2                 // servers that a prefix may prefer
	zoneBetter   = 0.25              // load by which another zone must be better
	avoidFor     = 500 * clock.Milli // an item insists so long on another server than its last one
	hedgeLeast   = 20 * clock.Milli
	hedgeMedian  = 2.0 // times the median running time, the earliest hedge
	hedgeLate    = 1.2 // times the 95th percentile, the earliest hedge
	longerWork   = 1.5 // times the usual tokens: work that is longer, not slower
	patientFor   = 10 * clock.Second
)

// grant binds an item to a server and begins its flight.
func (m *Matcher) grant(now clock.Millis, p *pool, l *lane, it Item, s *server, b band) Grant {
	c := l.class
	c.waiting--
	if !it.Requeued { // It was counted when it was granted before.
		c.started(now)
	}
	p.grants++
	m.counts.Granted++
	m.limits.Remove(it.ID)
	delete(m.waiting, it.ID)
	f := &flight{item: it, pool: p, class: c}
	m.flights[it.ID] = f
	m.launch(now, f, s, b)
	if b != short {
		p.patient = now
	}
	if b == short && m.p.PriorityBands {
		m.grown.Push(it.ID, now+longRatio*c.estimate(), it.ID)
	}
	if b == short && f.mayHedge(m.p) {
		p.hedges.Deposit()
		if d, ok := c.hedgeDelay(); ok {
			m.hedges.Push(it.ID, now+d, it.ID)
		}
	}
	return Grant{Item: it.ID, Node: s.Node, Short: b == short, Priority: b.priority()}
}

// launch begins one run of a flight.
func (m *Matcher) launch(now clock.Millis, f *flight, s *server, b band) {
	r := &run{flight: f, server: s, band: b, began: now}
	f.runs = append(f.runs, r)
	f.pool.inflight[b]++
	s.own++
	if f.item.CrashSuspect {
		s.suspects++
	}
	s.pace.Begin(now, &r.stream)
	s.place(now, m.p)
}

// loadFor returns a function that tells a server's load for an item, false if
// the server may not run it.
func loadFor(now clock.Millis, it *Item, b band, insist bool) func(*server) (float64, bool) {
	return func(s *server) (float64, bool) {
		switch {
		case b != short && now < s.shutLong:
			return 0, false
		case !s.room(b), s.Version < it.MinVersion:
			return 0, false
		case insist && it.Avoid.Has(s.Node):
			return 0, false
		case it.CrashSuspect && s.suspects > 0: // rule 12
			return 0, false
		}
		return s.ratio(), true
	}
}

// pick returns the server that an item goes to, or nil.
func (m *Matcher) pick(now clock.Millis, p *pool, it *Item, b band) *server {
	s := m.pickBy(now, p, it, loadFor(now, it, b, true))
	if s == nil && len(it.Avoid) > 0 && now-it.arrived >= avoidFor {
		s = m.pickBy(now, p, it, loadFor(now, it, b, false))
	}
	return s
}

func (m *Matcher) pickBy(now clock.Millis, p *pool, it *Item, load func(*server) (float64, bool)) *server {
	if s := p.preferred(it, load); s != nil {
		return s
	}
	if s := m.near(p, load); s != nil {
		return s
	}
	if !p.needsFar(now, it) {
		return nil
	}
	s, ok := p.open[otherRegion].LeastLoaded(m.rng, load)
	if !ok || !m.cross.Take(now, it.Bytes+it.MaxTokens*tokenBytes) {
		return nil
	}
	return s
}

// preferred applies rule 8.
func (p *pool) preferred(it *Item, load func(*server) (float64, bool)) (best *server) {
	if it.Prefix == "" {
		return nil
	}
	mean := 1 - float64(p.free)/float64(max(1, p.slots))
	p.ring.Walk(it.Prefix, affinityWalk, func(s *server) bool {
		n, ok := load(s)
		if ok && s.counted > 0 && s.tier != otherRegion && n <= affinityOver*mean+1/float64(s.Slots) {
			best = s
		}
		return best != nil
	})
	return best
}

// near applies rule 7 to the entry's own region.
func (m *Matcher) near(p *pool, load func(*server) (float64, bool)) *server {
	a, okA := p.open[sameZone].LeastLoaded(m.rng, load)
	if okA && p.open[sameRegion].Len() == 0 {
		return a
	}
	b, okB := p.open[sameRegion].LeastLoaded(m.rng, load)
	switch {
	case !okA && !okB:
		return nil
	case !okB:
		return a
	case !okA || a.ratio() > b.ratio()+zoneBetter:
		return b
	}
	return a
}

// needsFar reports whether an item's target needs another region: half of its
// waiting time has passed, or no server of this region lives.
func (p *pool) needsFar(now clock.Millis, it *Item) bool {
	if now >= it.arrived+(it.StartBy-it.arrived)/2 {
		return true
	}
	return !slices.ContainsFunc(p.all, func(s *server) bool { return s.tier != otherRegion && s.alive > 0 })
}

// rotate binds all waiting items in rotation, for the baseline.
func (m *Matcher) rotate(now clock.Millis, p *pool, grants []Grant) []Grant {
	alive := make([]*server, 0, len(p.all))
	for _, s := range p.all {
		if s.lives(now, m.p) {
			alive = append(alive, s)
		}
	}
	for l := p.oldest(); l != nil && len(alive) > 0; l = p.oldest() {
		it, _ := l.q.Pop()
		s := alive[p.turn%len(alive)]
		p.turn++
		grants = append(grants, m.grant(now, p, l, it, s, short))
	}
	p.restore()
	return grants
}

// probe applies rule 9.
func (m *Matcher) probe(now clock.Millis, p *pool, grants []Grant) []Grant {
	for _, s := range p.all {
		if !s.pace.Slow() || s.own > 0 || now-s.probed < probeEvery || !s.lives(now, m.p) {
			continue
		}
		l, b := p.probeLane(now)
		if l == nil {
			return grants
		}
		id, _, _ := l.q.Peek()
		it, _ := l.q.Pop()
		if _, ok := loadFor(now, &it, b, true)(s); !ok || it.AtMostOnce || it.CrashSuspect {
			l.q.Push(id, it.due(l.class), it)
			continue
		}
		s.probed = now
		grants = append(grants, m.grant(now, p, l, it, s, b))
	}
	return grants
}

// probeLane returns the queue that minds a slow server least. Short work is
// used only if nothing else came for a while.
func (p *pool) probeLane(now clock.Millis) (best *lane, b band) {
	for _, l := range p.lanes {
		lb := p.band(l)
		if l.q.Len() == 0 || (lb == short && p.patient > 0 && now-p.patient < patientFor) {
			continue
		}
		if best == nil || lb > b {
			best, b = l, lb
		}
	}
	return best, b
}

// mayHedge applies rule 11 to an item.
func (f *flight) mayHedge(p Policy) bool {
	return p.HedgeShare > 0 && len(f.runs) == 1 && !f.item.AtMostOnce && !f.item.Round && !f.item.CrashSuspect
}

// hedgeDelay returns how long a first attempt may take before a hedge.
func (c *class) hedgeDelay() (clock.Millis, bool) {
	late, ok := c.took.Quantile(0.95)
	if !ok {
		return 0, false
	}
	return max(hedgeLeast, clock.Millis(hedgeMedian*float64(c.mid)), clock.Millis(hedgeLate*float64(late))), true
}

// hedge starts second attempts of short work that takes too long.
func (m *Matcher) hedge(now clock.Millis, grants []Grant) []Grant {
	for {
		id, ok := m.hedges.PopDue(now)
		if !ok {
			return grants
		}
		f := m.flights[id]
		if !f.mayHedge(m.p) || f.isLonger() {
			continue
		}
		first := f.runs[0].server
		s := m.second(now, f, first)
		if s == nil || !f.pool.hedges.Withdraw() {
			m.hedges.Push(id, now+sweepEvery, id)
			continue
		}
		m.counts.Hedged++
		m.launch(now, f, s, short)
		grants = append(grants, Grant{Item: id, Node: s.Node, Hedge: true, Short: true, Priority: short.priority()})
	}
}

// isLonger reports whether the work has shown more than usual at a usual pace.
func (f *flight) isLonger() bool {
	r := f.runs[0]
	return !r.server.pace.Slow() && f.class.tokens > 0 && float64(r.shown) > longerWork*f.class.tokens
}

// second returns another server of this region for a hedge.
func (m *Matcher) second(now clock.Millis, f *flight, first *server) *server {
	load := loadFor(now, &f.item, short, true)
	return m.near(f.pool, func(s *server) (float64, bool) {
		if s == first {
			return 0, false
		}
		return load(s)
	})
}

func sortedIDs(fs map[uint64]*flight) []uint64 {
	ids := make([]uint64, 0, len(fs))
	for id := range fs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
