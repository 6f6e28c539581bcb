package match

import (
	"math"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/pace"
)

// Dispatch assigns waiting items to servers, starts hedges, and refuses items
// that have expired.
func (m *Matcher) Dispatch(now clock.Millis) (grants []Grant, refused []Refusal) {
	if now-m.lastSweep >= sweepInterval || m.lastSweep == 0 {
		m.sweep(now)
	}
	refused = m.expire(now)
	m.reclassifyLong(now)
	grants = m.grantHedges(now, grants)
	for _, p := range m.poolsByService {
		if m.policy.BindOnArrival {
			grants = m.grantRoundRobin(now, p, grants)
			continue
		}
		if m.policy.DetectSlow {
			grants = m.grantProbes(now, p, grants)
		}
		grants = m.grantWaiting(now, p, grants)
	}
	return grants, refused
}

// sweep updates the state that changes as time passes: slow servers, servers
// without reports, and the demand of short work.
func (m *Matcher) sweep(now clock.Millis) {
	for _, p := range m.poolsByService {
		if m.policy.DetectSlow {
			m.detectSlow(now, p)
		}
		p.newestVersion = 0
		for _, s := range slices.Clone(p.servers) {
			p.newestVersion = max(p.newestVersion, s.Version)
			if s.ownItems == 0 && now-s.lastSeen > serverRetention {
				m.RemoveServer(s.Node)
				continue
			}
			s.updateCapacity(now, m.policy)
		}
		p.updateDemand(now - m.lastSweep)
	}
	m.lastSweep = now
}

func (m *Matcher) detectSlow(now clock.Millis, p *pool) {
	trackers := make([]*pace.Tracker, 0, len(p.servers))
	wasSlow := make([]bool, 0, len(p.servers))
	for _, s := range p.servers {
		trackers = append(trackers, &s.tracker)
		wasSlow = append(wasSlow, s.tracker.Slow())
	}
	pace.DetectSlow(now, trackers)
	for i, s := range p.servers {
		if s.tracker.Slow() && !wasSlow[i] {
			m.hedgeShortWorkOn(now, s)
		}
	}
}

// hedgeShortWorkOn makes the hedges of the short work on a server due at once,
// because the server became slow.
func (m *Matcher) hedgeShortWorkOn(now clock.Millis, s *server) {
	for _, id := range sortedIDs(m.active) {
		a := m.active[id]
		if att := a.attemptOn(s.Node); att != nil && att.band == short && a.mayHedge(m.policy) {
			m.hedgeTimers.Push(id, now, id)
		}
	}
}

// expire refuses the waiting items whose deadline or target has passed, by
// rule 10.
func (m *Matcher) expire(now clock.Millis) (out []Refusal) {
	for {
		id, ok := m.expiries.PopDue(now)
		if !ok {
			return out
		}
		it := m.dequeue(id)
		m.counts.Expired++
		out = append(out, Refusal{id, m.expiryError(now, &it)})
	}
}

func (m *Matcher) expiryError(now clock.Millis, it *Item) error {
	if it.Deadline > 0 {
		return fault.New(fault.PastDeadline, "the deadline passed before the work was started")
	}
	p := m.poolFor(it.Service)
	for _, s := range p.servers {
		if s.isUsable(now, m.policy) {
			return overloaded(it, "its lateness target passed before a server was free",
				max(minRetryAfter, p.statsFor(it.Class, it.sizeGroup()).predictedWait(now, it)))
		}
	}
	return fault.New(fault.NoBackend, "no backend server offers "+string(it.Service)).WithRetryAfter(clock.Second)
}

// reclassifyLong moves short work that runs too long to the long band, by
// rule 5.
func (m *Matcher) reclassifyLong(now clock.Millis) {
	for {
		id, ok := m.longTimers.PopDue(now)
		if !ok {
			return
		}
		a := m.active[id]
		for _, att := range a.attempts {
			if att.band == short {
				a.pool.inFlight[short]--
				a.pool.inFlight[long]++
				att.band = long
			}
		}
	}
}

// grantWaiting assigns the waiting items of a pool in the order of rules 2 to 4.
func (m *Matcher) grantWaiting(now clock.Millis, p *pool, grants []Grant) []Grant {
	for p.freeSlots > 0 {
		wq, b := m.nextQueue(now, p)
		if wq == nil {
			break
		}
		it, _ := wq.items.Pop()
		s := m.pick(now, p, &it, b)
		if s == nil {
			wq.skipped = append(wq.skipped, it)
			if len(p.servers) > largePool {
				wq.retryAt = now + queueRetryDelay
			}
			// An item that avoids no servers and is no crash suspect can run on
			// any server that another item of the queue can run on. If it finds
			// no server, the others need not be tried.
			wq.blocked = len(wq.skipped) >= maxSkipped || (len(it.Avoid) == 0 && !it.CrashSuspect)
			continue
		}
		grants = append(grants, m.grant(now, p, wq, it, s, b))
	}
	p.restoreSkipped()
	return m.grantOptimistic(now, p, grants)
}

// grantOptimistic assigns the first item of the short band to a server that may
// have a free slot by now, if the item has waited for a quarter of its target
// (rule 13).
func (m *Matcher) grantOptimistic(now clock.Millis, p *pool, grants []Grant) []Grant {
	if !m.policy.PriorityBands || len(p.servers) == 0 {
		return grants
	}
	wq := p.queueHeads(now)[short]
	if wq == nil {
		return grants
	}
	it, _ := wq.items.Pop()
	if now >= it.arrivedAt+(it.StartBy-it.arrivedAt)/4 {
		if s := m.pickOptimistic(now, p, &it); s != nil {
			return append(grants, m.grant(now, p, wq, it, s, short))
		}
	}
	wq.items.Push(it.ID, it.latestStart(wq.stats), it)
	return grants
}

// pickOptimistic returns a server that has a free slot if the work of other
// entries there has ended since the last report.
func (m *Matcher) pickOptimistic(now clock.Millis, p *pool, it *Item) (best *server) {
	for range optimisticDraws {
		s := p.servers[m.rng.IntN(len(p.servers))]
		_, fits := loadFunc(now, it, short, false)(s)
		fullByOthers := s.load() >= s.Slots && s.ownItems < s.Slots &&
			s.Version >= it.MinVersion && (!it.CrashSuspect || s.takesSuspect(now))
		usable := s.isUsable(now, m.policy) && s.locality != otherRegion && !s.tracker.Slow()
		if usable && (fits || fullByOthers) && (best == nil || s.ownItems < best.ownItems) {
			best = s
		}
	}
	return best
}

// nextQueue returns the queue whose head is assigned next, and its band.
func (m *Matcher) nextQueue(now clock.Millis, p *pool) (*workQueue, band) {
	if !m.policy.PriorityBands {
		return p.oldestQueue(), short
	}
	heads := p.queueHeads(now)
	if wq, b := p.belowMinShare(heads); wq != nil { // rule 4
		return wq, b
	}
	if heads[short] != nil {
		return heads[short], short
	}
	spare := p.freeSlots - p.slotsForShort(m) // rule 3
	if heads[long] != nil && spare > 0 {
		return heads[long], long
	}
	if heads[round] != nil && spare > int(math.Sqrt(p.shortDemand)) {
		return heads[round], round
	}
	return nil, short
}
