package match

import (
	"math"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/pace"
)

// Dispatch binds waiting items to servers and refuses those whose time has passed.
func (m *Matcher) Dispatch(now clock.Millis) (grants []Grant, refused []Refusal) {
	if now-m.swept >= sweepEvery || m.swept == 0 {
		m.sweep(now)
	}
	refused = m.expire(now)
	m.correct(now)
	grants = m.hedge(now, grants)
	for _, p := range m.order {
		if m.p.BindOnArrival {
			grants = m.rotate(now, p, grants)
			continue
		}
		if m.p.DetectSlow {
			grants = m.probe(now, p, grants)
		}
		grants = m.bind(now, p, grants)
	}
	return grants, refused
}

// sweep takes in what changes by the passing of time alone.
func (m *Matcher) sweep(now clock.Millis) {
	for _, p := range m.order {
		if m.p.DetectSlow {
			m.judge(now, p)
		}
		p.newest = 0
		for _, s := range slices.Clone(p.all) {
			p.newest = max(p.newest, s.Version)
			if s.own == 0 && now-s.heard > forgetAfter {
				m.RemoveServer(s.Node)
				continue
			}
			s.place(now, m.p)
		}
		p.measure(now - m.swept)
	}
	m.swept = now
}

func (m *Matcher) judge(now clock.Millis, p *pool) {
	peers := make([]*pace.Tracker, 0, len(p.all))
	was := make([]bool, 0, len(p.all))
	for _, s := range p.all {
		peers = append(peers, &s.pace)
		was = append(was, s.pace.Slow())
	}
	pace.DetectSlow(now, peers)
	for i, s := range p.all {
		if s.pace.Slow() && !was[i] {
			m.rescue(now, s)
		}
	}
}

// rescue lets the short work on a server that became slow be hedged at once.
func (m *Matcher) rescue(now clock.Millis, s *server) {
	for _, id := range sortedIDs(m.flights) {
		f := m.flights[id]
		if r := f.on(s.Node); r != nil && r.band == short && f.mayHedge(m.p) {
			m.hedges.Push(id, now, id)
		}
	}
}

// expire applies rule 10 to items that wait.
func (m *Matcher) expire(now clock.Millis) (out []Refusal) {
	for {
		id, ok := m.limits.PopDue(now)
		if !ok {
			return out
		}
		l := m.waiting[id]
		it, _ := l.q.Remove(id)
		m.Dequeue(id)
		m.counts.Expired++
		out = append(out, Refusal{id, m.lateErr(now, &it)})
	}
}

func (m *Matcher) lateErr(now clock.Millis, it *Item) error {
	if it.Deadline > 0 {
		return fault.New(fault.PastDeadline, "the deadline passed before the work was started")
	}
	p := m.pool(it.Service)
	for _, s := range p.all {
		if s.lives(now, m.p) {
			return overloaded(it, "its lateness target passed before a server was free", max(minAfter, p.class(it.Class, it.size()).wait(now)))
		}
	}
	return fault.New(fault.NoBackend, "no backend server offers "+string(it.Service)).WithRetryAfter(clock.Second)
}

// correct applies rule 5.
func (m *Matcher) correct(now clock.Millis) {
	for {
		id, ok := m.grown.PopDue(now)
		if !ok {
			return
		}
		f := m.flights[id]
		for _, r := range f.runs {
			if r.band == short {
				f.pool.inflight[short]--
				f.pool.inflight[long]++
				r.band = long
			}
		}
	}
}

// bind grants waiting items of a pool in the order of rules 2 to 4.
func (m *Matcher) bind(now clock.Millis, p *pool, grants []Grant) []Grant {
	for p.free > 0 {
		l, b := m.nextLane(now, p)
		if l == nil {
			break
		}
		it, _ := l.q.Pop()
		s := m.pick(now, p, &it, b)
		if s == nil {
			l.aside = append(l.aside, it)
			if len(p.all) > manyServers {
				l.again = now + againAfter
			}
			// The other items of the queue differ only in what they avoid.
			l.blocked = len(l.aside) >= lookahead || (len(it.Avoid) == 0 && !it.CrashSuspect)
			continue
		}
		grants = append(grants, m.grant(now, p, l, it, s, b))
	}
	p.restore()
	return m.try(now, p, grants)
}

// try applies rule 13 to one item.
func (m *Matcher) try(now clock.Millis, p *pool, grants []Grant) []Grant {
	if !m.p.PriorityBands || len(p.all) == 0 {
		return grants
	}
	l := p.heads(now)[short]
	if l == nil {
		return grants
	}
	it, _ := l.q.Pop()
	if now >= it.arrived+(it.StartBy-it.arrived)/4 {
		if s := m.unsure(now, p, &it); s != nil {
			return append(grants, m.grant(now, p, l, it, s, short))
		}
	}
	l.q.Push(it.ID, it.due(l.class), it)
	return grants
}

// unsure returns a server with a slot if the work of others there has ended.
func (m *Matcher) unsure(now clock.Millis, p *pool, it *Item) (best *server) {
	for range triedServers {
		s := p.all[m.rng.IntN(len(p.all))]
		_, fits := loadFor(now, it, short, false)(s)
		full := s.load() >= s.Slots && s.own < s.Slots && s.Version >= it.MinVersion && (!it.CrashSuspect || s.suspects == 0)
		usable := s.lives(now, m.p) && s.tier != otherRegion && !s.pace.Slow()
		if usable && (fits || full) && (best == nil || s.own < best.own) {
			best = s
		}
	}
	return best
}

// nextLane returns the queue whose head goes next, and its band.
func (m *Matcher) nextLane(now clock.Millis, p *pool) (*lane, band) {
	if !m.p.PriorityBands {
		return p.oldest(), short
	}
	heads := p.heads(now)
	if l, b := p.starving(heads); l != nil { // rule 4
		return l, b
	}
	if heads[short] != nil {
		return heads[short], short
	}
	spare := p.free - p.need(m) // rule 3
	if heads[long] != nil && spare > 0 {
		return heads[long], long
	}
	if heads[round] != nil && spare > int(math.Sqrt(p.demand)) {
		return heads[round], round
	}
	return nil, short
}
