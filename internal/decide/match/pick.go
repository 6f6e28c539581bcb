package match

import (
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	affinityCandidates = 2                 // servers preferred for one prefix
	otherZoneMargin    = 0.25              // by how much lower the load ratio of another zone must be
	avoidTimeout       = 500 * clock.Milli // after this wait an item may use a server that it avoids
	minHedgeDelay      = 20 * clock.Milli

	// The hedge delay is at least this multiple of the median run time, and at
	// least this multiple of the 95th percentile.
	hedgeMedianFactor = 2.0
	hedgeP95Factor    = 1.2

	// An attempt that has produced more than this multiple of the mean tokens is
	// longer than usual rather than slow.
	longerWorkFactor = 1.5

	// If no latency-tolerant work was granted for this time, short work is used
	// as a probe.
	tolerantWorkTimeout = 10 * clock.Second
)

// grant assigns an item to a server and starts the item's first attempt.
func (m *Matcher) grant(now clock.Millis, p *pool, wq *workQueue, it Item, s *server, b band) Grant {
	cs := wq.stats
	cs.countWaiting(&it, -1)
	if !it.Requeued { // A requeued item was counted at its first grant.
		cs.recordStart(now)
	}
	p.grantCount++
	m.counts.Granted++
	m.expiries.Remove(it.ID)
	delete(m.queueOf, it.ID)
	a := &activeItem{item: it, pool: p, stats: cs}
	m.active[it.ID] = a
	m.startAttempt(now, a, s, b)
	if b != short {
		p.lastTolerantGrant = now
	}
	if b == short && m.policy.PriorityBands {
		m.longTimers.Push(it.ID, now+longRatio*cs.estimatedRunTime(), it.ID)
	}
	if b == short && a.mayHedge(m.policy) {
		p.hedgeBudget.Deposit()
		if d, ok := cs.hedgeDelay(); ok {
			m.hedgeTimers.Push(it.ID, now+d, it.ID)
		}
	}
	return Grant{Item: it.ID, Node: s.Node, Short: b == short, Priority: b.priority()}
}

// startAttempt starts an attempt of an active item on a server.
func (m *Matcher) startAttempt(now clock.Millis, a *activeItem, s *server, b band) {
	att := &attempt{active: a, server: s, band: b, startedAt: now}
	a.attempts = append(a.attempts, att)
	a.pool.inFlight[b]++
	s.ownItems++
	if a.item.CrashSuspect {
		s.crashSuspects++
	}
	s.tracker.Begin(now, &att.stream)
	s.updateCapacity(now, m.policy)
}

// loadFunc returns a function that returns a server's load ratio, or false if
// the server may not run the item. With avoid, the servers that the item
// avoids may not run the item either.
func loadFunc(now clock.Millis, it *Item, b band, avoid bool) func(*server) (float64, bool) {
	return func(s *server) (float64, bool) {
		switch {
		case b != short && now < s.longBackoffUntil:
			return 0, false
		case !s.hasSlot(b), s.Version < it.MinVersion:
			return 0, false
		case avoid && it.Avoid.Has(s.Node):
			return 0, false
		case it.CrashSuspect && !s.takesSuspect(now):
			return 0, false
		}
		return s.loadRatio(), true
	}
}

// pick returns the server for an item, or nil. After avoidTimeout the servers
// that the item avoids are candidates too.
func (m *Matcher) pick(now clock.Millis, p *pool, it *Item, b band) *server {
	s := m.pickWith(now, p, it, loadFunc(now, it, b, true))
	if s == nil && len(it.Avoid) > 0 && now-it.arrivedAt >= avoidTimeout {
		s = m.pickWith(now, p, it, loadFunc(now, it, b, false))
	}
	return s
}

// pickWith returns the server for an item by rules 7 and 8, or nil. The function
// load is that of loadFunc.
func (m *Matcher) pickWith(now clock.Millis, p *pool, it *Item, load func(*server) (float64, bool)) *server {
	if s := p.pickByPrefix(it, load); s != nil {
		return s
	}
	if s := m.pickInRegion(p, load); s != nil {
		return s
	}
	if !p.needsOtherRegion(now, it) {
		return nil
	}
	s, ok := p.available[otherRegion].LeastLoaded(m.rng, load)
	if !ok || !m.crossRegionBytes.Withdraw(now, it.Bytes+it.MaxTokens*bytesPerToken) {
		return nil
	}
	return s
}

// pickByPrefix returns the preferred server for the item's prefix, by rule 8.
func (p *pool) pickByPrefix(it *Item, load func(*server) (float64, bool)) (best *server) {
	if it.Prefix == "" {
		return nil
	}
	mean := 1 - float64(p.freeSlots)/float64(max(1, p.slots))
	p.ring.Walk(it.Prefix, affinityCandidates, func(s *server) bool {
		ratio, ok := load(s)
		if ok && s.countedFree > 0 && s.locality != otherRegion &&
			ratio <= maxAffinityLoad*mean+1/float64(s.Slots) {
			best = s
		}
		return best != nil
	})
	return best
}

// pickInRegion picks a server of the entry's own zone or region, by rule 7.
func (m *Matcher) pickInRegion(p *pool, load func(*server) (float64, bool)) *server {
	a, okA := p.available[sameZone].LeastLoaded(m.rng, load)
	if okA && p.available[sameRegion].Len() == 0 {
		return a
	}
	b, okB := p.available[sameRegion].LeastLoaded(m.rng, load)
	switch {
	case !okA && !okB:
		return nil
	case !okB:
		return a
	case !okA || a.loadRatio() > b.loadRatio()+otherZoneMargin:
		return b
	}
	return a
}

// needsOtherRegion reports whether an item may go to another region: half of
// the waiting target has passed, or no server of this region provides slots.
func (p *pool) needsOtherRegion(now clock.Millis, it *Item) bool {
	if now >= it.arrivedAt+(it.StartBy-it.arrivedAt)/2 {
		return true
	}
	return !slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.locality != otherRegion && s.countedSlots > 0
	})
}

// grantRoundRobin assigns all waiting items in round-robin order, for the
// baseline policy.
func (m *Matcher) grantRoundRobin(now clock.Millis, p *pool, grants []Grant) []Grant {
	usable := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		if s.isUsable(now, m.policy) {
			usable = append(usable, s)
		}
	}
	for wq := p.oldestQueue(); wq != nil && len(usable) > 0; wq = p.oldestQueue() {
		it, _ := wq.items.Pop()
		s := usable[p.nextServer%len(usable)]
		p.nextServer++
		grants = append(grants, m.grant(now, p, wq, it, s, short))
	}
	p.restoreSkipped()
	return grants
}

// grantProbes assigns probes to idle slow servers, by rule 9.
func (m *Matcher) grantProbes(now clock.Millis, p *pool, grants []Grant) []Grant {
	for _, s := range p.servers {
		if !s.tracker.Slow() || s.ownItems > 0 || now-s.lastProbe < probeInterval || !s.isUsable(now, m.policy) {
			continue
		}
		wq, b := p.probeQueue(now)
		if wq == nil {
			return grants
		}
		id, _, _ := wq.items.Peek()
		it, _ := wq.items.Pop()
		if _, ok := loadFunc(now, &it, b, true)(s); !ok || it.AtMostOnce || it.CrashSuspect {
			wq.items.Push(id, it.latestStart(wq.stats), it)
			continue
		}
		s.lastProbe = now
		grants = append(grants, m.grant(now, p, wq, it, s, b))
	}
	return grants
}

// probeQueue returns a queue that has work, of the band that tolerates the most
// latency, and its band. Short work is used only if no other work was granted for
// tolerantWorkTimeout.
func (p *pool) probeQueue(now clock.Millis) (best *workQueue, b band) {
	for _, wq := range p.queues {
		queueBand := p.bandOf(wq)
		if wq.items.Len() == 0 ||
			(queueBand == short && p.lastTolerantGrant > 0 && now-p.lastTolerantGrant < tolerantWorkTimeout) {
			continue
		}
		if best == nil || queueBand > b {
			best, b = wq, queueBand
		}
	}
	return best, b
}

// mayHedge reports whether the item may be hedged, by rule 11.
func (a *activeItem) mayHedge(p Policy) bool {
	return p.HedgeShare > 0 && len(a.attempts) == 1 && !a.item.AtMostOnce && !a.item.Round && !a.item.CrashSuspect
}

// hedgeDelay returns how long a first attempt may take before it is hedged, or
// false while too few run times are known.
func (cs *classStats) hedgeDelay() (clock.Millis, bool) {
	p95, ok := cs.runTimes.Quantile(0.95)
	if !ok {
		return 0, false
	}
	return max(
		minHedgeDelay,
		clock.Millis(hedgeMedianFactor*float64(cs.medianRunTime)),
		clock.Millis(hedgeP95Factor*float64(p95))), true
}

// grantHedges starts the hedges that are due.
func (m *Matcher) grantHedges(now clock.Millis, grants []Grant) []Grant {
	for {
		id, ok := m.hedgeTimers.PopDue(now)
		if !ok {
			return grants
		}
		a := m.active[id]
		if !a.mayHedge(m.policy) || a.isLongerThanUsual() {
			continue
		}
		first := a.attempts[0].server
		s := m.pickForHedge(now, a, first)
		if s == nil || !a.pool.hedgeBudget.Withdraw() {
			m.hedgeTimers.Push(id, now+sweepInterval, id)
			continue
		}
		m.counts.Hedged++
		m.startAttempt(now, a, s, short)
		grants = append(grants, Grant{Item: id, Node: s.Node, Hedge: true, Short: true, Priority: short.priority()})
	}
}

// isLongerThanUsual reports whether the item has produced more tokens than
// usual at a normal rate.
func (a *activeItem) isLongerThanUsual() bool {
	att := a.attempts[0]
	return !att.server.tracker.Slow() && a.stats.meanTokens > 0 &&
		float64(att.tokenCount) > longerWorkFactor*a.stats.meanTokens
}

// pickForHedge returns another server of this region for a hedge.
func (m *Matcher) pickForHedge(now clock.Millis, a *activeItem, first *server) *server {
	load := loadFunc(now, &a.item, short, true)
	return m.pickInRegion(a.pool, func(s *server) (float64, bool) {
		if s == first {
			return 0, false
		}
		return load(s)
	})
}

func sortedIDs(active map[uint64]*activeItem) []uint64 {
	ids := make([]uint64, 0, len(active))
	for id := range active {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
